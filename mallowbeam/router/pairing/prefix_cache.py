"""A model of the prefix cache of one instance: least recently used segments are evicted first.

A gateway sees its own requests only.  A prompt's last segment belongs to a single request and is charged once
for each gateway, because the other gateways' requests fill the same memory; a shared segment is charged once,
because it is the same for all gateways.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptSegment:
    """One segment of a prompt: an entry of the `Prompt-Prefix` header."""

    id: str
    tokens: int


class PrefixCache:
    """The segments that one instance is believed to cache, in tokens."""

    __slots__ = ("capacity", "segments", "tokens")

    def __init__(self, capacity: int) -> None:
        """Start empty; `capacity` is the size of the instance's KV cache in tokens."""
        self.capacity = capacity
        # By id: the segment's tokens, and the tokens that it is charged with.
        self.segments: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self.tokens = 0

    def __contains__(self, segment_id: str) -> bool:
        """Whether a segment is believed to be cached."""
        return segment_id in self.segments

    def __iter__(self) -> Iterator[str]:
        """Iterate over the ids of the segments, least recently used first."""
        return iter(self.segments)

    def cached_tokens(self, segments: Sequence[PromptSegment]) -> int:
        """Return the tokens of the longest cached prefix: the segments before the first missing one."""
        tokens = 0
        for segment in segments:
            if segment.id not in self.segments:
                break
            tokens += segment.tokens
        return tokens

    def record_use(self, segments: Sequence[PromptSegment], sharers: int) -> None:
        """Record that a request with this prompt ran here; its last segment is charged `sharers` times."""
        for index in range(len(segments) - 1, -1, -1):  # so that the first segment is the most recently used
            segment = segments[index]
            own = index == len(segments) - 1
            self._put(segment, segment.tokens * max(1, sharers) if own else segment.tokens)
        self._evict()

    def clear(self) -> None:
        """Drop all segments, as the instance does when its weights change."""
        self.segments.clear()
        self.tokens = 0

    def resize(self, capacity: int) -> None:
        """Change the capacity, in tokens, and evict what no longer fits."""
        self.capacity = capacity
        self._evict()

    def _put(self, segment: PromptSegment, charged_tokens: int) -> None:
        _, before = self.segments.pop(segment.id, (0, 0))
        self.segments[segment.id] = (segment.tokens, charged_tokens)
        self.tokens += charged_tokens - before

    def _evict(self) -> None:
        while self.tokens > self.capacity and self.segments:
            _, (_, charged_tokens) = self.segments.popitem(last=False)
            self.tokens -= charged_tokens
