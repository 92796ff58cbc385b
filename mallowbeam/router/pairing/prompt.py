"""What pairing needs to know of a request."""

from __future__ import annotations

from dataclasses import dataclass

from mallowbeam.router.pairing.instances import Engine
from mallowbeam.router.pairing.kept_parts import PromptPart


@dataclass(frozen=True, slots=True)
class Prompt:
    """A request as pairing sees it; times in seconds."""

    request_id: str
    backend: str
    engine: Engine | None
    parts: tuple[PromptPart, ...]
    tokens: int
    answer_tokens: int
    target_latency_s: float
    zone: str
    excluded: frozenset[str]
    read_at: str = ""

    @property
    def affinity(self) -> str:
        """What is hashed: the deepest shared part; the only part where there is one; else the request."""
        if not self.parts:
            return self.request_id
        return self.parts[-2].id if len(self.parts) > 1 else self.parts[0].id
