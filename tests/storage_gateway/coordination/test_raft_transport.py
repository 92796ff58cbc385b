"""Raft transport: links and retransmitted entries, with real engines, raw sockets and generated logs."""

from __future__ import annotations

import pickle
import socket
import struct
import time
import zlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pysyncobj import SyncObj, SyncObjConf
from pysyncobj.journal import FileJournal
from pysyncobj.node import TCPNode
from pysyncobj.transport import Transport

from mallowbeam.lab.faults.diagnosis import KEPT, Diagnosis
from mallowbeam.lab.rig import hold_port
from mallowbeam.storage_gateway.coordination.raft_node import Membership, RaftNode
from mallowbeam.storage_gateway.coordination.raft_transport import RaftTransport

NOTHING = b"\x01"  # the engine's entry without effect
WAIT_S = 30.0  # after which a test fails


def write_journal(folder: Path, terms: list[int]) -> Path:
    """Write a member's journal with an entry for each term; returns its folder."""
    folder.mkdir()
    journal = FileJournal(str(folder / "journal"))
    for index, term in enumerate(terms, 1):
        journal.add(NOTHING, index, term)
    journal.setCurrentTerm(terms[-1], None)
    journal._destroy()
    return folder


@contextmanager
def members(names: str) -> Iterator[tuple[dict[str, RaftNode], Callable[[str, Path], None]]]:
    """The running members, and a function that starts one; ports from the kernel."""
    sockets = [hold_port(socket.SO_REUSEADDR) for _ in names]
    addresses = {name: f"127.0.0.1:{port}" for name, (_, port) in zip(names, sockets, strict=True)}
    running: dict[str, RaftNode] = {}

    def start(name: str, folder: Path) -> None:
        running[name] = RaftNode(Membership(name, "life", addresses), folder, lambda *_: None)

    try:
        yield running, start
    finally:
        for node in running.values():
            node.close()
        for sock, _ in sockets:
            sock.close()


def test_a_majority_diverged_by_hundreds_of_entries_is_repaired_by_few_responses(tmp_path):
    """Guards recovery: going back one entry with each response, ten a second, takes 30 s without a commit.

    Two members have entries of a deposed leader, which must be replaced; only the third can be elected.
    """
    diverged, newer = [0, *[1] * 300], [0, *[2] * 299]
    with members("abc") as (running, start):
        for name, terms in (("b", newer), ("c", diverged), ("a", diverged)):
            start(name, write_journal(tmp_path / name, terms))
            if name != "b":  # c has an older log: it votes for b, and b not for it
                wait_until(lambda: all(one.describe().get("committed", 0) > 300 for one in running.values()))
        assert {one.leader() for one in running.values()} == {"b"}
        rewinds = [running[name].transport.log_rewinds for name in "ac"]
        assert all(count < 10 for count in rewinds), rewinds


def wait_until(condition) -> None:
    """Wait for a condition; fails the test after `WAIT_S`."""
    end = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < end, "condition not met in time"
        time.sleep(0.01)


# --- links: a member and a raw socket -------------------------------------------------------------


class RawConnection:
    """The remote end of a link, on a raw socket."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), WAIT_S)
        self.buffered = b""

    def send(self, message: object) -> None:
        data = zlib.compress(pickle.dumps(message, 2))
        self.sock.sendall(struct.pack("i", len(data)) + data)

    def receive(self) -> object:
        """The next message; None if the link was closed."""

        def read(count: int) -> bytes:
            while len(self.buffered) < count:
                data = self.sock.recv(4096)
                if not data:
                    raise EOFError
                self.buffered += data
            chunk, self.buffered = self.buffered[:count], self.buffered[count:]
            return chunk

        try:
            return pickle.loads(zlib.decompress(read(struct.unpack("i", read(4))[0])))
        except (EOFError, ConnectionError):
            return None


@pytest.fixture
def member_and_port(tmp_path) -> Iterator[tuple[RaftNode, int, str]]:
    """A member whose only peer is the test: the node, its port, and the address of the test, which dials."""
    (tmp_path / "a").mkdir()
    port_holder, port = hold_port(socket.SO_REUSEADDR)
    test_address = "127.0.0.1:9"  # as text, greater than any port of the kernel's
    node = RaftNode(
        Membership("a", "life", {"a": f"127.0.0.1:{port}", "b": test_address}),
        tmp_path / "a",
        lambda *_: None,
    )
    yield node, port, test_address
    node.close()
    port_holder.close()


def test_a_newer_link_replaces_the_older_and_a_late_link_is_rejected(member_and_port):
    """Guards responses: a late link would replace the live one, and responses would be lost."""
    node, port, test_address = member_and_port
    first_link, second_link, late_link, restarted_link = (RawConnection(port) for _ in range(4))
    first_link.send((test_address, 7, 1))
    assert first_link.receive() is not None, "an open link is pinged"
    second_link.send((test_address, 7, 3))
    assert second_link.receive() is not None
    while first_link.receive() is not None:
        pass  # closed once the newer link is identified
    late_link.send((test_address, 7, 2))
    assert late_link.receive() is None
    assert second_link.receive() is not None, "the newer link stays open"
    restarted_link.send((test_address, 8, 1))
    assert restarted_link.receive() is not None, "a new incarnation counts from one again"


@pytest.mark.parametrize(
    "message", [["status"], "readonly", "127.0.0.1:9", ("127.0.0.1:1", 7, 1), {"type": "x"}, None]
)
def test_an_unidentified_caller_is_disconnected(member_and_port, message):
    """Guards the engine's thread and its commands; with None nothing is sent, and the link times out."""
    connection = RawConnection(member_and_port[1])
    if message is not None:
        connection.send(message)
    assert connection.receive() is None


