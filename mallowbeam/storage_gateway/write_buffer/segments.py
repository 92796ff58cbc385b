"""Tracks which segments of the log are still needed, and selects those to remove or compact."""

from __future__ import annotations

from collections.abc import Iterable

from mallowbeam.storage_gateway.write_buffer.entries import Entry

RELOCATE_BELOW = 0.25  # fraction of an old segment still needed; above it, copying costs too much


class SegmentTable:
    """The segments on disk, and how much of each is still needed."""

    def __init__(self) -> None:
        self.bytes = 0  # of all segments on disk
        self.newest = 0  # the segment being written, which is never removed
        self.live: dict[int, int] = {}  # by segment: writes and barriers that need it
        self.live_bytes: dict[int, int] = {}
        self.sizes: dict[int, int] = {}  # bytes by segment
        self._removing: set[int] = set()

    def update(self, sizes: dict[int, int], newest: int) -> None:
        """Set the sizes of the segments on disk in bytes, and the number of the one being written."""
        self.sizes = {number: size for number, size in sizes.items() if number not in self._removing}
        self.newest = newest
        self.bytes = sum(self.sizes.values())

    def pin(self, segment: int, count: int = 1) -> None:
        """Add `count` users to a segment; -1 removes one."""
        self.live[segment] = self.live.get(segment, 0) + count

    def assign(self, entry: Entry, position: tuple[int, int], segments: Iterable[int]) -> None:
        """Set the position (segment, offset) of a write's record, and the segments of its chunks."""
        entry.position = position
        entry.segments = tuple(dict.fromkeys((position[0], *segments)))
        for segment in entry.segments:
            self.pin(segment)
            self.live_bytes[segment] = self.live_bytes.get(segment, 0) + entry.log_bytes

    def release(self, segment: int, size: int) -> None:
        """Remove a user that took `size` bytes of a segment."""
        if segment not in self.live:
            return
        self.live[segment] -= 1
        self.live_bytes[segment] = self.live_bytes.get(segment, 0) - size

    def release_entry(self, entry: Entry) -> None:
        """Remove a write as a user of its segments."""
        for segment in entry.segments:
            self.release(segment, entry.log_bytes)

    def removed(self, segments: Iterable[int]) -> None:
        """Segments were removed from the disk."""
        for segment in segments:
            self.live.pop(segment, None)
            self.live_bytes.pop(segment, None)
            self._removing.discard(segment)

    def start_removal(self) -> list[int]:
        """Return the oldest segments that are no longer needed; they are not counted from now on.

        Segments go oldest first, so that the record that a write is done is never removed before the write.
        """
        free = []
        for segment in sorted(self.sizes):
            if segment == self.newest or self.live.get(segment, 0) > 0:
                break
            free.append(segment)
        for segment in free:
            self.bytes -= self.sizes.pop(segment)
            self._removing.add(segment)
        return free

    def sparse(self) -> int | None:
        """The oldest segment, if so little of it is still needed that copying that part pays off."""
        if len(self.sizes) <= 1:
            return None
        oldest = min(self.sizes)
        if oldest == self.newest:
            return None
        if self.live_bytes.get(oldest, 0) >= RELOCATE_BELOW * self.sizes[oldest]:
            return None
        return oldest
