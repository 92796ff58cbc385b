"""What goes between members on the engine's behalf: links known to be alive, and entries sent again.

The engine dials, frames and reads; this transport adds what it leaves open.

Links.  The member with the greater address dials.  Every link carries a ping both ways each `PING_S`, so that
silence means something: past the engine's `connectionTimeout` both ends give the link up and the one that
dials dials anew.  (The engine looks at that clock only as it sends, and followers send each other nothing:
their links were given up with the first vote asked for, and the vote with them.)  A dial without an end, and
a caller that does not say who it is, are given up after the same time.  A dial has a number: a newer link
takes the place of the older and ends it; one that comes late, having waited at a machine that stood still, is
refused with all that it carries.

Entries.  A follower whose log has parted from its leader's asks for what follows its own commit index: all
before is in every leader's log, so one answer is enough.  (The engine goes back by one entry for each answer,
some ten a second.  While a majority walks back nothing is committed, and the marks that pile up meanwhile are
what has to be walked back over after the next election: it can grow without end.)  Entries that a follower
holds already are passed over, never removed and added again; an acknowledgement counts only in the term that
it was given in.
"""

from __future__ import annotations

import itertools
import time
from typing import Any

from pysyncobj.node import Node
from pysyncobj.tcp_connection import CONNECTION_STATE, TcpConnection
from pysyncobj.transport import TCPTransport

PING_S = 0.3  # seconds between pings; some of them within any `connectionTimeout`

Told = dict[str, Any]  # a message of the engine's

STATES = {
    CONNECTION_STATE.DISCONNECTED: "down",
    CONNECTION_STATE.CONNECTING: "dialling",
    CONNECTION_STATE.CONNECTED: "up",
}