def test_the_dialled_side_closes_a_silent_link(member_and_port):
    """Guards a half-open link: only the other side may dial, and this side would keep the dead link."""
    node, port, test_address = member_and_port
    connection = RawConnection(port)
    connection.send((test_address, 7, 1))
    while connection.receive() is not None:
        pass
    wait_until(lambda: node.describe()["links"]["b"]["state"] == "down")


def test_a_dial_that_does_not_complete_times_out():
    """Guards a dial to an unreachable machine: the kernel retries for two minutes; only this side dials."""
    dialled, disconnected = [], []
    transport = RaftTransport.__new__(RaftTransport)
    node = TCPNode("127.0.0.1:1")
    conn = SimpleNamespace(state=1, disconnect=lambda: disconnected.append(node))
    transport.pinged_at = transport.ticked_at = transport.slowest_tick = 0.0
    transport.unidentified, transport._ready = {}, True
    transport._connections, transport._nodes, transport._lastConnectAttempt = (
        {node: conn},
        {node},
        {node: time.monotonic()},
    )
    transport._syncObj = SimpleNamespace(conf=SimpleNamespace(connectionTimeout=1.5))
    transport._connectIfNecessary = lambda: dialled.append(node)
    transport._onTick()
    assert not disconnected
    transport.pinged_at, transport._lastConnectAttempt = 0.0, {node: time.monotonic() - 1.6}
    transport._onTick()
    assert disconnected == [node]


# --- entries --------------------------------------------------------------------------------------


def transport_over(log: list[int], commit: int = 1, term: int = 5) -> tuple[RaftTransport, list, list]:
    """A transport over a log of these terms, the messages it passes to the engine, and those it sends."""
    transport = RaftTransport.__new__(RaftTransport)
    transport.log_rewinds = 0
    entries = [(NOTHING, index, of) for index, of in enumerate(log, 1)]
    transport._syncObj = SimpleNamespace(
        raftCurrentTerm=term, raftCommitIndex=commit, _SyncObj__raftLog=entries
    )
    received: list = []
    sent: list = []
    transport._onMessageReceivedCallback = lambda node, message: received.append(message)
    conn = SimpleNamespace(state=2, send=sent.append)
    transport._connections, transport._send_random_sleep_duration = {"n": conn}, 0
    return transport, received, sent


@given(
    st.integers(1, 8),
    st.lists(st.sampled_from([2, 4]), max_size=6),
    st.lists(st.sampled_from([3, 5]), max_size=6),
    st.data(),
)  # after the shared prefix no term is in both logs
def test_matching_entries_stay_and_diverged_ones_are_replaced_on_any_retransmission(
    shared_length, own_terms, leader_terms, data
):
    """As in Raft: matching entries stay, and all entries from the first conflict on are replaced."""
    base = [0, *[1] * shared_length]
    own_log, leader_log = base + sorted(own_terms), base + sorted(leader_terms)
    at = data.draw(st.integers(1, len(leader_log)))
    upto = data.draw(st.integers(at, len(leader_log)))
    transport, received, sent = transport_over(own_log)
    transport._onMessageReceived(
        "n",
        {
            "type": "append_entries",
            "term": 5,
            "commit_index": upto,
            "prevLogIdx": at,
            "prevLogTerm": leader_log[at - 1],
            "entries": [(NOTHING, index, leader_log[index - 1]) for index in range(at + 1, upto + 1)],
        },
    )
    message, after = received[0], list(own_log)
    if "prevLogIdx" in message:  # as the engine applies it
        prev = message["prevLogIdx"]
        if prev > len(own_log) or own_log[prev - 1] != message["prevLogTerm"]:
            assert (
                at > len(own_log) or own_log[at - 1] != leader_log[at - 1]
            ), "rejected only if the previous entry does not match"
            return
        after = after[:prev] + [entry[2] for entry in message["entries"]]
    wanted = list(own_log)
    for index in range(at, upto):
        if index >= len(wanted) or wanted[index] != leader_log[index]:
            wanted = wanted[:index] + leader_log[index:upto]
            break
    assert after == wanted
    answered = [m for m in sent if m["type"] == "next_node_idx"]
    if answered:
        assert answered[0]["next_node_idx"] == upto + 1 and message["commit_index"] <= upto
        assert own_log[:upto] == leader_log[:upto], "only matching entries are acknowledged"


