"""Property tests: random legal event sequences, with the rules checked from outside the scheduler."""

from __future__ import annotations

from hypothesis import example, given
from hypothesis import strategies as st
from scheduler_rig import Rig, of

from mallowbeam.storage_gateway.scheduler.interface import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    DiscoveryUpdate,
    DiscoveryUpdateKind,
    Event,
    Fail,
    Idempotency,
    NodeEntry,
    NodeState,
    Outcome,
    Reject,
    RequestArrived,
    Send,
)

LIMITED, BURST, SLACK = 20.0, 32.0, 8.0
NEVER_RAN = (Outcome.REJECTED, Outcome.MISDIRECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT)
CLASSES = ("read", "log", "keyed", "ordered")
EVENTS = st.one_of(
    st.tuples(
        st.just("ask"),
        st.sampled_from(CLASSES),
        st.integers(-1, 2),
        st.integers(1, 8),
        st.sampled_from(["gold", "basic"]),
    ),
    st.tuples(st.just("end"), st.sampled_from(list(Outcome)), st.integers(0, 50)),
    st.tuples(st.just("gone"), st.integers(0, 50)),
    st.tuples(st.just("list"), st.integers(0, 2), st.sampled_from(list(NodeState)), st.booleans()),
    st.tuples(st.just("wait"), st.floats(0.002, 0.6)),
)


