"""Tracks which entries changed after a version, in the order of their last change."""

from __future__ import annotations


class ChangeLog:
    """The last change of each id, under a version that rises by one with each change."""

    def __init__(self) -> None:
        """Start at version 0 without changes."""
        self.version = 0
        self._last: dict[str, int] = {}  # id to the version of its last change, oldest first
        self._forgotten = 0  # changes up to this version may be missing

    def record(self, id: str) -> None:
        """Record that the entry changed."""
        self.version += 1
        self._last.pop(id, None)
        self._last[id] = self.version

    def forget(self, id: str) -> None:
        """Drop a removed entry; a reader that has not seen its removal needs the complete table."""
        self._forgotten = max(self._forgotten, self._last.pop(id, 0))

    def since(self, version: int) -> list[str] | None:
        """Ids changed after `version`, oldest first; None if some are forgotten or the version is unknown."""
        if version < self._forgotten or version > self.version:
            return None
        ids: list[str] = []
        for id, last_change in reversed(self._last.items()):
            if last_change <= version:
                break
            ids.append(id)
        ids.reverse()
        return ids
