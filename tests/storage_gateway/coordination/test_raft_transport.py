"""The node's links and entries sent again: real engines, callers made by hand, logs from hypothesis."""

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
WAIT_S = 30.0  # seconds after which a test gives up


def log_of(folder: Path, terms: list[int]) -> Path:
    """A member's journal, an entry for each term."""
    folder.mkdir()
    journal = FileJournal(str(folder / "journal"))
    for index, term in enumerate(terms, 1):
        journal.add(NOTHING, index, term)
    journal.setCurrentTerm(terms[-1], None)
    journal._destroy()
    return folder


@contextmanager
def members(names: str) -> Iterator[tuple[dict[str, RaftNode], Callable[[str, Path], None]]]:
    """The members that are up, and what starts one; ports from the kernel."""
    held = [hold_port(socket.SO_REUSEADDR) for _ in names]
    addresses = {name: f"127.0.0.1:{port}" for name, (_, port) in zip(names, held, strict=True)}
    up: dict[str, RaftNode] = {}

    def start(name: str, folder: Path) -> None:
        up[name] = RaftNode(Membership(name, "life", addresses), folder, lambda *_: None)

    try:
        yield up, start
    finally:
        for node in up.values():
            node.close()
        for sock, _ in held:
            sock.close()


def test_a_majority_that_has_parted_by_hundreds_is_asked_back_once_not_once_for_each_entry(tmp_path):
    """Guards the fleet's return: one entry for each answer, ten a second, is 30 s without a commit here.

    What two members hold of a leader that lost its seat has to go; only the third can be elected.
    """
    parted, kept = [0, *[1] * 300], [0, *[2] * 299]
    with members("abc") as (up, start):
        for name, terms in (("b", kept), ("c", parted), ("a", parted)):
            start(name, log_of(tmp_path / name, terms))
            if name != "b":  # c has an older log: it votes for b, and b not for it
                until(lambda: all(one.describe().get("committed", 0) > 300 for one in up.values()))
        assert {one.leader() for one in up.values()} == {"b"}
        rewinds = [up[name].transport.log_rewinds for name in "ac"]
        assert all(count < 10 for count in rewinds), rewinds


def until(holds) -> None:
    """Wait; a test's own bound, not what is measured."""
    end = time.monotonic() + WAIT_S
    while not holds():
        assert time.monotonic() < end, "it never came"
        time.sleep(0.01)


# --- links: a member and a caller made by hand ----------------------------------------------------


class Caller:
    """The far end of a link."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), WAIT_S)
        self.held = b""

    def send(self, message: object) -> None:
        data = zlib.compress(pickle.dumps(message, 2))
        self.sock.sendall(struct.pack("i", len(data)) + data)

    def hear(self) -> object:
        """The next message; None where the link was ended."""

        def take(count: int) -> bytes:
            while len(self.held) < count:
                data = self.sock.recv(4096)
                if not data:
                    raise EOFError
                self.held += data
            taken, self.held = self.held[:count], self.held[count:]
            return taken

        try:
            return pickle.loads(zlib.decompress(take(struct.unpack("i", take(4))[0])))
        except (EOFError, ConnectionError):
            return None


@pytest.fixture
def near(tmp_path) -> Iterator[tuple[RaftNode, int, str]]:
    """A member whose only other one is the test: its port, and the test's address, which dials."""
    (tmp_path / "a").mkdir()
    held, port = hold_port(socket.SO_REUSEADDR)
    far = "127.0.0.1:9"  # greater than any port of the kernel's, as text
    node = RaftNode(
        Membership("a", "life", {"a": f"127.0.0.1:{port}", "b": far}), tmp_path / "a", lambda *_: None
    )
    yield node, port, far
    node.close()
    held.close()


def test_a_newer_link_ends_the_older_and_one_that_comes_late_is_refused(near):
    """Guards answers: what came late would take the live link's place, and answers would go nowhere."""
    node, port, far = near
    first, second, late, again = (Caller(port) for _ in range(4))
    first.send((far, 7, 1))
    assert first.hear() is not None, "a link that stands is pinged"
    second.send((far, 7, 3))
    assert second.hear() is not None
    while first.hear() is not None:
        pass  # ended once the newer stands
    late.send((far, 7, 2))
    assert late.hear() is None
    assert second.hear() is not None, "and the newer one stands on"
    again.send((far, 8, 1))
    assert again.hear() is not None, "a new life counts from one again"


