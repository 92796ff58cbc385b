"""Atomic truncation of the engine's journal after a snapshot, so that a crash loses no acknowledged entry.

The engine renames its snapshot into place, and one tick later clears its journal and rewrites the entries
after the snapshot. If it is killed between the two, it later finds a journal that does not begin at the
snapshot and clears it; if it is killed while writing, the remaining entries are missing. Both lose entries
that this member has acknowledged. Here a truncated journal is written to a new file that replaces the old
one, and a journal that begins before its snapshot is truncated, not cleared, before the engine starts.
"""

from __future__ import annotations

import gzip
import os
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pysyncobj.pickle
from pysyncobj.journal import FileJournal

JournalEntry = tuple[bytes, int, int]  # command, index and term


def rewrite(path: Path, entries: Sequence[JournalEntry]) -> None:
    """Replace the journal's entries; after a crash it has either all of these or all of the old ones."""
    new = path.with_name(path.name + ".new")
    new.unlink(missing_ok=True)
    journal = FileJournal(str(new))
    for entry in entries:
        journal.add(*entry)
    journal._destroy()
    os.replace(new, path)


def truncate_at_snapshot(path: Path, snapshot: Path) -> None:
    """Before the engine starts: remove the entries that the snapshot covers, so that the rest is kept."""
    if not (path.exists() and snapshot.exists()):
        return
    try:
        with gzip.open(snapshot) as file:
            last_covered: JournalEntry = pysyncobj.pickle.load(file)[2]
    except Exception:  # the engine reports an unreadable snapshot itself
        return
    journal = FileJournal(str(path))
    entries: list[JournalEntry] = journal[:]
    journal._destroy()
    if entries[:1] != [last_covered] and last_covered in entries:
        rewrite(path, entries[entries.index(last_covered) :])


def install_atomic_truncation(engine: Any, path: Path) -> None:
    """Make an engine truncate its journal with `rewrite`, in the engine's thread."""
    journal = engine._SyncObj__raftLog

    def truncate(upto: int) -> None:
        journal.onOneSecondTimer()  # writes the commit index if it is not on disk yet
        rewrite(path, journal[upto:])
        journal._destroy()
        engine._SyncObj__raftLog = FileJournal(str(path))
        install_atomic_truncation(engine, path)

    journal.deleteEntriesTo = truncate
