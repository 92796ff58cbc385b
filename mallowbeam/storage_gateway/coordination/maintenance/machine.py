"""The replicated machine of maintenance: what each entry makes of what is agreed; no clock, no I/O.

An entry asks for a step; whether it may be taken is settled here, from the state alone, so that two gateways
that ask for different things, or twice for one, get one answer.  `due` lists the steps that the state calls
for: every gateway's core reads it, and proposes what is in it.

`empty` wants the word of *every* gateway whose lease may still run: a report put in after it has heard of
`draining` that names the machine as empty.  `out` wants each one's word anew, after `empty`: one that has
died meanwhile has none, so it is known as gone before this machine is let go as well.  `Gone` takes a gateway
out of that count; its next report puts it back, and an `empty` machine where it has work out goes back to
`draining`.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, ClassVar

import msgspec
from msgspec.structs import replace

from mallowbeam.storage_gateway.coordination.maintenance import asked
from mallowbeam.storage_gateway.coordination.maintenance import state as s
from mallowbeam.storage_gateway.coordination.maintenance.order import LIMITS, Limit, Order, Picture, picture
from mallowbeam.storage_gateway.coordination.maintenance.state import Item, Maintained
from mallowbeam.storage_gateway.coordination.replicated_log import Entry, Refusal, States

DUPLICATE = Refusal("this step is taken already", "", "nothing: another gateway asked first")


class Maintenance:
    """The topic: `members` are the gateways' names, the same on all."""

    name: ClassVar[str] = "maintenance"
    entries: ClassVar[Any] = s.Entries
    state: ClassVar[type] = Maintained

    def __init__(self, members: Sequence[str], limits: tuple[Limit, ...] = LIMITS) -> None:
        self.members = tuple(sorted(members))
        self.order = Order(self.members, limits)

    def start(self) -> Maintained:
        """Nothing asked for, nothing known."""
        return Maintained()

    def apply_policy(self, states: States, index: int, policy: Any) -> Maintained | Refusal:
        """A policy's section takes hold: new machines wait, those taken back come back."""
        return asked.apply_policy(self.order, states[self.name], index, policy)

    def apply(self, states: States, index: int, by: str, entry: Any) -> Maintained | Refusal:
        """The next state, or why there is none."""
        now: Maintained = states[self.name]
        match entry:
            case s.Report():
                return self._report(now, index, by, entry)
            case s.Gone(gateway, life, number):
                heard = now.reports.get(gateway)
                if gateway not in self.members or gateway in now.gone:
                    return DUPLICATE
                if (heard.life, heard.number) != (life, number) if heard else bool(life):
                    return Refusal(f"{gateway} has been heard since", gateway, "nothing: it is live")
                return replace(now, gone=now.gone | {gateway})
            case s.Next(turn):
                return self._next(now, index, turn)
            case s.TimeUp(machine, began):
                return self._time_up(now, index, machine, began)
            case s.Back(machine):
                item = now.items.get(machine)
                if item is None or item.step not in ("out", "lost"):
                    return Refusal(f"{machine} is not out", machine, "say so of a machine whose step is out")
                return self._step(now, index, item, "back", "an operator says that the work is done")
            case s.Move(machine, to, turn):
                item = now.items.get(machine)
                if item is None or item.turn != turn:
                    return DUPLICATE
                if why := self.hindered(now, item, to):
                    return Refusal(why, machine, "nothing: it is asked for again when it may be")
                return self._step(now, index, item, to, self._why(now, item, to))
        raise AssertionError(entry)

    # --- what each step wants ---------------------------------------------------------------------

    def hindered(self, now: Maintained, item: Item, to: str, view: Picture | None = None) -> str:
        """Why a machine may not take this step now; "" if it may."""
        fits = (item.step, to) in (("agreed", "draining"), ("empty", "out"))
        if fits or to == "proposed" and item.step in s.RECALLED:
            why = self.order.hinders(now, item, view or picture(now, self.members))
            if to == "proposed":
                return "" if why else "it still fits"
            if why:
                return why
        match item.step, to:
            case "agreed", "draining":
                report = now.reports.get(item.machine)
                if (
                    item.gateway
                    and item.machine not in now.gone
                    and not (report and report.gave_up and report.heard >= item.at)
                ):
                    return "it has not given up its allotments yet"
                return ""
            case ("draining", "empty") | ("empty", "out"):
                return self._unsaid(now, item, "empty")
            case (("agreed" | "draining" | "empty"), "proposed"):
                return ""
            case (("out" | "lost"), "back"):
                return "" if self._up_again(now, item, view) else "it has not been seen down and up again"
            case "back", "warming":
                return ""
            case "warming", "done":
                return self._unsaid(now, item, "warm")
        return f"no step leads from {item.step} to {to}"

    def _unsaid(self, now: Maintained, item: Item, what: str) -> str:
        """Which live gateway has not yet said so since it heard of `draining` or `warming`."""
        since = item.drained if item.step == "draining" else item.at
        for name in self.members:
            report = now.reports.get(name)
            if name in now.gone:
                continue
            if (
                report is None
                or report.heard < since
                or item.machine not in (report.empty if what == "empty" else report.warm)
            ):
                return f"{name} has not said that {item.machine} is {what}"
        return ""

    def _up_again(self, now: Maintained, item: Item, view: Picture | None) -> bool:
        if item.gateway:
            report = now.reports.get(item.machine)
            return report is not None and item.machine not in now.gone and report.life != item.life
        facts = (view or picture(now, self.members)).nodes.get(item.machine)
        return (
            facts is not None
            and facts.up
            and (item.seen_down or bool(item.started) and facts.started not in (0, item.started))
        )

    def due(self, now: Maintained) -> list[Entry]:
        """The entries that the state calls for, clocks apart."""
        found: list[Entry] = []
        if not now.active:
            return found
        view = picture(now, self.members)
        recalls: list[Item] = []
        for name in sorted(now.items):
            item = now.items[name]
            if item.step in s.RECALLED and not self.hindered(now, item, "proposed", view):
                recalls.append(item)  # it would not be let go now
                continue
            for to in AFTER.get(item.step, ()):
                if not self.hindered(now, item, to, view):
                    found.append(s.Move(name, to, item.turn))
                    break
        if recalls:  # one at a time, the last begun first: that may be enough
            last = max(recalls, key=lambda item: (item.began, item.machine))
            found.append(s.Move(last.machine, "proposed", last.turn))
        elif self.order.choose(now, view).machine is not None:
            found.append(s.Next(now.turn))
        return found

    # --- steps ------------------------------------------------------------------------------------

    def _next(self, now: Maintained, index: int, turn: int) -> Maintained | Refusal:
        if turn != now.turn:
            return DUPLICATE
        choice = self.order.choose(now)
        if choice.machine is None:
            return Refusal(choice.why, "", "nothing: the order goes on when it may")
        item = replace(now.items[choice.machine], began=index)
        return replace(self._step(now, index, item, "agreed", choice.why), turn=now.turn + 1)

    def _step(self, now: Maintained, index: int, item: Item, to: s.Step, why: str) -> Maintained:
        """A machine takes a step, and the order shows it."""
        after = replace(item, step=to, turn=item.turn + 1, at=index, why=why)
        if to == "draining" and item.step == "agreed":
            after = replace(after, drained=index)
        if to == "out":
            facts = picture(now, self.members).nodes.get(item.machine)
            report = now.reports.get(item.machine)
            after = replace(
                after,
                started=facts.started if facts else 0,
                seen_down=False,
                life=report.life if report else "",
            )
        elif to == "warming":
            live = [name for name in self.members if name not in now.gone]
            after = replace(after, warm={name: 1.0 / len(live) for name in live} if not item.gateway else {})
        elif to == "done" and item.dropped:
            after = replace(after, step="aborted")
        order = (*now.order, s.Turn(index, item.machine, after.step, why))[-s.MOST_ORDER :]
        return replace(now, items=now.items | {item.machine: after}, order=order)

    def _report(self, now: Maintained, index: int, by: str, entry: s.Report) -> Maintained | Refusal:
        if by not in self.members or len(entry.nodes) > s.MOST_NODES:
            return Refusal(f"a report by {by} of {len(entry.nodes)} nodes", by, "the members are fixed")
        before = now.reports.get(by)
        if before is not None and before.life == entry.life and before.number >= entry.number:
            return Refusal("an older report", by, "nothing: a newer one is here")
        if before is not None and now.active:
            # Guards the capacity: a node that discovery forgets while machines are out is down, not gone.
            kept = {
                name: replace(facts, up=False, work=0)
                for name, facts in before.nodes.items()
                if name not in entry.nodes
            }
            if kept:
                entry = replace(entry, nodes=dict(entry.nodes) | kept)
        after = replace(now, reports=now.reports | {by: entry}, gone=now.gone - {by})
        if not any(item.step in ("out", "lost", "empty") for item in now.items.values()):
            return after
        view = picture(after, self.members)
        for name, item in after.items.items():
            if (
                item.step in ("out", "lost")
                and not item.seen_down
                and name in view.nodes
                and not view.nodes[name].up
            ):
                after = replace(after, items=after.items | {name: replace(item, seen_down=True)})
            if item.step == "empty" and name not in entry.empty and entry.heard >= item.drained:
                after = self._step(after, index, item, "draining", f"{by} has work out there again")
        return after

    def _time_up(self, now: Maintained, index: int, machine: str, began: int) -> Maintained | Refusal:
        item = now.items.get(machine)
        if item is None or item.began != began or item.step not in s.AWAY:
            return DUPLICATE
        late = {
            "agreed": "it never gave up its allotments",
            "draining": self._unsaid(now, item, "empty"),
            "out": "it never came back",
        }.get(item.step, f"it stood at {item.step}")
        why = f"time is up: {late or f'it stood at {item.step}'}"
        after = self._step(now, index, item, "lost" if item.step == "out" else "failed", why)
        stops = {
            id: f"{machine}: {why}"
            for id in item.asked
            if id in now.requests and now.requests[id].on_time_up == "stop"
        }
        return replace(after, stopped=after.stopped | stops)

    def _why(self, now: Maintained, item: Item, to: str) -> str:
        match to:
            case "proposed":
                return f"called back: {self.order.hinders(now, item, picture(now, self.members))}"
            case "empty":
                gone = f" (or is gone: {', '.join(sorted(now.gone))})" if now.gone else ""
                return f"every gateway has said that it has nothing out there{gone}"
            case "out":
                return "work may begin"
            case "back":
                return "it has been seen up again"
            case "warming":
                return "it serves again, each gateway with its share of the cold bound"
            case "done":
                return "warm everywhere"
        return "agreed in its turn; nothing new goes there" if to == "draining" else f"after {item.step}"


AFTER: dict[str, tuple[s.Step, ...]] = {  # where a machine goes by itself, by its step
    "agreed": ("draining",),
    "draining": ("empty",),
    "empty": ("out",),
    "out": ("back",),
    "lost": ("back",),
    "back": ("warming",),
    "warming": ("done",),
}


def describe(topic: Maintenance, now: Maintained) -> dict[str, Any]:
    """What `/policy` shows: each machine's step, the order so far, and what comes next, each with its why."""
    return {
        "machines": {
            name: {"step": item.step, "why": item.why, "requests": list(item.asked)}
            for name, item in sorted(now.items.items())
        },
        "order": [msgspec.to_builtins(turn) for turn in now.order if turn.step == "agreed"],
        "next": topic.order.choose(now).why,
        "stopped": dict(now.stopped),
        "gone": sorted(now.gone),
    }
