"""Settings of admission."""

from __future__ import annotations

from dataclasses import dataclass, field

from mallowbeam.router.pairing.settings import PairingSettings
from mallowbeam.scheduling.slot_time import SlotTimeSettings


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Settings that decide whether and when a request is sent."""

    cycle_s: float = 0.5
    """The longest cycle, in seconds; m is the floor of a cycle over the instance's slot time."""
    tokens_per_unit: int = 1_024
    """Uncached prompt tokens that occupy one slot."""
    most_units: int = 24
    """Upper bound of slots for one request."""
    delay_loss: float = 0.25
    """Loss, as a fraction of a request's value, for delaying it by one target latency."""
    long_units: int = 9
    """A prefill of at least so many units is long: it queues behind shorter ones in the engine."""
    long_fraction: float = 0.5
    """Fraction of long prefills that get a middle priority instead, so that none starve."""
    measured_wait_s: float = 0.25
    """Seconds of measured queueing below which an instance's estimates reject nothing."""
    measured_units: int = 8
    """Units of this gateway at an instance from which its estimates count without measured queueing."""
    answer_token_s: float = 0.004
    """Seconds reserved before the deadline for each generated token."""
    answer_fraction: float = 0.5
    """Expected answer length, as a fraction of the most tokens it may generate."""
    first_token_timeout_s: float = 2.0
    """Clients wait at least so many seconds for a first token."""
    first_token_timeout_targets: float = 4.0
    """Clients wait at least so many target latencies for a first token."""
    least_retry_after_s: float = 0.1
    """Lower bound of Retry-After, in seconds."""
    retry_after_fraction: float = 0.3
    """Upper bound of Retry-After, as a fraction of the client's time left."""
    guard_from: float = 1.0
    """Wait at the best instance, in mean target latencies, from which some requests are rejected."""
    guard_to: float = 4.0
    """Wait, in mean target latencies, from which all are rejected."""
    guard_memory_s: float = 2.0
    """Seconds in which the weight of a measured wait decays to 1/e."""
    guard_prior_tokens: float = 5_000.0
    """Prior: tokens with no wait, against which measured waits are weighted."""
    guard_idle: float = 0.25
    """An idle instance rejects nothing while measured waits are below this, in mean target latencies."""
    guard_leniency: float = 0.6
    """Extra wait that the most urgent priority tolerates; each next one tolerates half as much extra."""
    guard_retry_s: float = 0.5
    """Retry-After of requests that the guard rejects, in seconds."""
    pairing: PairingSettings = field(default_factory=PairingSettings)
    """Settings of the choice of instances."""
    slot_time: SlotTimeSettings = field(default_factory=SlotTimeSettings)
    """How slot times are smoothed."""
