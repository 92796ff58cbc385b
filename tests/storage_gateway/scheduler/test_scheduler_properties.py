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
MOVE = st.one_of(
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


class Referee:
    """Checks a rig's attempts and final answers against the rules."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.open = rig, {f"n{i}" for i in range(3)}
        self.asked: dict[str, RequestArrived] = {}
        self.deadline: dict[str, float] = {}
        self.over: set[str] = set()
        self.tries: dict[str, int] = {}
        self.out: dict[tuple[str, int], str] = {}
        self.ran: dict[str, list[float]] = {}
        self.sent: list[tuple[float, str, str, int]] = []
        self.extras: list[float] = []
        self.level, self.at = BURST, rig.now
        self.cold: dict[str, float] = {}
        self.slow_start_units: list[tuple[float, str, int]] = []

    def hold_against_the_rules(self, now: float, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.check_send(now, action)
            elif isinstance(action, Reject | Fail):
                assert action.request not in self.over, "two final answers"
                assert now <= self.deadline[action.request] + 0.008, "answered too late"
                if isinstance(action, Reject):
                    cls = self.rig.settings.classes[self.asked[action.request].request_class]
                    may_have_run = action.request in self.ran or any(k[0] == action.request for k in self.out)
                    assert (
                        cls.idempotency is Idempotency.SAFE or not may_have_run
                    ), "a rejection of a request that may have run"
                self.over.add(action.request)

    def check_send(self, now: float, send: Send) -> None:
        request = self.asked[send.request]
        assert send.request not in self.over, "sent after its end"
        assert send.node in self.open, "sent to a draining or removed node"
        number = self.tries.get(send.request, 0)
        self.tries[send.request] = number + 1
        assert number < self.rig.settings.max_attempts
        assert not any(k[0] == send.request for k in self.out), "two attempts at once"
        if number:
            self.extras.append(now)
            recent = [t for t in self.extras if t > now - 5.0]
            taken = sum(1 for d in self.deadline if self.taken_at[d] > now - 5.0)
            assert len(recent) <= 3 + 0.1 * taken, "over the retry budget"
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
            turn = [
                r
                for r in self.asked.values()
                if r.request_class == request.request_class
                and (r.request not in self.over or any(k[0] == r.request for k in self.out))
            ]
            assert turn[0].request == send.request, "out of order"
        self.out[(send.request, number)] = send.node
        self.sent.append((now, send.node, send.request, request.units))
        if send.node in self.cold:
            age = now - self.cold[send.node]
            if age < 10.0:
                assert request.plan == "gold", "a warming node got units outside reserves"
                self.slow_start_units.append((now, send.node, request.units))
                window = [u for t, n, u in self.slow_start_units if n == send.node and t > now - 2.0]
                assert sum(window) <= 2 * 10.0 + 8 + 10, "a warming node got more than the reserve"

    taken_at: dict[str, float]


@given(st.lists(MOVE, max_size=120))
@example([("ask", "read", 0, 1, "basic"), ("ask", "log", 0, 1, "gold"), ("end", Outcome.MISDIRECTED, 0)])
def test_rules_hold_for_any_event_sequence(moves):
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
    referee = Referee(rig)
    referee.taken_at = {}
    plain_step = rig.step

    def step(*events: Event, after: float = 0.0) -> list[Action]:
        actions = plain_step(*events, after=after)
        referee.hold_against_the_rules(rig.now, actions)
        return actions

    rig.step = step
    for move in moves:
        if move[0] == "ask":
            _, cls, shard, units, plan = move
            request = rig.request(
                cls,
                shard=None if shard < 0 else shard,
                units=units,
                plan=plan,
                volume=plan,
                key="0a" if cls == "ordered" else f"{rig.count:016x}",
            )
            referee.asked[request.request] = request
            referee.deadline[request.request] = rig.now + request.expires_in
            referee.taken_at[request.request] = rig.now
            step(request)
        elif move[0] == "end" and referee.out:
            (request, number), node = sorted(referee.out.items())[move[2] % len(referee.out)]
            del referee.out[(request, number)]
            outcome = move[1]
            if outcome not in NEVER_RAN:
                referee.ran.setdefault(request, []).append(
                    next(t for t, _, r, _ in referee.sent if r == request)
                )
            served = outcome is Outcome.OK and request not in referee.over
            if served:
                referee.over.add(request)
            step(AttemptEnded(request, number, node, outcome, 0.05, served))
        elif move[0] == "gone":
            waiting = [r for r in referee.asked if r not in referee.over]
            if waiting:
                name = waiting[move[1] % len(waiting)]
                referee.over.add(name)
                step(ClientDisconnected(name))
        elif move[0] == "list":
            _, number, state, restarted = move
            name = f"n{number}"
            (referee.open.add if state is NodeState.READY else referee.open.discard)(name)
            since = rig.now if restarted else referee.cold.get(name)
            if restarted and state is NodeState.READY:
                referee.cold[name] = rig.now
            step(
                DiscoveryUpdate(
                    DiscoveryUpdateKind.DELTA, 2, [NodeEntry(name, state, number, "ab"[number % 2], since)]
                )
            )
        elif move[0] == "wait":
            rig.wait(move[1])
    rig.wait(4.0)
    assert set(referee.asked) == referee.over, "a request without an answer"


@given(st.lists(MOVE, max_size=60))
def test_same_events_same_actions(moves):
    def play() -> list:
        rig, seen, sends = Rig(nodes=3), [], []
        for move in moves:
            if move[0] == "ask":
                shard = None if move[2] < 0 else move[2]
                actions = rig.step(rig.request(move[1], shard=shard, units=move[3]))
            elif move[0] == "end" and sends:
                actions = rig.step(rig.ended(sends.pop(move[2] % len(sends)), move[1]))
            else:
                actions = rig.wait(0.05)
            sends += of(actions, Send)
            seen.append(actions)
        return seen

    assert play() == play()
