"""The facts of a request that pairing depends on."""

from __future__ import annotations

from dataclasses import dataclass

from mallowbeam.router.pairing.instances import Engine
from mallowbeam.router.pairing.prefix_cache import PromptSegment


@dataclass(frozen=True, slots=True)
class Prompt:
    """A request as pairing sees it; times in seconds."""

    request_id: str
    backend: str
    engine: Engine | None
    segments: tuple[PromptSegment, ...]
    tokens: int
    answer_tokens: int
    target_latency_s: float
    zone: str
    excluded: frozenset[str]
    kv_cache_source: str = ""

    @property
    def affinity(self) -> str:
        """The key for hashing: the deepest shared segment, else the only segment, else the request id."""
        if not self.segments:
            return self.request_id
        return self.segments[-2].id if len(self.segments) > 1 else self.segments[0].id
