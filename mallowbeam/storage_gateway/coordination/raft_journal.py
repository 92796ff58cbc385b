"""Atomic truncation of the engine's journal after a snapshot, so that a crash loses no acknowledged entry.

The engine renames its snapshot, and a tick later clears its journal and writes the entries after the snapshot
again. Killed between the two, it finds a journal that does not begin at the snapshot and clears it; killed
while it writes, the rest is missing. Both lose entries that this member has acknowledged. Here a truncated
journal is written to a new file that replaces the old one, and a journal that begins before its snapshot is
truncated, not cleared, before the engine starts.
"""

from __future__ import annotations

import gzip
import os
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pysyncobj.pickle
from pysyncobj.journal import FileJournal

Line = tuple[bytes, int, int]  # command, index and term


def rewrite(path: Path, lines: Sequence[Line]) -> None:
    """Replace the journal's entries; after a crash it has either all of these or all of the old ones."""
    new = path.with_name(path.name + ".new")
    new.unlink(missing_ok=True)
    journal = FileJournal(str(new))
    for line in lines:
        journal.add(*line)
    journal._destroy()
    os.replace(new, path)


def truncate_at_snapshot(path: Path, snapshot: Path) -> None:
    """Before the engine starts: remove the entries that the snapshot covers, so that the rest is kept."""
    if not (path.exists() and snapshot.exists()):
        return
    try:
        with gzip.open(snapshot) as file:
            last_covered: Line = pysyncobj.pickle.load(file)[2]
    except Exception:  # whatever is wrong with it, the engine reports it
        return
    journal = FileJournal(str(path))
    lines: list[Line] = journal[:]
    journal._destroy()
    if lines[:1] != [last_covered] and last_covered in lines:
        rewrite(path, lines[lines.index(last_covered) :])


def install_atomic_truncation(engine: Any, path: Path) -> None:
    """Let an engine truncate its journal by `rewrite`, in its own thread."""
    journal = engine._SyncObj__raftLog

    def truncate(upto: int) -> None:
        journal.onOneSecondTimer()  # writes its commit index, where that is not on disk yet
        rewrite(path, journal[upto:])
        journal._destroy()
        engine._SyncObj__raftLog = FileJournal(str(path))
        install_atomic_truncation(engine, path)

    journal.deleteEntriesTo = truncate
