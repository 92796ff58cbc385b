"""The replicated log without its engine: entries, refusals, snapshots, and the calls of one member."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from raft_members import Add, Adder, EventRecorder, Fail, PolicyVersion, ReplicaFailed, Sum, make_log

from mallowbeam.storage_gateway.coordination.errors import LogUnusableError
from mallowbeam.storage_gateway.coordination.policy_document import Policy
from mallowbeam.storage_gateway.coordination.raft_node import ReplicatedState
from mallowbeam.storage_gateway.coordination.replicated_log import (
    FORMAT,
    MAX_ENTRY_BYTES,
    Committed,
    Entry,
    EntryTooLargeError,
    InvalidSnapshotError,
    Refusal,
    ReplicatedLog,
)


def body(*parts: object) -> bytes:
    return msgspec.msgpack.encode(parts)


class UnknownEntry(Entry, frozen=True, tag="stranger"):
    text: str = ""


# --- the log --------------------------------------------------------------------------------------


def test_an_entry_changes_its_own_state_machine_only_and_is_reported_with_the_state_after_it():
    log = make_log()
    result = log.apply(log.encode("shares", "g1", Add(3)))
    assert result == Committed(1, "shares", "g1", Add(3), Sum(3, "g1"))
    assert log.states == {"shares": Sum(3, "g1"), "pools": Sum()}


@pytest.mark.parametrize(
    "unknown",
    [
        body(FORMAT + 1, "shares", "g1", Add(3)),
        body(FORMAT, "elsewhere", "g1", Add(3)),
        body(FORMAT, "shares", "g1", UnknownEntry()),
        body(FORMAT, "shares"),
        b"\xc1",
        b"",
        body(FORMAT, "shares", "g1", {"kind": "add", "amount": 1, "new": 2}),
        body(FORMAT, "shares", "g1" * MAX_ENTRY_BYTES, Add(3)),
    ],
    ids=["newer", "topic", "kind", "short", "no type", "empty", "field", "long"],
)
def test_an_unknown_or_too_long_entry_is_skipped_and_counted(unknown):
    """Guards equal indices: a member that does not know an entry still counts it, as the others do."""
    log = make_log()
    assert log.apply(unknown) is None and log.index == 1
    assert log.states == make_log().states


def test_an_entry_beyond_its_size_limit_is_not_encoded():
    with pytest.raises(EntryTooLargeError, match="at most 65536") as caught:
        make_log().encode("shares", "g1", UnknownEntry("x" * MAX_ENTRY_BYTES))
    assert caught.value.remedy_text


def test_an_exception_of_a_state_machine_is_a_refusal():
    log = make_log()
    result = log.apply(log.encode("shares", "g1", Fail()))
    assert "ZeroDivisionError" in result.refusal.what and result.state == Sum()


def test_a_local_error_propagates_and_is_no_refusal():
    """Guards the states: when this member is out of memory, the others have applied the entry."""

    class OutOfMemory(Adder):
        def apply(self, *_: object) -> Sum:
            raise MemoryError

    log = ReplicatedLog([OutOfMemory("shares")])
    with pytest.raises(MemoryError):
        log.apply(log.encode("shares", "g1", Add(1)))


def test_a_refusal_of_one_state_machine_rejects_the_policy():
    log = make_log()
    log.apply(log.encode("pools", "g1", Add(50)))
    result = log.push(Policy(shares={"most": 7}, pools={"most": 10}))
    assert isinstance(result, Refusal) and result.where == "pools.most" and "50" in result.remedy
    assert log.states["shares"].most == 100
    assert [result.state.most for result in log.push(Policy(shares={"most": 7}, pools={"most": 60}))] == [
        7,
        60,
    ]


@given(
    st.lists(
        st.one_of(
            st.binary(max_size=40),
            st.builds(
                lambda topic, by, amount: body(FORMAT, topic, by, Add(amount)),
                st.sampled_from(["shares", "pools", "none"]),
                st.text(max_size=3),
                st.integers(-5, 60),
            ),
        )
    )
)
def test_two_members_agree_on_any_bytes_also_over_a_snapshot(bodies):
    one, two = make_log(), make_log()
    for entry in bodies:
        one.apply(entry)
        two.apply(entry)
        fresh = make_log()
        assert fresh.load(two.dump()) == two.all_states()
        two = fresh
    assert (one.index, one.states, one.unhosted) == (two.index, two.states, two.unhosted)


def test_a_state_machine_that_missed_entries_is_not_loaded():
    """Guards a section turned on later: that member's state would differ from the others'."""
    off = make_log("shares")
    off.apply(make_log().encode("pools", "g1", Add(1)))
    assert off.unhosted == {"pools"}
    on = make_log()
    with pytest.raises(InvalidSnapshotError, match="pools was off here"):
        on.load(off.dump())
    assert make_log("shares").load(off.dump())
    never = make_log("shares")
    assert (
        on.load(never.dump()) and on.states["pools"] == Sum()
    ), "no entry was missed: it starts from the initial state"


@pytest.mark.parametrize("bad", [b"", body(FORMAT + 1, 1, {}, []), body(FORMAT, 1, {"shares": [1]}, [])])
def test_a_snapshot_that_cannot_be_read_changes_nothing(bad):
    log = make_log()
    log.apply(log.encode("shares", "g1", Add(1)))
    with pytest.raises(InvalidSnapshotError):
        log.load(bad)
    assert log.index == 1 and log.states["shares"].total == 1


# --- the replicated calls, as the engine makes them -----------------------------------------------


def raise_memory_error(*_: object) -> None:
    raise MemoryError


class DirectCalls:
    """One member's replicated state without an engine."""

    def __init__(self, *topics: str) -> None:
        self.recorded = EventRecorder()
        self.state = ReplicatedState(make_log(*topics), "g0", "life", self.recorded)

    def __getattr__(self, name: str):
        return lambda *arguments: getattr(self.state, name)(*arguments, _doApply=True)


