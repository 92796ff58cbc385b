"""Scenarios of the fleet with many or large configurations and slow links.

Commands besides those of the fleet::

    at 1 change COUNT [BYTES]        submit COUNT configurations, each after the previous is acknowledged
    at 1 bandwidth A B BYTES         limit the bytes per second in both directions

For `change`, BYTES is the size of random text that is added to the body. Conditions: ``changed`` (all are
acknowledged), ``M current`` (the member has applied the last acknowledged configuration), ``waiting-below
BYTES`` (no link of a leader has had as many unsent bytes so far).
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import replace

from mallowbeam.router.control_plane.peer_links import PeerLink
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.fleet_history import ApiCall
from mallowbeam.simulation.fleet_operators import FINAL_STATUSES, document
from mallowbeam.simulation.scenario import ViolationError

RETRY_S = 0.1
TEXT_ALPHABET = bytes(code for code in range(35, 127) if chr(code) not in '"\\')  # needs no escape in JSON


class BulkPlayer(FleetPlayer):
    """Plays fleet scenarios with bulk changes and limited bandwidth."""

    def prepare(self) -> None:
        super().prepare()
        self.changes_left = 0
        self.changed_revision = 0
        self.max_unsent_bytes = 0
        self.simulator.check(self._check_links)

    def do_change(self, count: str, size: str = "0") -> None:
        self.changes_left += int(count)
        self._change(int(count), int(size))

    def do_bandwidth(self, one: str, other: str, bytes_per_second: str) -> None:
        for sender in self.names(one):
            for recipient in self.names(other):
                path = replace(self.network.path(sender, recipient), bandwidth=float(bytes_per_second))
                self.network.set_path(sender, recipient, path)

    def holds(self, words: Sequence[str]) -> bool:
        match words:
            case ("changed",):
                return self.changes_left == 0
            case (who, "current"):
                return all(self._revision(name) == self.changed_revision for name in self.names(who))
            case ("waiting-below", size):
                return self.max_unsent_bytes < int(size)
        return super().holds(words)

    def _change(self, count: int, size: int) -> None:
        """Submit one configuration, retry until it is accepted, then submit the remaining ones."""
        if count == 0:
            return
        revision = self.changed_revision + 1
        body = document(revision)
        if size:
            body["note"] = self._text(size)
        headers = (("If-Match", str(self.changed_revision)),)
        call = ApiCall("PUT", "/mallowbeam/config", json.dumps(body).encode(), headers)

        def send() -> None:
            live = [name for name, member in self.members.items() if member.live]
            self.operator.ask(self.operator.random.choice(live or list(self.members)), call, answered)

        def answered(status: int, _: bytes) -> None:
            if status in FINAL_STATUSES:
                raise ViolationError(f"revision {revision} was refused with {status}")
            if status != 200:
                self.operator.machine.later(RETRY_S, send)
                return
            self.changed_revision = self.operator.acknowledged = revision
            self.changes_left -= 1
            self._change(count - 1, size)

        send()

    def _text(self, size: int) -> str:
        """Text that does not compress well."""
        table = (TEXT_ALPHABET * 3)[:256]
        return self.simulator.random.randbytes(size).translate(table).decode()

    def _check_links(self) -> None:
        for member in self.members.values():
            if member.live and member.program is not None:
                if not member.program.parts.driver.is_leader:
                    continue  # their links queue commands forwarded to the leader
                for link in member.program.parts.links._links.values():
                    self.max_unsent_bytes = max(self.max_unsent_bytes, _unsent_bytes(link))


def _unsent_bytes(link: PeerLink) -> int:
    return link._connection.unsent_bytes if link._connection is not None else 0
