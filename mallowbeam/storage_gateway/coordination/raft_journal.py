"""The engine's journal, cut after a snapshot in one step that SIGKILL can't part.

The engine renames its snapshot, and a turn later clears its journal and writes the entries after it again.
Killed between the two, it finds a journal that does not begin at the snapshot and clears it; killed while it
writes, the rest is missing.  Both forget entries that this member has acknowledged.  Here a cut journal is
written beside the old one and takes its name, and one that goes back further than its snapshot is cut, not
cleared, before the engine starts.
"""

from __future__ import annotations

import gzip
import os
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pysyncobj.pickle
from pysyncobj.journal import FileJournal

Line = tuple[bytes, int, int]  # a command, its index and term


def rewrite(path: Path, lines: Sequence[Line]) -> None:
    """Let the journal be these entries: all of them, or those of before."""
    new = path.with_name(path.name + ".new")
    new.unlink(missing_ok=True)
    journal = FileJournal(str(new))
    for line in lines:
        journal.add(*line)
    journal._destroy()
    os.replace(new, path)


def begin_at_snapshot(path: Path, snapshot: Path) -> None:
    """Before the engine starts: cut off what stands in the snapshot already, so that the rest is kept."""
    if not (path.exists() and snapshot.exists()):
        return
    try:
        with gzip.open(snapshot) as file:
            before: Line = pysyncobj.pickle.load(file)[2]
    except Exception:  # whatever is wrong with it, the engine says so
        return
    journal = FileJournal(str(path))
    lines: list[Line] = journal[:]
    journal._destroy()
    if lines[:1] != [before] and before in lines:
        rewrite(path, lines[lines.index(before) :])


def cut_whole(engine: Any, path: Path) -> None:
    """Let a running engine cut its journal by `rewrite`; called in its thread from then on."""
    journal = engine._SyncObj__raftLog

    def cut(upto: int) -> None:
        journal.onOneSecondTimer()  # its commit index, where that is not on disk yet
        rewrite(path, journal[upto:])
        journal._destroy()
        engine._SyncObj__raftLog = FileJournal(str(path))
        cut_whole(engine, path)

    journal.deleteEntriesTo = cut
