"""Which parts of prompts an instance is believed to keep: least recently used go first.

A gateway sees its own requests only.  A part that belongs to one request (the last) stands for as many more
as there are other gateways, because their requests fill the same memory; a shared part is the same for all.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, as the `Prompt-Prefix` header names it."""

    id: str
    tokens: int


class KeptParts:
    """A model of one instance's cache of prompt parts, in tokens."""

    __slots__ = ("capacity", "parts", "tokens")

    def __init__(self, capacity: int) -> None:
        """Start empty; `capacity` is the tokens that the instance has memory for."""
        self.capacity = capacity
        # By id: tokens of the part, and tokens that it is charged with.
        self.parts: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self.tokens = 0

    def __contains__(self, part_id: str) -> bool:
        """Whether a part is believed to be kept."""
        return part_id in self.parts

    def __iter__(self) -> Iterator[str]:
        """Ids of the parts, those unused longest first."""
        return iter(self.parts)

    def kept(self, parts: Sequence[PromptPart]) -> int:
        """Tokens at the prompt's start that need no reading: leading parts, none of them missing."""
        tokens = 0
        for part in parts:
            if part.id not in self.parts:
                break
            tokens += part.tokens
        return tokens

    def used(self, parts: Sequence[PromptPart], sharers: int) -> None:
        """A request with this prompt was read here; its last part counts `sharers` times."""
        for index in range(len(parts) - 1, -1, -1):  # the first part ends up as the latest used
            part = parts[index]
            own = index == len(parts) - 1
            self._put(part, part.tokens * max(1, sharers) if own else part.tokens)
        self._trim()

    def clear(self) -> None:
        """Forget all, as when the weights change."""
        self.parts.clear()
        self.tokens = 0

    def resize(self, capacity: int) -> None:
        """Change the capacity."""
        self.capacity = capacity
        self._trim()

    def _put(self, part: PromptPart, charged: int) -> None:
        _, before = self.parts.pop(part.id, (0, 0))
        self.parts[part.id] = (part.tokens, charged)
        self.tokens += charged - before

    def _trim(self) -> None:
        while self.tokens > self.capacity and self.parts:
            _, (_, charged) = self.parts.popitem(last=False)
            self.tokens -= charged
