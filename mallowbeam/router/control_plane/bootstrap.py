"""Computes the identity and the initial state of a member with an empty store, without I/O.

The seeds of the system's first start derive their ids from their addresses, so that all of them write the
same first membership without communication. Every other member draws a random id and starts with an empty
snapshot; the leader that accepts it sends it the membership.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from mallowbeam.router.rpc.messages_pb2 import Member, Membership, Snapshot

ID_BYTES = 8
FIRST_INDEX = 1  # log index of the seeds' snapshot; a joiner's is 0, so that the leader sends it a snapshot
FIRST_TERM = 1


@dataclass(frozen=True, slots=True)
class InitialState:
    """The state that a member writes to an empty store."""

    identity: int
    snapshot: Snapshot


def peer_address(control: str, port: int) -> str:
    """Address (IP:PORT) of a member's link listener, whose port is the same on all machines."""
    host, _, _ = control.rpartition(":")
    return f"{host}:{port}"


def seed_identity(control: str) -> int:
    """The id of a seed, derived from its control address."""
    digest = hashlib.blake2b(control.encode(), digest_size=ID_BYTES).digest()
    return int.from_bytes(digest, "big") or 1


def random_identity(random: Random) -> int:
    """A random id, for a member that is not a seed of the first start."""
    return random.randrange(1, 1 << (8 * ID_BYTES))


def initial_state(
    control: str, seeds: Sequence[str], bootstrap: bool, port: int, random: Random
) -> InitialState:
    """The initial state of a member with an empty store; `port` is the port of all link listeners."""
    if bootstrap and control in seeds:
        return InitialState(seed_identity(control), founding_snapshot(seeds, port))
    return InitialState(random_identity(random), Snapshot())


def founding_snapshot(seeds: Sequence[str], port: int) -> Snapshot:
    """The first snapshot of the seeds: a voter for each of them, and empty state."""
    members = [
        Member(id=seed_identity(seed), address=peer_address(seed, port), control=seed, voter=True)
        for seed in sorted(set(seeds))
    ]
    membership = Membership(members=members, target_voters=len(members))
    return Snapshot(index=FIRST_INDEX, term=FIRST_TERM, membership=membership)