@pytest.mark.parametrize(
    "said", [["status"], "readonly", "127.0.0.1:9", ("127.0.0.1:1", 7, 1), {"type": "x"}, None]
)
def test_a_caller_that_does_not_say_who_it_is_is_refused(near, said):
    """Guards the engine's thread, and its commands; None says nothing at all and is given up in time."""
    caller = Caller(near[1])
    if said is not None:
        caller.send(said)
    assert caller.hear() is None


def test_a_link_gone_silent_is_given_up_by_the_one_that_was_dialled(near):
    """Guards a half-dead link: only the other side may dial, and would wait for nothing here."""
    node, port, far = near
    caller = Caller(port)
    caller.send((far, 7, 1))
    while caller.hear() is not None:
        pass
    until(lambda: node.describe()["links"]["b"]["state"] == "down")


def test_a_dial_without_an_end_is_given_up_and_made_anew():
    """Guards a dial to a machine that is away: the kernel would try for two minutes, and nobody else may."""
    dialled, ended = [], []
    wire = RaftTransport.__new__(RaftTransport)
    node = TCPNode("127.0.0.1:1")
    conn = SimpleNamespace(state=1, disconnect=lambda: ended.append(node))
    wire.pinged_at = wire.ticked_at = wire.slowest_tick = 0.0
    wire.unidentified, wire._ready = {}, True
    wire._connections, wire._nodes, wire._lastConnectAttempt = {node: conn}, {node}, {node: time.monotonic()}
    wire._syncObj = SimpleNamespace(conf=SimpleNamespace(connectionTimeout=1.5))
    wire._connectIfNecessary = lambda: dialled.append(node)
    wire._onTick()
    assert not ended
    wire.pinged_at, wire._lastConnectAttempt = 0.0, {node: time.monotonic() - 1.6}
    wire._onTick()
    assert ended == [node]


# --- entries --------------------------------------------------------------------------------------


def alone(log: list[int], commit: int = 1, term: int = 5) -> tuple[RaftTransport, list, list]:
    """A transport over a log of these terms, and what passes it: to the engine, and out."""
    wire = RaftTransport.__new__(RaftTransport)
    wire.log_rewinds = 0
    entries = [(NOTHING, index, of) for index, of in enumerate(log, 1)]
    wire._syncObj = SimpleNamespace(raftCurrentTerm=term, raftCommitIndex=commit, _SyncObj__raftLog=entries)
    passed: list = []
    sent: list = []
    wire._onMessageReceivedCallback = lambda node, message: passed.append(message)
    conn = SimpleNamespace(state=2, send=sent.append)
    wire._connections, wire._send_random_sleep_duration = {"n": conn}, 0
    return wire, passed, sent


@given(
    st.integers(1, 8),
    st.lists(st.sampled_from([2, 4]), max_size=6),
    st.lists(st.sampled_from([3, 5]), max_size=6),
    st.data(),
)  # past the shared part no term is in both
def test_entries_alike_stay_and_what_parts_goes_whatever_comes_again(shared, mine, leaders, data):
    """As Raft says: what is alike stays, and from the first entry that parts all is replaced."""
    base = [0, *[1] * shared]
    here, there = base + sorted(mine), base + sorted(leaders)
    at = data.draw(st.integers(1, len(there)))
    upto = data.draw(st.integers(at, len(there)))
    wire, passed, sent = alone(here)
    wire._onMessageReceived(
        "n",
        {
            "type": "append_entries",
            "term": 5,
            "commit_index": upto,
            "prevLogIdx": at,
            "prevLogTerm": there[at - 1],
            "entries": [(NOTHING, index, there[index - 1]) for index in range(at + 1, upto + 1)],
        },
    )
    message, after = passed[0], list(here)
    if "prevLogIdx" in message:  # what the engine does with it
        prev = message["prevLogIdx"]
        if prev > len(here) or here[prev - 1] != message["prevLogTerm"]:
            assert at > len(here) or here[at - 1] != there[at - 1], "refused only where it does not fit"
            return
        after = after[:prev] + [entry[2] for entry in message["entries"]]
    wanted = list(here)
    for index in range(at, upto):
        if index >= len(wanted) or wanted[index] != there[index]:
            wanted = wanted[:index] + there[index:upto]
            break
    assert after == wanted
    answered = [m for m in sent if m["type"] == "next_node_idx"]
    if answered:
        assert answered[0]["next_node_idx"] == upto + 1 and message["commit_index"] <= upto
        assert here[:upto] == there[:upto], "only what is alike is acknowledged"


