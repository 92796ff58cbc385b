"""Settings of pairing."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PairingSettings:
    """Settings of the choice of instances.  Losses are fractions of a request's value."""

    read_choices: int = 3
    """Prefill instances considered for one request, in rendezvous order of its shared segments."""
    decode_choices: int = 2
    """Decode instances considered in rendezvous order."""
    spread_choices: int = 2
    """Further decode instances considered, drawn anew for each request and gateway."""
    prefill_tokens_per_s: float = 40_000.0
    """Prior prefill pace of a prefill instance."""
    decode_tokens_per_s: float = 20_000.0
    """Prior prefill pace of a decode instance, between its decode steps."""
    delay_memory_s: float = 2.0
    """Seconds in which the weight of a measured delay by others' work decays to 1/e."""
    delay_prior_weight: float = 1.0
    """Prior weight, in samples, of no delay."""
    unseen_cached_fraction: float = 0.6
    """Prior fraction of shared segments, not seen by this gateway, that are cached at their home."""
    decode_home_weight: float = 0.2
    """Weight of a decode instance as a key's home, against a prefill instance's 1."""
    overhead_s: float = 0.018
    """Fixed seconds of a prefill besides its tokens: network and the engine's first step."""
    join_s: float = 0.015
    """Prior seconds from the end of a prefill to the first token elsewhere, without the transfer."""
    running_s: float = 0.0001
    """Seconds that each running request adds to a decode step."""
    contention_loss: float = 0.1
    """Loss at a decode instance with all slots in use; it grows with the square of the load."""
    move_setup_s: float = 0.004
    """Fixed seconds of a KV cache transfer besides its bytes."""
    zone_move_factor: float = 2.0
    """How many times longer a transfer between zones takes."""
    zone_move_loss: float = 0.03
    """Loss by a transfer between zones, besides its time."""
    reread_loss_per_1000: float = 0.12
    """Loss by prefilling a thousand shared tokens again away from their home."""
    reread_loss_most: float = 0.6
    """Upper bound of that loss, so that an overloaded home can be avoided."""
    hand_over_loss: float = 0.6
    """Loss by a transfer that fails."""
    interruption_loss_per_s: float = 0.3
    """Loss by each second of prefill that delays one running request of a decode instance."""
    wait_loss: float = 0.4
    """Loss by delaying another request by its target latency."""
    late_loss: float = 0.5
    """Loss by a first token at twice its target latency; half of it at the target, less by the cube below."""
    zone_loss: float = 0.01
    """Loss by sending a request to an instance in another zone than the gateway's."""
    queue_fraction: float = 1.0
    """Bookings of this gateway beyond an instance's slots at which it counts as full, as a fraction of the
    slots."""
    session_entries: int = 20_000
    """Sessions whose instance is remembered; beyond it the oldest are dropped, and prefilled again."""
    own_segment_fraction: float = 0.125
    """Upper bound of what one request's own segment is charged with, as a fraction of the KV cache."""
    rejected_s: float = 0.5
    """Seconds for which an instance that rejected a request is chosen last."""
