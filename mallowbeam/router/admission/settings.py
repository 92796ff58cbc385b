"""Settings of admission, each with its effect."""

from __future__ import annotations

from dataclasses import dataclass, field

from mallowbeam.router.pairing.settings import PairingSettings
from mallowbeam.scheduling.slot_time import SlotTimeSettings


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """What decides whether and when a request is sent."""

    cycle_s: float = 0.5
    """The longest cycle, in seconds; m is the floor of a cycle over the node's slot time."""
    tokens_per_unit: int = 1_024
    """Prompt tokens to be read that take one slot."""
    most_units: int = 24
    """The most slots that one request takes, however long its prompt."""
    held_loss: float = 0.25
    """Loss, as a share of a request's worth, by holding it back for a target latency."""
    long_units: int = 9
    """A reading from so many units is long: it waits behind shorter ones in an engine's queue."""
    long_share: float = 0.5
    """The share of long readings that queue among the middle ones instead, so that some are always served."""
    measured_wait_s: float = 0.25
    """Seen waiting at a node without which its estimates refuse nothing."""
    measured_units: int = 8
    """Units of this gateway at a node from which its estimates are believed without seen waiting."""
    answer_token_s: float = 0.004
    """Time for a generated token, kept free before the deadline."""
    answer_share: float = 0.5
    """The share of the most tokens that an answer is expected to have."""
    silence_s: float = 2.0
    """Clients wait at least so long for a first token."""
    silence_targets: float = 4.0
    """Clients wait at least so many target latencies for a first token."""
    least_retry_after_s: float = 0.1
    """The soonest that a refused client is told to come back."""
    retry_after_share: float = 0.3
    """The latest that it is told to come back, as a share of its time left."""
    guard_from: float = 1.0
    """Wait at the best node, in mean target latencies, from which some requests are refused."""
    guard_to: float = 4.0
    """Wait, in mean target latencies, from which all are refused."""
    guard_memory_s: float = 2.0
    """Seconds in which a seen wait loses its weight to 1/e."""
    guard_prior_tokens: float = 5_000.0
    """Tokens without any wait that the seen waits are weighed against."""
    guard_idle: float = 0.25
    """An idle node refuses nothing while the waits seen there are below this, in mean target latencies."""
    guard_leniency: float = 0.6
    """How much more wait the most urgent priority bears; each next one half as much more."""
    guard_retry_s: float = 0.5
    """When those are told to come back."""
    pairing: PairingSettings = field(default_factory=PairingSettings)
    """Settings of the choice of instances."""
    slot_time: SlotTimeSettings = field(default_factory=SlotTimeSettings)
    """How slot times are smoothed."""