class RaftTransport(TCPTransport):  # type: ignore[misc]
    """The engine's transport; all of it runs in the engine's thread."""

    def __init__(self, engine: Any, own: Node, others: set[Node]) -> None:
        self.life = time.time_ns()
        self.dials = itertools.count(1)
        self.newest: dict[Node, tuple[int, int]] = {}  # the newest link's life and number, by who dialled it
        self.since: dict[Node, float] = {}  # when a link came up or went down
        self.waiting: dict[TcpConnection, float] = {}  # callers that have not said who they are
        self.pinged = 0.0
        self.ticked, self.slowest = 0.0, 0.0  # the last tick, and the longest wait for one in seconds
        self.went_back = 0  # answers that asked for older entries
        super().__init__(engine, own, others)

    # --- links ------------------------------------------------------------------------------------

    def _sendSelfAddress(self, conn: TcpConnection) -> None:
        conn.send((self._selfNode.address, self.life, next(self.dials)))

    def _onNewIncomingConnection(self, conn: TcpConnection) -> None:
        super()._onNewIncomingConnection(conn)
        self.waiting[conn] = time.monotonic()

    def _onIncomingMessageReceived(self, conn: TcpConnection, message: Any) -> None:
        """A caller's first message must say who it is; nobody else, and no command, is taken here."""
        match message:
            case (str(address), int(life), int(number)) if (node := self._nodeAddrToNode.get(address)):
                pass
            case _:
                conn.disconnect()
                return
        if self._shouldConnect(node) or self._late(node, life, number):
            conn.disconnect()
            return
        self.newest[node] = (life, number)
        self.waiting.pop(conn, None)
        before = self._connections.get(node)
        super()._onIncomingMessageReceived(conn, address)
        if before is not None and before is not conn:
            before.disconnect()  # what it still carries is not read

    def _late(self, node: Node, life: int, number: int) -> bool:
        """Guards against a link older than one that stood already: it would cut that one's answers off."""
        newest = self.newest.get(node)
        return newest is not None and newest[0] == life and number < newest[1]

    def _onDisconnected(self, conn: TcpConnection) -> None:
        self.waiting.pop(conn, None)
        super()._onDisconnected(conn)

    def _onNodeConnected(self, node: Node) -> None:
        self.since[node] = time.monotonic()
        super()._onNodeConnected(node)

    def _onNodeDisconnected(self, node: Node) -> None:
        self.since[node] = time.monotonic()
        super()._onNodeDisconnected(node)

    def _onTick(self) -> None:
        super()._onTick()
        now = time.monotonic()
        self.slowest = max(self.slowest, now - (self.ticked or now))
        self.ticked = now
        if now < self.pinged + PING_S:
            return
        self.pinged, limit = now, now - self._syncObj.conf.connectionTimeout
        for node, conn in list(self._connections.items()):
            if conn.state == CONNECTION_STATE.CONNECTED:
                conn.send({"type": "ping"})  # and gives up a link that was silent too long
            elif conn.state == CONNECTION_STATE.CONNECTING and self._lastConnectAttempt[node] < limit:
                conn.disconnect()
        for conn in [conn for conn, began in self.waiting.items() if began < limit]:
            conn.disconnect()

    # --- entries ----------------------------------------------------------------------------------

    def send(self, node: Node, message: Told) -> bool:
        """Send, where the link is up."""
        if message["type"] == "next_node_idx":
            message["term"] = self._syncObj.raftCurrentTerm
            if message["reset"] and not message["success"] and message["next_node_idx"] <= self._log[-1][1]:
                self.went_back += 1
                message["next_node_idx"] = min(message["next_node_idx"], self._syncObj.raftCommitIndex + 1)
        return bool(super().send(node, message))

    def _onMessageReceived(self, node: Node, message: Told) -> None:
        kind = message["type"]
        if kind == "ping":
            return
        if kind == "next_node_idx" and message["term"] != self._syncObj.raftCurrentTerm:
            return
        held = 0
        if kind == "append_entries" and message["term"] >= self._syncObj.raftCurrentTerm:
            held = self._pass_over(message)
        super()._onMessageReceived(node, message)
        if held:
            self.send(
                node, {"type": "next_node_idx", "next_node_idx": held + 1, "reset": False, "success": True}
            )

    def _pass_over(self, message: Told) -> int:
        """Take out of a leader's message what stands here already.

        What parts from the log stays in it, and the engine removes all from there on.  Where nothing new
        is left and the log here goes further, this is an older message: all that it says is how far both
        logs are alike, which is returned for an answer (else 0).
        """
        log, at = self._log, message.get("prevLogIdx")
        first, last = log[0][1], log[-1][1]
        if at is None or "transmission" in message or not first <= at < last:
            return 0
        if log[at - first][2] != message["prevLogTerm"]:
            return 0
        entries = message.get("entries", [])
        alike = 0
        while alike < len(entries) and at < last and log[at + 1 - first][2] == entries[alike][2]:
            at, alike = at + 1, alike + 1
        message["prevLogIdx"], message["prevLogTerm"] = at, log[at - first][2]
        message["entries"] = entries[alike:]
        if message["entries"] or at == last:
            return 0
        for name in ("prevLogIdx", "prevLogTerm", "entries"):
            del message[name]
        message["commit_index"] = min(message["commit_index"], at)
        return int(at)

    @property
    def _log(self) -> Any:
        """The engine's journal: (command, index, term) by place."""
        return self._syncObj._SyncObj__raftLog

    # --- for operators ----------------------------------------------------------------------------

    def describe(self, names: dict[str, str]) -> dict[str, object]:
        """The engine as it stands, for whoever looks why a fleet has no leader; `names` are by address.

        Read from another thread: each figure is right, though not all of them at one instant.
        """
        engine, now = self._syncObj, time.monotonic()
        status, log = engine.getStatus(), self._log
        end = log[-1] if len(log) else (b"", 0, 0)
        leader = status["leader"]
        return {
            "state": ("follower", "candidate", "leader")[status["state"]],
            "term": status["raft_term"],
            "voted_for": names.get(engine._SyncObj__votedForNodeId),
            "leader": names.get(leader.id) if leader else None,
            "log_end": end[1],
            "log_end_term": end[2],
            "committed": status["commit_idx"],
            "applied": status["last_applied"],
            "went_back": self.went_back,
            "tick_s": round(now - (self.ticked or now), 2),
            "slowest_tick_s": round(self.slowest, 2),
            "links": {
                names[node.id]: {
                    "state": STATES[conn.state],
                    "dialled": "here" if self._shouldConnect(node) else "there",
                    "for_s": round(now - self.since.get(node, now), 1),
                    "match": status.get(f"match_idx_server_{node.id}", 0) if status["state"] == 2 else None,
                }
                for node, conn in list(self._connections.items())
                if node.id in names
            },
        }
