"""Random legal sequences of events; the rules are checked from outside the module."""

from __future__ import annotations

from hypothesis import example, given
from hypothesis import strategies as st
from scheduler_rig import Rig, of

from mallowbeam.storage_gateway.scheduler import interface as io

LIMITED, BURST, SLACK = 20.0, 32.0, 8.0
NEVER_RAN = (io.Outcome.REJECTED, io.Outcome.ASTRAY, io.Outcome.NO_CONNECTION, io.Outcome.NOT_SENT)
CLASSES = ("read", "log", "keyed", "ordered")
MOVE = st.one_of(
    st.tuples(
        st.just("ask"),
        st.sampled_from(CLASSES),
        st.integers(-1, 2),
        st.integers(1, 8),
        st.sampled_from(["gold", "basic"]),
    ),
    st.tuples(st.just("end"), st.sampled_from(list(io.Outcome)), st.integers(0, 50)),
    st.tuples(st.just("gone"), st.integers(0, 50)),
    st.tuples(st.just("list"), st.integers(0, 2), st.sampled_from(list(io.NodeState)), st.booleans()),
    st.tuples(st.just("wait"), st.floats(0.002, 0.6)),
)


class Referee:
    """Watches a rig and holds what it sends and says against the rules."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.open = rig, {f"n{i}" for i in range(3)}
        self.asked: dict[str, io.RequestArrived] = {}
        self.deadline: dict[str, float] = {}
        self.over: set[str] = set()
        self.tries: dict[str, int] = {}
        self.out: dict[tuple[str, int], str] = {}
        self.ran: dict[str, list[float]] = {}
        self.sent: list[tuple[float, str, str, int]] = []
        self.extras: list[float] = []
        self.level, self.at = BURST, rig.now
        self.cold: dict[str, float] = {}
        self.cold_units: list[tuple[float, str, int]] = []

    def hold_against_the_rules(self, now: float, actions: list[io.Action]) -> None:
        for action in actions:
            if isinstance(action, io.Send):
                self.check_send(now, action)
            elif isinstance(action, io.Refuse | io.Fail):
                assert action.request not in self.over, "two final answers"
                assert now <= self.deadline[action.request] + 0.008, "answered too late"
                if isinstance(action, io.Refuse):
                    cls = self.rig.settings.classes[self.asked[action.request].cls]
                    may_have_run = action.request in self.ran or any(k[0] == action.request for k in self.out)
                    assert cls.repeat is io.Repeat.SAFE or not may_have_run, "an untrue refusal"
                self.over.add(action.request)

    def check_send(self, now: float, send: io.Send) -> None:
        request = self.asked[send.request]
        assert send.request not in self.over, "sent after its end"
        assert send.node in self.open, "sent to a node that leaves"
        number = self.tries.get(send.request, 0)
        self.tries[send.request] = number + 1
        assert number < self.rig.settings.max_attempts
        assert not any(k[0] == send.request for k in self.out), "two attempts at once"
        if number:
            self.extras.append(now)
            recent = [t for t in self.extras if t > now - 5.0]
            taken = sum(1 for d in self.deadline if self.taken_at[d] > now - 5.0)
            assert len(recent) <= 3 + 0.1 * taken, "over the budget of attempts"
        cls = self.rig.settings.classes[request.cls]
        if send.request in self.ran:
            assert cls.repeat is not io.Repeat.UNSAFE, "an unsafe request again"
            if cls.repeat is io.Repeat.KEYED:
                assert now <= self.ran[send.request][0] + cls.repeat_window
        if not number and request.plan == "basic":
            self.level = min(BURST, self.level + (now - self.at) * LIMITED) - request.units
            self.at = now
            assert self.level >= -SLACK - 1e-6, "over the limit"
        if cls.ordered:
            turn = [
                r
                for r in self.asked.values()
                if r.cls == request.cls
                and (r.request not in self.over or any(k[0] == r.request for k in self.out))
            ]
            assert turn[0].request == send.request, "out of turn"
        self.out[(send.request, number)] = send.node
        self.sent.append((now, send.node, send.request, request.units))
        if send.node in self.cold:
            age = now - self.cold[send.node]
            if age < 10.0:
                assert request.plan == "gold", "a cold node got what no reserve bounds"
                self.cold_units.append((now, send.node, request.units))
                window = [u for t, n, u in self.cold_units if n == send.node and t > now - 2.0]
                assert sum(window) <= 2 * 10.0 + 8 + 10, "a cold node got more than the reserve"

    taken_at: dict[str, float]


@given(st.lists(MOVE, max_size=120))
@example([("ask", "read", 0, 1, "basic"), ("ask", "log", 0, 1, "gold"), ("end", io.Outcome.ASTRAY, 0)])
def test_rules_hold_whatever_comes(moves):
    rig = Rig(
        nodes=3,
        cold_units=24.0,
        cold_start=0.2,
        cold_time=10.0,
        fall_multiple=2.0,
        fall_window=2.0,
        hosts=2,
        budget_floor=3.0,
        budget_share=0.1,
        budget_window=5.0,
        order_settle=0.1,
    )
    referee = Referee(rig)
    referee.taken_at = {}
    plain_step = rig.step

    def step(*events: io.Event, after: float = 0.0) -> list[io.Action]:
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
            served = outcome is io.Outcome.OK and request not in referee.over
            if served:
                referee.over.add(request)
            step(io.AttemptEnded(request, number, node, outcome, 0.05, served))
        elif move[0] == "gone":
            waiting = [r for r in referee.asked if r not in referee.over]
            if waiting:
                name = waiting[move[1] % len(waiting)]
                referee.over.add(name)
                step(io.ClientGone(name))
        elif move[0] == "list":
            _, number, state, restarted = move
            name = f"n{number}"
            (referee.open.add if state is io.NodeState.READY else referee.open.discard)(name)
            since = rig.now if restarted else referee.cold.get(name)
            if restarted and state is io.NodeState.READY:
                referee.cold[name] = rig.now
            step(
                io.NodesListed(
                    io.ListKind.CHANGES, 2, [io.NodeEntry(name, state, number, "ab"[number % 2], since)]
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
            sends += of(actions, io.Send)
            seen.append(actions)
        return seen

    assert play() == play()
