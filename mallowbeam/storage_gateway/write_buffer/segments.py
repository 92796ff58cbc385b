"""Which segments of the log are still needed, how full they are, and which may be removed or compacted."""

from __future__ import annotations

from collections.abc import Iterable

from mallowbeam.storage_gateway.write_buffer.entries import Entry

RELOCATE_BELOW = 0.25  # fraction of an old segment that is still needed: with more, copying costs too much


class SegmentTable:
    """Segments by number, with what they hold that is still needed."""

    def __init__(self) -> None:
        self.bytes = 0  # of all segments on disk
        self.newest = 0  # the segment being written, which stays
        self.live: dict[int, int] = {}  # by segment: writes and barriers that need it
        self.live_bytes: dict[int, int] = {}
        self.sizes: dict[int, int] = {}  # bytes by segment
        self._removing: set[int] = set()

    def update(self, sizes: dict[int, int], newest: int) -> None:
        """The sizes of the segments on disk in bytes, and which one is being written."""
        self.sizes = {number: size for number, size in sizes.items() if number not in self._removing}
        self.newest = newest
        self.bytes = sum(self.sizes.values())

    def pin(self, segment: int, count: int = 1) -> None:
        """A segment holds something that is needed, or, with -1, no longer."""
        self.live[segment] = self.live.get(segment, 0) + count

    def assign(self, entry: Entry, position: tuple[int, int], segments: Iterable[int]) -> None:
        """A write's record is at `position` (segment and offset), chunks of its body in `segments`."""
        entry.position = position
        entry.segments = tuple(dict.fromkeys((position[0], *segments)))
        for segment in entry.segments:
            self.pin(segment)
            self.live_bytes[segment] = self.live_bytes.get(segment, 0) + entry.log_bytes

    def release(self, segment: int, size: int) -> None:
        """Something that took `size` bytes of a segment does not need it any more."""
        if segment not in self.live:
            return
        self.live[segment] -= 1
        self.live_bytes[segment] = self.live_bytes.get(segment, 0) - size

    def release_entry(self, entry: Entry) -> None:
        """A write does not need its segments any more."""
        for segment in entry.segments:
            self.release(segment, entry.log_bytes)

    def removed(self, segments: Iterable[int]) -> None:
        """Segments were removed from the disk."""
        for segment in segments:
            self.live.pop(segment, None)
            self.live_bytes.pop(segment, None)
            self._removing.discard(segment)

    def start_removal(self) -> list[int]:
        """The oldest segments that nothing needs; they do not count from now on.

        Oldest first: a record that a write is done never goes before the write itself.
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
        """The oldest segment, if so little of it is needed that the rest is worth copying."""
        if len(self.sizes) <= 1:
            return None
        oldest = min(self.sizes)
        if oldest == self.newest:
            return None
        if self.live_bytes.get(oldest, 0) >= RELOCATE_BELOW * self.sizes[oldest]:
            return None
        return oldest