def test_all_states_are_reported_at_the_start():
    assert DirectCalls().recorded.events[0] == PolicyVersion() and set(DirectCalls().recorded.states()) == {
        "shares",
        "pools",
    }


def test_the_engine_numbers_the_calls_as_journals_on_disk_do():
    """Guards journals: the engine finds a call by its position among the sorted names; see docs/formats."""
    assert sorted(name for name in dir(ReplicatedState) if name.endswith("_v0")) == [
        "change_policy_v0",
        "heartbeat_v0",
        "put_entry_v0",
    ]


def test_calls_of_journals_without_state_machines_still_apply():
    member = DirectCalls()
    assert member.change_policy(0, '{"drains":["n0"]}') == 1 and member.change_policy(0, "{}") == 0
    member.heartbeat("g0", "life", 7)
    assert member.recorded.events[-1].number == 7


def test_a_policy_is_judged_by_the_state_machines_that_its_pusher_named():
    """Guards a replay: a state machine turned on later must not refuse a policy committed without it."""
    member = DirectCalls()
    member.put_entry(member.state.log.encode("pools", "g1", Add(50)))
    text = '{"pools":{"most":10}}'
    assert member.change_policy(0, text, ("shares",)) == 1
    assert member.change_policy(1, text, ("pools", "shares")).where == "pools.most"
    assert member.state.version == 1


def test_a_text_that_is_no_policy_is_refused_and_not_raised():
    refusal = DirectCalls().change_policy(0, '{"new": 1}', ())
    assert isinstance(refusal, Refusal) and "new" in refusal.what


@pytest.mark.parametrize(
    "failure",
    [
        lambda member: member.change_policy(0, "{}", ("maintenance",)),
        lambda member: member.state._deserialize({"format": 3}),
        lambda member: member.state._deserialize({"format": 2, "version": 1, "body": "{}", "log": b"\xc1"}),
        lambda member: member.put_entry(member.state.log.encode("pools", "g1", Add(10**6))),
    ],
    ids=["topic", "newer", "bad", "memory"],
)
def test_a_failed_replica_reports_once_applies_nothing_and_writes_no_snapshot(failure, monkeypatch):
    member = DirectCalls()
    with monkeypatch.context() as patch:
        patch.setattr(Adder, "apply", raise_memory_error)
        failure(member)
    assert len(member.recorded.of(ReplicaFailed)) == 1
    events = list(member.recorded.events)
    assert member.change_policy(0, "{}", ()) is None, "the outcome on the other members is not known here"
    member.put_entry(member.state.log.encode("pools", "g1", Add(50)))
    member.heartbeat("g0", "life", 7)
    assert member.recorded.events == events and member.state.log.states["pools"] == Sum()
    with pytest.raises(LogUnusableError):
        member.state._serialize()


def test_an_invalid_call_is_refused_and_fails_no_member():
    """Guards the fleet: one bad entry must not make every member leave."""
    member = DirectCalls()
    member.put_entry(7)
    assert isinstance(member.change_policy(0, 7, ()), Refusal)
    assert isinstance(member.change_policy(0, "{}", 7), Refusal)
    assert not member.recorded.of(ReplicaFailed) and member.change_policy(0, "{}", ()) == 1


def test_a_snapshot_holds_the_states_and_nothing_of_the_process():
    member, other = DirectCalls(), DirectCalls()
    member.put_entry(member.state.log.encode("pools", "g1", Add(50)))
    member.change_policy(0, '{"drains":["n0"]}', ("pools", "shares"))
    data = member.state._serialize()
    assert set(data) == {"format", "version", "body", "log"}
    other.state._deserialize(data)
    assert other.recorded.states()["pools"] == Sum(50, "g1")
    assert other.recorded.of(PolicyVersion)[-1] == PolicyVersion(1, '{"drains":["n0"]}')


def test_a_snapshot_without_state_machines_is_loaded():
    member = DirectCalls()
    member.state._deserialize({"version": 4, "body": '{"drains":["n0"]}'})
    assert member.recorded.events[-1] == PolicyVersion(4, '{"drains":["n0"]}')
    assert not member.recorded.of(ReplicaFailed)