class RuleChecker:
    """Checks a rig's attempts and final answers against the rules."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.open = rig, {f"n{i}" for i in range(3)}
        self.requests: dict[str, RequestArrived] = {}
        self.deadline: dict[str, float] = {}
        self.ended: set[str] = set()
        self.attempt_numbers: dict[str, int] = {}
        self.in_flight: dict[tuple[str, int], str] = {}
        self.ran: dict[str, list[float]] = {}
        self.sent: list[tuple[float, str, str, int]] = []
        self.retries_at: list[float] = []
        self.level, self.at = BURST, rig.now
        self.started_at: dict[str, float] = {}
        self.slow_start_units: list[tuple[float, str, int]] = []

    def check_actions(self, now: float, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.check_send(now, action)
            elif isinstance(action, Reject | Fail):
                assert action.request not in self.ended, "two final answers"
                assert now <= self.deadline[action.request] + 0.008, "answered too late"
                if isinstance(action, Reject):
                    cls = self.rig.settings.classes[self.requests[action.request].request_class]
                    may_have_run = action.request in self.ran or any(
                        k[0] == action.request for k in self.in_flight
                    )
                    assert (
                        cls.idempotency is Idempotency.SAFE or not may_have_run
                    ), "a rejection of a request that may have run"
                self.ended.add(action.request)

    def check_send(self, now: float, send: Send) -> None:
        request = self.requests[send.request]
        assert send.request not in self.ended, "sent after its end"
        assert send.node in self.open, "sent to a draining or removed node"
        number = self.attempt_numbers.get(send.request, 0)
        self.attempt_numbers[send.request] = number + 1
        assert number < self.rig.settings.max_attempts
        assert not any(k[0] == send.request for k in self.in_flight), "two attempts at once"
        if number:
            self.retries_at.append(now)
            recent = [t for t in self.retries_at if t > now - 5.0]
            recent_requests = sum(1 for d in self.deadline if self.arrived_at[d] > now - 5.0)
            assert len(recent) <= 3 + 0.1 * recent_requests, "over the retry budget"
        cls = self.rig.settings.classes[request.request_class]
        if send.request in self.ran:
            assert cls.idempotency is not Idempotency.UNSAFE, "an unsafe request sent again"
            if cls.idempotency is Idempotency.KEYED:
                assert now <= self.ran[send.request][0] + cls.dedup_window
        if not number and request.plan == "basic":
            self.level = min(BURST, self.level + (now - self.at) * LIMITED) - request.units
            self.at = now
            assert self.level >= -SLACK - 1e-6, "over the limit"
        if cls.ordered:
            unfinished = [
                r
                for r in self.requests.values()
                if r.request_class == request.request_class
                and (r.request not in self.ended or any(k[0] == r.request for k in self.in_flight))
            ]
            assert unfinished[0].request == send.request, "out of order"
        self.in_flight[(send.request, number)] = send.node
        self.sent.append((now, send.node, send.request, request.units))
        if send.node in self.started_at:
            age = now - self.started_at[send.node]
            if age < 10.0:
                assert request.plan == "gold", "a warming node got units outside reserves"
                self.slow_start_units.append((now, send.node, request.units))
                window = [u for t, n, u in self.slow_start_units if n == send.node and t > now - 2.0]
                assert sum(window) <= 2 * 10.0 + 8 + 10, "a warming node got more than the reserve"

    arrived_at: dict[str, float]


@given(st.lists(EVENTS, max_size=120))
@example([("ask", "read", 0, 1, "basic"), ("ask", "log", 0, 1, "gold"), ("end", Outcome.MISDIRECTED, 0)])
def test_rules_hold_for_any_event_sequence(drawn_events):
    rig = Rig(
        nodes=3,
        slow_start_units=24.0,
        slow_start_capacity=0.2,
        slow_start_time=10.0,
        overload_multiple=2.0,
        overload_window=2.0,
        hosts=2,
        retry_budget_floor=3.0,
        retry_budget_ratio=0.1,
        retry_budget_window=5.0,
        order_settle_time=0.1,
    )
    checker = RuleChecker(rig)
    checker.arrived_at = {}
    plain_step = rig.step

    def step(*events: Event, after: float = 0.0) -> list[Action]:
        actions = plain_step(*events, after=after)
        checker.check_actions(rig.now, actions)
        return actions

    rig.step = step
    for drawn in drawn_events:
        if drawn[0] == "ask":
            _, cls, shard, units, plan = drawn
            request = rig.request(
                cls,
                shard=None if shard < 0 else shard,
                units=units,
                plan=plan,
                volume=plan,
                key="0a" if cls == "ordered" else f"{rig.request_count:016x}",
            )
            checker.requests[request.request] = request
            checker.deadline[request.request] = rig.now + request.expires_in
            checker.arrived_at[request.request] = rig.now
            step(request)
        elif drawn[0] == "end" and checker.in_flight:
            (request, number), node = sorted(checker.in_flight.items())[drawn[2] % len(checker.in_flight)]
            del checker.in_flight[(request, number)]
            outcome = drawn[1]
            if outcome not in NEVER_RAN:
                checker.ran.setdefault(request, []).append(
                    next(t for t, _, r, _ in checker.sent if r == request)
                )
            served = outcome is Outcome.OK and request not in checker.ended
            if served:
                checker.ended.add(request)
            step(AttemptEnded(request, number, node, outcome, 0.05, served))
        elif drawn[0] == "gone":
            waiting = [r for r in checker.requests if r not in checker.ended]
            if waiting:
                name = waiting[drawn[1] % len(waiting)]
                checker.ended.add(name)
                step(ClientDisconnected(name))
        elif drawn[0] == "list":
            _, number, state, restarted = drawn
            name = f"n{number}"
            (checker.open.add if state is NodeState.READY else checker.open.discard)(name)
            since = rig.now if restarted else checker.started_at.get(name)
            if restarted and state is NodeState.READY:
                checker.started_at[name] = rig.now
            step(
                DiscoveryUpdate(
                    DiscoveryUpdateKind.DELTA, 2, [NodeEntry(name, state, number, "ab"[number % 2], since)]
                )
            )
        elif drawn[0] == "wait":
            rig.wait(drawn[1])
    rig.wait(4.0)
    assert set(checker.requests) == checker.ended, "a request without an answer"


@given(st.lists(EVENTS, max_size=60))
def test_same_events_same_actions(drawn_events):
    def play() -> list:
        rig, seen, sends = Rig(nodes=3), [], []
        for drawn in drawn_events:
            if drawn[0] == "ask":
                shard = None if drawn[2] < 0 else drawn[2]
                actions = rig.step(rig.request(drawn[1], shard=shard, units=drawn[3]))
            elif drawn[0] == "end" and sends:
                actions = rig.step(rig.ended(sends.pop(drawn[2] % len(sends)), drawn[1]))
            else:
                actions = rig.wait(0.05)
            sends += of(actions, Send)
            seen.append(actions)
        return seen

    assert play() == play()