def test_an_acknowledgement_of_another_term_does_not_count():
    """Guards the commit: entries acknowledged to an earlier leader may have been removed since."""
    transport, received, _ = transport_over([0, 1, 1])
    for term in (4, 5):
        transport._onMessageReceived(
            "n", {"type": "next_node_idx", "term": term, "next_node_idx": 4, "reset": False, "success": True}
        )
    assert [message["term"] for message in received] == [5]


def test_a_diverged_follower_asks_for_the_entries_after_its_commit_index():
    transport, _, sent = transport_over([0, 1, 1, 1, 1, 1], commit=2)
    transport.send("n", {"type": "next_node_idx", "next_node_idx": 5, "reset": True, "success": False})
    transport.send("n", {"type": "next_node_idx", "next_node_idx": 7, "reset": True, "success": False})
    transport.send("n", {"type": "next_node_idx", "next_node_idx": 7, "reset": False, "success": True})
    assert [message["next_node_idx"] for message in sent] == [
        3,
        7,
        7,
    ], "a lagging follower goes no further back"
    assert all(message["term"] == 5 for message in sent)


# --- votes ----------------------------------------------------------------------------------------


class RecordingTransport(Transport):
    """A transport that records sent messages."""

    def __init__(self) -> None:
        super().__init__(None, None, [])
        self.sent: list[tuple[str, dict]] = []

    def send(self, node, message) -> bool:
        self.sent.append((node.id, message))
        return True


def test_a_member_that_was_restarted_does_not_vote_twice_in_a_term(tmp_path):
    """Guards an upgrade of the engine: its vote and term must be on disk before they are sent."""

    def votes_granted(by: str) -> list[str]:
        transport = RecordingTransport()
        nodes = {name: TCPNode(f"127.0.0.1:{port}") for name, port in (("a", 1), ("b", 2), ("c", 3))}
        engine = SyncObj(
            nodes["a"],
            [nodes["b"], nodes["c"]],
            SyncObjConf(autoTick=False, journalFile=str(tmp_path / "journal")),
            transport=transport,
        )
        transport._onMessageReceived(
            nodes[by], {"type": "request_vote", "term": 4, "last_log_index": 9, "last_log_term": 3}
        )
        del engine  # dropped without a shutdown, as by SIGKILL
        return [to for to, message in transport.sent if message["type"] == "response_vote"]

    assert votes_granted("b") == ["127.0.0.1:2"] and votes_granted("c") == []


# --- the journal ----------------------------------------------------------------------------------


def journal_bounds(folder: Path) -> tuple[int, int]:
    """The first and the last index on disk."""
    journal = FileJournal(str(folder / "journal"))
    found = (journal[0][1], journal[-1][1])
    journal._destroy()
    return found


def test_a_journal_is_truncated_atomically_and_a_kill_loses_no_acknowledged_entry(tmp_path):
    """Guards the majority: the engine would clear a whole journal that begins before its snapshot."""
    with members("a") as (running, start):
        start("a", write_journal(tmp_path / "a", [0, *[1] * 20]))
        wait_until(lambda: running["a"].describe().get("applied", 0) > 20)
        journal_file = tmp_path / "a" / "journal"
        old_bytes, number = journal_file.read_bytes(), journal_file.stat().st_ino
        running["a"].engine.forceLogCompaction()
        wait_until(lambda: journal_bounds(tmp_path / "a")[0] > 1)
        assert journal_file.stat().st_ino != number, "a new file has replaced the old one"
    first_index, _ = journal_bounds(tmp_path / "a")
    journal_file.write_bytes(old_bytes)  # as before the truncation
    journal = FileJournal(str(journal_file))
    last = journal[-1][1] + 3
    for index in range(last - 2, last + 1):
        journal.add(NOTHING, index, 2)  # and entries acknowledged since
    journal._destroy()
    with members("a") as (running, start):
        start("a", tmp_path / "a")
        wait_until(lambda: running["a"].describe().get("committed", 0) > last)
        terms_by_index = {index: term for _, index, term in running["a"].transport._log}
        assert (
            min(terms_by_index) == first_index and terms_by_index[last] == 2
        ), "it begins at the snapshot and keeps later entries"


# --- diagnosis ------------------------------------------------------------------------------------


def test_a_diagnosis_names_each_gateway_by_second_and_forgets_the_oldest():
    recorder = Diagnosis()
    engine = {
        "state": "candidate",
        "term": 4,
        "voted_for": "g0",
        "leader": None,
        "log_end": 9,
        "log_end_term": 3,
        "committed": 7,
        "went_back": 1,
        "tick_s": 0.25,
        "slowest_tick_s": 3.5,
        "links": {"g1": {"state": "dialling", "dialled": "here", "for_s": 2.5, "match": None}},
    }
    for second in range(KEPT + 5):
        recorder.add(second + 0.5, "g0", engine)
    lines = recorder.lines(["g0", "g1"])
    assert "  44 g0: candidate, 4 (g0), -; 9@3, 7; 1; 0.25 (3.5)" in lines
    assert not any(line.startswith("   4") for line in lines)
    assert "     g0: g1 dialling (here) 2.5 s" in lines and lines[-1] == "     g1: never spoke"
