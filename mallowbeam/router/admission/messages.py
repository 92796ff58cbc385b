"""Requests to the planner and its decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mallowbeam.router.pairing.instances import Engine
from mallowbeam.router.pairing.prefix_cache import PromptSegment

__all__ = [
    "Engine",
    "Expectation",
    "Outcome",
    "Plan",
    "PlanRequest",
    "PromptSegment",
    "Rejection",
    "RejectionReason",
]


@dataclass(frozen=True, slots=True)
class PlanRequest:
    """A request as admission and pairing see it; all times in seconds."""

    request_id: str
    backend: str
    """The service that the request is routed to."""
    engine: Engine | None
    """The service's engine as configured; None for a service that is no model server."""
    prompt_segments: tuple[PromptSegment, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0
    """Upper bound of generated tokens."""
    priority: int = 0
    target_latency_s: float = 1.0
    time_left_s: float = 10.0
    """Until the client's deadline or the route's timeout, whichever is first."""
    zone: str = ""
    """The gateway's zone."""
    excluded: frozenset[str] = frozenset()
    """Instances that must not be chosen, such as those tried before."""
    resumed: bool = False
    """The request continues an answer that has begun: it is not rejected while any instance may serve it."""
    kv_cache_source: str = ""
    """Instance that still holds a valid KV cache handle of this prompt; empty where there is none."""


@dataclass(frozen=True, slots=True)
class Expectation:
    """Estimates for the chosen candidate: times in seconds, loss as a fraction of the request's value."""

    wait_s: float = 0.0
    """Queueing delay until the prefill instance starts on the prompt."""
    prefill_s: float = 0.0
    transfer_s: float = 0.0
    join_s: float = 0.0
    """From the end of the prefill, or of the KV cache transfer, to the first token."""
    loss: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """The request is admitted."""

    booking: int
    """Identifies the request in all later calls."""
    prefill_instance: str | None
    """Instance for a separate prefill; None where the decode instance prefills itself."""
    decode_instance: str
    start_in_s: float
    """Seconds until the request is to be sent; 0 is at once."""
    units: int
    """Slots that the request occupies in its cycles."""
    expected_first_token_s: float
    engine_priority: int = 5
    """Priority in the engine's own queue, 0 (first) to 9: short prefills go before long ones."""
    transferred_priority: int = 0
    """Priority at the decode instance after a KV cache transfer: first, as nothing is left to prefill."""
    uncached_tokens: int = 0
    """Prompt tokens that are expected to miss the prefix cache of the prefill instance."""
    candidates: int = 0
    """Number of candidates that were compared."""
    expected: Expectation = Expectation()


class RejectionReason(Enum):
    """Why a request was rejected."""

    NO_INSTANCE = "no_instance"
    """No instance may serve it."""
    NO_CYCLE = "no_cycle"
    """No cycle completes it before its deadline."""
    OVERLOAD = "overload"
    """Requests wait too long at every candidate instance."""
    NO_CAPACITY = "no_room"
    """This gateway's own requests occupy all slots or the memory of the instances."""
    TOO_LARGE = "too_large"
    """It is larger than an instance's memory."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """The request is rejected at once; it has not run."""

    retry_after_s: float
    reason: RejectionReason


class Outcome(Enum):
    """How a booking ended."""

    COMPLETED = "completed"
    """The complete answer was received."""
    REJECTED = "rejected"
    """The instance answered that it did not execute the request."""
    FAILED = "failed"
    """The exchange with the instance failed or timed out."""
    CANCELLED = "cancelled"
    """The client cancelled the request, or it was never sent."""