def test_an_acknowledgement_of_another_term_does_not_count():
    """Guards the commit: what was acknowledged to a leader of before may have been removed since."""
    wire, passed, _ = alone([0, 1, 1])
    for term in (4, 5):
        wire._onMessageReceived(
            "n", {"type": "next_node_idx", "term": term, "next_node_idx": 4, "reset": False, "success": True}
        )
    assert [message["term"] for message in passed] == [5]


def test_a_follower_that_has_parted_asks_for_what_follows_its_commit():
    wire, _, sent = alone([0, 1, 1, 1, 1, 1], commit=2)
    wire.send("n", {"type": "next_node_idx", "next_node_idx": 5, "reset": True, "success": False})
    wire.send("n", {"type": "next_node_idx", "next_node_idx": 7, "reset": True, "success": False})
    wire.send("n", {"type": "next_node_idx", "next_node_idx": 7, "reset": False, "success": True})
    assert [message["next_node_idx"] for message in sent] == [3, 7, 7], "one that lags goes no further back"
    assert all(message["term"] == 5 for message in sent)


# --- votes ----------------------------------------------------------------------------------------


class Silent(Transport):
    """A transport that keeps what is sent."""

    def __init__(self) -> None:
        super().__init__(None, None, [])
        self.sent: list[tuple[str, dict]] = []

    def send(self, node, message) -> bool:
        self.sent.append((node.id, message))
        return True


def test_a_member_that_was_restarted_does_not_vote_twice_in_a_term(tmp_path):
    """Guards an upgrade of the engine: its vote and term have to be on disk before they are told."""

    def asked(by: str) -> list[str]:
        wire = Silent()
        nodes = {name: TCPNode(f"127.0.0.1:{port}") for name, port in (("a", 1), ("b", 2), ("c", 3))}
        engine = SyncObj(
            nodes["a"],
            [nodes["b"], nodes["c"]],
            SyncObjConf(autoTick=False, journalFile=str(tmp_path / "journal")),
            transport=wire,
        )
        wire._onMessageReceived(
            nodes[by], {"type": "request_vote", "term": 4, "last_log_index": 9, "last_log_term": 3}
        )
        del engine  # gone without a word, as by SIGKILL
        return [to for to, message in wire.sent if message["type"] == "response_vote"]

    assert asked("b") == ["127.0.0.1:2"] and asked("c") == []


# --- the journal ----------------------------------------------------------------------------------


def ends(folder: Path) -> tuple[int, int]:
    """The first and the last index that are on disk."""
    journal = FileJournal(str(folder / "journal"))
    found = (journal[0][1], journal[-1][1])
    journal._destroy()
    return found


def test_a_journal_is_truncated_atomically_and_a_kill_loses_no_acknowledged_entry(tmp_path):
    """Guards the majority: the engine would clear a journal that begins before its snapshot, tail and all."""
    with members("a") as (up, start):
        start("a", log_of(tmp_path / "a", [0, *[1] * 20]))
        until(lambda: up["a"].describe().get("applied", 0) > 20)
        journal_file = tmp_path / "a" / "journal"
        old, number = journal_file.read_bytes(), journal_file.stat().st_ino
        up["a"].engine.forceLogCompaction()
        until(lambda: ends(tmp_path / "a")[0] > 1)
        assert journal_file.stat().st_ino != number, "another file took its name, whole"
    first, _ = ends(tmp_path / "a")
    journal_file.write_bytes(old)  # as it was before the cut
    journal = FileJournal(str(journal_file))
    last = journal[-1][1] + 3
    for index in range(last - 2, last + 1):
        journal.add(NOTHING, index, 2)  # and what was acknowledged since
    journal._destroy()
    with members("a") as (up, start):
        start("a", tmp_path / "a")
        until(lambda: up["a"].describe().get("committed", 0) > last)
        held = {index: term for _, index, term in up["a"].transport._log}
        assert min(held) == first and held[last] == 2, "it begins at the snapshot and kept what came after"


# --- what to look at ------------------------------------------------------------------------------


def test_a_diagnosis_names_each_gateway_by_second_and_forgets_the_oldest():
    told = Diagnosis()
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
        told.add(second + 0.5, "g0", engine)
    said = told.lines(["g0", "g1"])
    assert "  44 g0: candidate, 4 (g0), -; 9@3, 7; 1; 0.25 (3.5)" in said
    assert not any(line.startswith("   4") for line in said)
    assert "     g0: g1 dialling (here) 2.5 s" in said and said[-1] == "     g1: never spoke"
