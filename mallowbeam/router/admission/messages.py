"""What the planner is asked and what it answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mallowbeam.router.pairing.instances import Engine
from mallowbeam.router.pairing.kept_parts import PromptPart

__all__ = [
    "Engine",
    "Expectation",
    "Outcome",
    "Plan",
    "PlanRequest",
    "PromptPart",
    "Refusal",
    "RefusalReason",
]


@dataclass(frozen=True, slots=True)
class PlanRequest:
    """A request as admission and pairing see it; all times in seconds."""

    request_id: str
    backend: str
    """The service that its route leads to."""
    engine: Engine | None
    """The service's engine as configured; None for a service that is no model server."""
    prompt_parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0
    """The most that may be generated."""
    priority: int = 0
    target_latency_s: float = 1.0
    time_left_s: float = 10.0
    """Until the client's deadline or the route's time-out, whichever is first."""
    zone: str = ""
    """The gateway's zone."""
    excluded: frozenset[str] = frozenset()
    """Instances that must not be chosen, such as those tried before."""
    resumed: bool = False
    """It continues an answer that has begun: it is not refused while any instance may take it."""
    read_at: str = ""
    """The instance whose handle on the prompt's memory is still good; empty where there is none."""


@dataclass(frozen=True, slots=True)
class Expectation:
    """What the chosen way was expected to take, in seconds, and to lose, in shares of the request's worth."""

    wait_s: float = 0.0
    """Until the reader turns to the prompt."""
    read_s: float = 0.0
    move_s: float = 0.0
    join_s: float = 0.0
    """From the end of reading, or of the move, to the first token."""
    loss: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """The request is taken."""

    booking: int
    """Names it in all later calls."""
    prefill_instance: str | None
    """Reads the prompt first; None where the decode instance reads it."""
    decode_instance: str
    start_in_s: float
    """When it is to be sent: 0 is at once."""
    units: int
    """Slots that it took."""
    expected_first_token_s: float
    engine_priority: int = 5
    """For the engine's own queue, 0 (first) to 9: short readings go before long ones."""
    handed_priority: int = 0
    """Likewise where memory is handed over: nothing is left to be read, so it comes first."""
    read_tokens: int = 0
    """Tokens of the prompt that are believed not to be kept where it is read."""
    ways: int = 0
    """Ways that were weighed."""
    expected: Expectation = Expectation()


class RefusalReason(Enum):
    """Why a request was refused."""

    NO_INSTANCE = "no_instance"
    """No instance may take it."""
    NO_CYCLE = "no_cycle"
    """No cycle finishes it in its time."""
    OVERLOAD = "overload"
    """Requests wait too long at every node that was weighed."""
    NO_ROOM = "no_room"
    """All places or the memory of the instances are taken by this gateway's own requests."""
    TOO_LARGE = "too_large"
    """It is larger than an instance's memory."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """The request is refused at once; it has not run."""

    retry_after_s: float
    reason: RefusalReason


class Outcome(Enum):
    """How a booking ended."""

    COMPLETED = "completed"
    """The whole answer came."""
    REJECTED = "rejected"
    """The instance answered that it did not run it."""
    FAILED = "failed"
    """The exchange broke, or its time ran out."""
    CANCELLED = "cancelled"
    """The client gave it up, or it was never sent."""
