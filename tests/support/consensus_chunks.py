"""Helpers for tests of a leader that sends a small snapshot in chunks to a lagging member."""

from __future__ import annotations

from consensus_host import Host, bodies

from mallowbeam.router.rpc.messages_pb2 import AppendResponse, SnapshotChunk, SnapshotProgress

SNAPSHOT_STATE = bytes(range(10))
SLOW_MEMBER_ID = 3  # the member that lags behind
TICK_S = 0.1


def leader(**settings: object) -> Host:
    """Return a leader whose log begins with a snapshot of 10 bytes; chunks of 4 bytes, a window of 8."""
    settings = {"trailing_entries": 0, "chunk_bytes": 4, "chunk_window_bytes": 8, **settings}
    host = Host(**settings)
    host.lead()
    host.node.compact(2, SNAPSHOT_STATE)
    host.output()
    host.complete_writes()
    return host


def reject_append(host: Host) -> list[SnapshotChunk]:
    """Reject an append as the slow member, whose log is empty; return the chunks sent to it."""
    rejection = AppendResponse(term=host.node.term, success=False, hint_index=0, round=1)
    return bodies(host.receive(SLOW_MEMBER_ID, append_response=rejection).send, "snapshot_chunk")


def acknowledge(host: Host, received: int, index: int = 2) -> list[SnapshotChunk]:
    """Acknowledge `received` bytes as the slow member; return the chunks sent to it."""
    progress = SnapshotProgress(term=host.node.term, round=1, index=index, received=received)
    return bodies(host.receive(SLOW_MEMBER_ID, snapshot_progress=progress).send, "snapshot_chunk")


def offsets(chunks: list[SnapshotChunk]) -> list[int]:
    return [chunk.offset for chunk in chunks]


def advance_time(host: Host, seconds: float, *, responds: bool = True) -> list[SnapshotChunk]:
    """Advance time; member 2 responds to heartbeats, and the slow one only if it `responds`."""
    sent = []
    for _ in range(round(seconds / TICK_S)):
        host.confirm(2, 2)
        if responds:
            sent += bodies(host.confirm(SLOW_MEMBER_ID, 0).send, "snapshot_chunk")
        sent += bodies(host.tick(TICK_S).send, "snapshot_chunk")
    return sent
