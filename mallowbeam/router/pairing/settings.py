"""Settings of pairing, each with its effect."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PairingSettings:
    """What the choice of instances goes by.

    Losses are shares of a request's worth: 0.1 is a tenth of it.
    """

    read_choices: int = 3
    """Prefill instances weighed for one request, in rendezvous order of its shared parts."""
    decode_choices: int = 2
    """Decode instances weighed by rendezvous order, in the whole service and in the reader's zone each."""
    spread_choices: int = 2
    """Decode instances weighed besides, drawn anew for each request and gateway."""
    prefill_tokens_per_s: float = 40_000.0
    """Reading pace of a prefill instance before it is measured."""
    decode_tokens_per_s: float = 20_000.0
    """Reading pace of a decode instance, between its tokens, before it is measured."""
    delay_memory_s: float = 2.0
    """Seconds in which a measured delay by others' work loses its weight to 1/e."""
    delay_prior_weight: float = 1.0
    """Samples that no delay at all counts as against measured ones."""
    unseen_kept_share: float = 0.6
    """The share of shared parts, unseen by this gateway, first taken for kept at their home."""
    decode_home_weight: float = 0.2
    """How often a decode instance is a key's home, against a prefill instance's 1."""
    overhead_s: float = 0.018
    """What reading takes besides the tokens: the way there and back, and the engine's first step."""
    join_s: float = 0.015
    """From the end of reading to the first token at another instance, without the move of memory."""
    running_s: float = 0.0001
    """What each running request adds to a decode step."""
    crowd_loss: float = 0.1
    """Loss at a decode instance with all places taken; by the square of its load."""
    move_setup_s: float = 0.004
    """What a move of memory takes besides its bytes."""
    zone_move_factor: float = 2.0
    """How many times longer a move between zones takes."""
    zone_move_loss: float = 0.03
    """Price of a move of memory between zones, beside its time."""
    reread_loss_per_1000: float = 0.08
    """Loss by reading a thousand shared tokens again away from where they are kept."""
    reread_loss_most: float = 0.4
    """The most that reading shared parts again counts, so that a key's home is left when it is overloaded."""
    hand_over_loss: float = 0.6
    """Loss by a hand-over that fails."""
    interruption_loss_per_s: float = 0.3
    """Loss by each second that reading takes from one request that a decode instance runs."""
    wait_loss: float = 0.4
    """Loss by keeping another request waiting for a target latency."""
    late_loss: float = 0.5
    """Loss by a first token at twice its target latency; half of it at the target, less by the cube below."""
    zone_loss: float = 0.01
    """Loss by sending a request to an instance in another zone than the gateway's."""
    queue_share: float = 1.0
    """Bookings of this gateway at an instance beyond its slots, as a share of them; past it no room is."""
    session_entries: int = 20_000
    """Last parts whose instance is remembered; past it the oldest are forgotten, and are read again."""
    own_part_share: float = 0.125
    """The most of an instance's memory that one request's own part is charged with."""
    rejected_s: float = 0.5
    """How long an instance that rejected a request is passed over while others take work."""
