"""Which segments of the log are still needed, how full they are, and which may be removed or emptied."""

from __future__ import annotations

from collections.abc import Iterable

from mallowbeam.storage_gateway.write_buffer.entries import Entry

MOVE_BELOW = 0.25  # of an old segment that still counts: with more, copying costs too much


class SegmentTable:
    """Segments by number, with what they hold that is still needed."""

    def __init__(self) -> None:
        self.bytes = 0  # of all segments on disk
        self.newest = 0  # the segment written to: it stays
        self.live: dict[int, int] = {}  # by segment: writes and barriers that need it
        self.live_bytes: dict[int, int] = {}
        self.sizes: dict[int, int] = {}  # bytes of each segment
        self._removing: set[int] = set()

    def on_disk(self, sizes: dict[int, int], newest: int) -> None:
        """How large the segments are, and which is being written."""
        self.sizes = {number: size for number, size in sizes.items() if number not in self._removing}
        self.newest = newest
        self.bytes = sum(self.sizes.values())

    def pin(self, segment: int, count: int = 1) -> None:
        """A segment holds something that is needed, or, with -1, no longer."""
        self.live[segment] = self.live.get(segment, 0) + count

    def place(self, entry: Entry, where: tuple[int, int], segments: Iterable[int]) -> None:
        """A write stands at `where` (segment and offset), parts of it in `segments`."""
        entry.where = where
        entry.segments = tuple(dict.fromkeys((where[0], *segments)))
        for segment in entry.segments:
            self.pin(segment)
            self.live_bytes[segment] = self.live_bytes.get(segment, 0) + entry.cost

    def release(self, segment: int, cost: int) -> None:
        """Something that took `cost` bytes of a segment needs it no more."""
        if segment not in self.live:
            return
        self.live[segment] -= 1
        self.live_bytes[segment] = self.live_bytes.get(segment, 0) - cost

    def release_entry(self, entry: Entry) -> None:
        """A write needs none of its segments any more."""
        for segment in entry.segments:
            self.release(segment, entry.cost)

    def removed(self, segments: Iterable[int]) -> None:
        """Segments are gone from the disk."""
        for segment in segments:
            self.live.pop(segment, None)
            self.live_bytes.pop(segment, None)
            self._removing.discard(segment)

    def start_removal(self) -> list[int]:
        """The oldest segments that nothing needs; they count no more from now on.

        Oldest first: a record that settles a write never goes before the write itself.
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
        if self.live_bytes.get(oldest, 0) >= MOVE_BELOW * self.sizes[oldest]:
            return None
        return oldest
