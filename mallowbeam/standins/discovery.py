"""Discovery as a stand-in: the list, and a watch that answers once the list changes.

A watch waits in the connection's own task (the stand-in answers late by its `delay`), so a change is told at
the next poll: polls here are short.
"""

from __future__ import annotations

import json
from urllib.parse import parse_qs, urlsplit

from mallowbeam.standins.faults import Rule, Script
from mallowbeam.standins.node import Answer, Server

POLL = 0.05  # seconds that a watch without news waits: changes are told that fast


def member(
    name: str, host_port: str, cell: int, phase: str = "up", zone: str = "hall-a", since_ms: int = 0
) -> dict[str, object]:
    """One entry of the list in discovery's form."""
    return {
        "id": name,
        "host_port": host_port,
        "locality": zone,
        "flavor": "toy",
        "cell": cell,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": since_ms,
    }


class Discovery(Server):
    """A discovery service on a socket."""

    def __init__(
        self,
        members: list[dict[str, object]],
        address: tuple[str, int] = ("127.0.0.1", 0),
        poll: float = POLL,
    ) -> None:
        self.members, self.revision = members, 1
        super().__init__(address, Script([Rule("stall", path="since=", times=-1, seconds=poll)]))

    def publish(self, members: list[dict[str, object]]) -> None:
        """A new list from now on."""
        self.members, self.revision = members, self.revision + 1

    def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """The list, whole where there is news, empty where there is none."""
        url = urlsplit(target)
        if method != "GET" or url.path != "/v1/servers":
            return 404, {}, b""
        since = parse_qs(url.query).get("since", ["0"])[0]
        whole = "since=" not in url.query or int(since) < self.revision
        listing = {"revision": self.revision, "complete": whole, "members": self.members if whole else []}
        return 200, {"Content-Type": "application/json"}, json.dumps(listing).encode()
