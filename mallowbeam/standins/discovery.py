"""Stand-in for discovery: the membership list, and a watch that answers once the list changes.

A watch is an answer delayed by `poll` seconds, so a change is reported at the next poll.
"""

from __future__ import annotations

import json
from urllib.parse import parse_qs, urlsplit

from mallowbeam.standins.faults import Rule, Script
from mallowbeam.standins.node import Answer, Server

POLL = 0.05  # seconds until a watch is answered: the longest delay before a change is reported


def member(
    name: str, host_port: str, cell: int, phase: str = "up", zone: str = "hall-a", since_ms: int = 0
) -> dict[str, object]:
    """Build one entry of the membership list in discovery's format; `since_ms` in milliseconds."""
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
    """A discovery service on a socket; a watch is answered after `poll` seconds."""

    def __init__(
        self,
        members: list[dict[str, object]],
        address: tuple[str, int] = ("127.0.0.1", 0),
        poll: float = POLL,
    ) -> None:
        self.members = members
        self.revision = 1
        super().__init__(address, Script([Rule("stall", path="since=", times=-1, seconds=poll)]))

    def publish(self, members: list[dict[str, object]]) -> None:
        """Replace the membership list and increment its revision."""
        self.members = members
        self.revision = self.revision + 1

    def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """Answer with the complete list if it has changed since the given revision, else an empty one."""
        url = urlsplit(target)
        if method != "GET" or url.path != "/v1/servers":
            return 404, {}, b""
        since = parse_qs(url.query).get("since", ["0"])[0]
        complete = "since=" not in url.query or int(since) < self.revision
        listing = {
            "revision": self.revision,
            "complete": complete,
            "members": self.members if complete else [],
        }
        return 200, {"Content-Type": "application/json"}, json.dumps(listing).encode()
