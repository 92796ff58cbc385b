"""Checks that the scheduler behaves byte for byte as in another version of the project.

    PYTHONPATH=. python tests/support/compare_with_release.py RELEASE [RUNS] [FIRST SEED]

`RELEASE` is a checkout of version 63262d5 or of one with the same module names (`mallowbeam.interface`,
`mallowbeam.control`, `mallowbeam.wirehost`).  Two comparisons, on random runs of 3,000 steps each:

- *actions*: both schedulers receive the same events, each in its own process; every action is written with
  all digits and compared.  The processor time of both is measured.
- *wire*: both simulator hosts receive the same lines of the simulator; their output is compared.

Exits with status 1 and the first difference, else with 0 and the figures.
"""

from __future__ import annotations

import io
import os
import random
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import redirect_stdout
from pathlib import Path

import msgspec
from recorded_names import to_recorded
from scheduler_replay import BeginCheck, Run, format_action, packed_steps, record

from mallowbeam.storage_gateway.scheduler import Scheduler
from mallowbeam.storage_gateway.scheduler.simulator_host import Wire

STEPS = 3000
RELEASE_MODULES = ("mallowbeam.interface", "mallowbeam.control", "mallowbeam.wirehost")

# Runs in the release's own process: a run on standard input, the actions and the seconds on standard output.
RELEASE_REPLAY = """
import sys, time
from importlib import import_module
import msgspec
interface, control = import_module(sys.argv[1]), import_module(sys.argv[2])
for packed in iter(lambda: sys.stdin.buffer.read(int(sys.stdin.buffer.readline() or 0)), b""):
    run = msgspec.msgpack.decode(packed)
    settings = msgspec.convert(run["settings"], interface.Settings)
    steps = [
        (
            now,
            [fields for kind, fields in events if kind == "BeginCheck"],
            [msgspec.convert(f, getattr(interface, kind)) for kind, f in events if kind != "BeginCheck"],
        )
        for now, events in run["steps"]
    ]
    scheduler, text, spent = control.Scheduler(settings, steps[0][0]), [], 0.0
    for now, checks, events in steps:
        begun = time.process_time()
        begins = [scheduler.may_begin(now, *check) for check in checks]
        actions = scheduler.step(now, events)
        spent += time.process_time() - begun
        text += [f"may begin: {begins}"] * bool(begins)
        for action in actions:
            figures = [repr(value) for value in msgspec.to_builtins(action).values()]
            text.append(f"{type(action).__name__}({', '.join(figures)})")
    answer = msgspec.msgpack.encode([chr(10).join(text), spent])
    sys.stdout.buffer.write(b"%d\\n" % len(answer) + answer)
    sys.stdout.buffer.flush()
"""


class ReleaseReplay:
    """A process of the release that replays runs."""

    def __init__(self, release: Path) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-c", RELEASE_REPLAY, *RELEASE_MODULES[:2]],
            cwd=release,
            env=os.environ | {"PYTHONPATH": str(release), "PYTHONDONTWRITEBYTECODE": "1"},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def replay(self, run: Run) -> tuple[str, float]:
        """Return the actions of a run, and the processor time in seconds that they took."""
        packed = msgspec.msgpack.encode({"settings": to_recorded(run[0])[1], "steps": packed_steps(run)})
        self.process.stdin.write(b"%d\n" % len(packed) + packed)
        self.process.stdin.flush()
        answer = self.process.stdout.read(int(self.process.stdout.readline()))
        text, seconds = msgspec.msgpack.decode(answer)
        return text, seconds

    def close(self) -> None:
        """End the process."""
        self.process.stdin.close()
        self.process.wait()


def replay_here(run: Run) -> tuple[str, float]:
    """Replay a run with this tree's scheduler; returns the same as `ReleaseReplay.replay`."""
    settings, steps = run
    scheduler, text, spent = Scheduler(settings, steps[0][0]), [], 0.0
    for now, events in steps:
        checks = [event for event in events if isinstance(event, BeginCheck)]
        others = [event for event in events if not isinstance(event, BeginCheck)]
        begun = time.process_time()
        begins = [scheduler.may_begin(now, check.request, check.attempt) for check in checks]
        actions = scheduler.step(now, others)
        spent += time.process_time() - begun
        text += [f"may begin: {begins}"] * bool(begins)
        text += [format_action(action, None) for action in actions]
    return "\n".join(text), spent


def first_difference(old: str, new: str, what: str) -> None:
    """Exit with the first line that differs, if there is one."""
    if old == new:
        return
    old_lines, new_lines = old.split("\n"), new.split("\n")
    at = next(
        (n for n, (a, b) in enumerate(zip(old_lines, new_lines, strict=False)) if a != b),
        min(len(old_lines), len(new_lines)),
    )
    sys.exit(f"{what}: line {at} differs\n  was {old_lines[at : at + 1]}\n  is  {new_lines[at : at + 1]}")


def compare_actions(release: Path, seeds: range) -> str:
    """Replay random runs in both versions; returns the figures as a line of text."""
    other = ReleaseReplay(release)
    kinds: Counter[str] = Counter()
    events, before, after = 0, 0.0, 0.0
    for seed in seeds:
        run = record(seed, STEPS)
        events += sum(len(events) for _, events in run[1])
        (old, old_seconds), (new, new_seconds) = other.replay(run), replay_here(run)
        first_difference(old, new, f"seed {seed}")
        kinds.update(line.partition("(")[0].partition(":")[0] for line in new.split("\n"))
        before, after = before + old_seconds, after + new_seconds
    other.close()
    return (
        f"actions: {len(seeds)} runs, {events} events, the same byte for byte; {dict(kinds)}; "
        f"processor time {before:.2f} s before, {after:.2f} s now ({after / before:.3f})"
    )


# --- the simulator's wire ---------------------------------------------------------------------

OUTCOMES = "SSSSSSSSSSSSSSSSSSSSEFTCRXN"


class WireRecorder(io.TextIOBase):
    """Plays the simulator to this tree's host: its lines are random and depend on the host's output."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.draw = random.Random(seed)
        self.now = 10.0
        self.requests = 0
        self.attempts: dict[str, int] = {}
        self.in_flight: list[tuple[float, str, int, str, float]] = []  # ends at, request, attempt, node, sent
        self.timers: list[tuple[float, str]] = []
        self.lines: list[str] = []  # all lines that the host has read
        self.written = io.StringIO()
        self.pending = self.batches()

    def readline(self, size: int | None = -1) -> str:  # noqa: ARG002
        """Return the next line for the host."""
        line = next(self.pending, "")
        self.lines.append(line)
        return line

    def write(self, text: str) -> int:
        """Process the host's output."""
        for line in text.splitlines():
            kind, *parts = line.split(" ")
            if kind == "PLACE":
                number = self.attempts[parts[1]] = self.attempts.get(parts[1], -1) + 1
                ends_at = self.now + self.draw.choice((0.01, 0.03, 0.05, 0.05, 0.3))
                self.in_flight.append((ends_at, parts[1], number, parts[2], self.now))
            elif kind == "DEFER":
                self.timers.append((float(parts[1]), parts[2]))
        return self.written.write(text)

    def flush(self) -> None:
        """Do nothing: output is not buffered."""

    def batches(self) -> Iterator[str]:
        """Yield the start-up batch, then one batch for each step."""
        yield f"TICK {self.now}\n"
        yield f"NEW_INSTANCE host/0 {self.draw.getrandbits(32)} {' '.join(self.settings())}\n"
        nodes = self.draw.randint(3, 10)
        yield f"PEERS_KNOWN host/0 whole 1 {nodes}\n"
        for number in range(nodes):
            yield self.node(number, "live")
        yield "EOF_BATCH\n"
        for _ in range(STEPS):
            self.now = round(self.now + self.draw.expovariate(1 / 0.02), 6)
            yield f"TICK {self.now:.6f}\n"
            yield from self.events(nodes)
            yield "EOF_BATCH\n"

    def settings(self) -> list[str]:
        """Return start-up settings with a random choice of rules."""
        pick = self.draw.choice
        classes = [
            ("read", 3.0, 0.3, 1.5, "safe", "all", "false"),
            ("new-write", 2.0, 0.4, 2.5, "keyed", pick(("all", "zone", "cell")), "false"),
            ("log", 1.0, 0.4, 3.0, "unsafe", "all", "false"),
            ("ordered", 2.0, 0.4, 3.0, "safe", "all", "true"),
        ]
        pairs = [f"Classes.count={len(classes)}"]
        for i, (name, credit, target, limit, repeat, scope, order) in enumerate(classes):
            pairs += [
                f"Classes.{i}.{key}={value}"
                for key, value in (
                    ("Name", name),
                    ("Credit", credit),
                    ("OnTime", target),
                    ("HardLimit", limit),
                    ("LateWorth", 0.15),
                    ("Idempotency", repeat),
                    ("KeyScope", scope),
                    ("Window", 4.0),
                    ("InOrder", order),
                )
            ]
        plans = [("bronze", 0.0, 1.0, 0.8, 49.0, 67.0, 8.0), ("gold", 14.0, 2.0, 1.5, 0.0, 0.0, 0.0)]
        pairs += [f"Plans.count={len(plans)}"]
        keys = ("Name", "Reservation", "Shares", "Pays", "Limit", "MostAtOnce", "Tolerance")
        for i, plan in enumerate(plans):
            pairs += [f"Plans.{i}.{key}={value}" for key, value in zip(keys, plan, strict=True)]
        pairs += [
            f"Balancers={pick((1, 3, 40))}",
            "Resolution=0.002",
            f"Discovery={pick(('on_request', 'pushed'))}",
            "FamilyInfo.UsualUnits=2.18",
            "FamilyInfo.UnitsTop=8",
            "FamilyInfo.SlotsTotal=5",
            "FamilyInfo.FairWorth=0.4",
            "FamilyInfo.SpareWorth=0.1",
            "FamilyInfo.ColdBears=24.0",
            f"Ceilings.Cancel={pick(('true', 'false'))}",
            f"Ceilings.TryLimit={pick(('-', '2', '4'))}",
            f"Ceilings.RetryAfter={pick(('true', 'false'))}",
            "Ceilings.MaxRetryAfter=0.5",
            f"Guarantees.Cold={pick(('10.0', '-'))}",
            "Guarantees.Fall=2.0",
            "Guarantees.StartCapacity=0.2",
            "Guarantees.TipMultiple=3.0",
            f"Guarantees.OrderSettle={pick(('0.2', '-'))}",
            f"Guarantees.ExtraFloor={pick(('3', '-'))}",
            "Guarantees.ExtraPerRequest=0.1",
            "Guarantees.CountedOver=5.0",
        ]
        return pairs

    def node(self, number: int, state: str) -> str:
        """Return the line of one node in a membership list."""
        started = self.draw.choice(("-", "-", f"{self.now:.6f}"))
        return f"NODE {state} {number % 5} hall-{number % 3} {started} box 1.0 n{number}\n"

    def events(self, nodes: int) -> Iterator[str]:
        """Yield the lines of one step."""
        self.timers.sort()
        while self.timers and self.timers[0][0] <= self.now:
            yield f"BELL host/0 {self.timers.pop(0)[1]}\n"
        for ends_at, request, number, node, sent in sorted(self.in_flight):
            if ends_at <= self.now:
                self.in_flight.remove((ends_at, request, number, node, sent))
                outcome = self.draw.choice(OUTCOMES)
                used = self.draw.choice(("-", "0", "57"))
                finished = int(outcome == "S")
                remote = self.draw.choice(("-", "3"))
                yield (
                    f"SETTLED host/0 {request} {number} {node} {outcome} {self.now - sent:.6f} "
                    f"{finished} {used} {remote}\n"
                )
        chosen = self.draw.random()
        if chosen < 0.02:
            kind = self.draw.choice(("patch", "patch", "whole", "broken"))
            listed = (
                [] if kind == "broken" else range(nodes) if kind == "whole" else [self.draw.randrange(nodes)]
            )
            yield f"PEERS_KNOWN host/0 {kind} 2 {len(listed)}\n"
            for number in listed:
                yield self.node(number, self.draw.choice(("live", "live", "live", "quiescing", "dead")))
        elif chosen < 0.05 and self.in_flight:
            _, request, number, node, _ = self.draw.choice(self.in_flight)
            abandoned, response_head = (
                f"ABANDONED host/0 {request}\n",
                f"HEADERS host/0 {request} {node} 0.04 {number}\n",
            )
            yield self.draw.choice((abandoned, response_head))
        else:
            for _ in range(self.draw.choice((1, 1, 1, 4))):
                yield self.request()

    def request(self) -> str:
        """Return the line of a new request."""
        self.requests += 1
        name = self.draw.choice(("read", "read", "new-write", "log", "ordered"))
        key = f"k{self.draw.randrange(3)}" if name == "ordered" else f"{self.draw.randrange(400):016x}"
        return (
            f"NEW_REQUEST host/0 r{self.requests} {self.draw.choice((-1, 0, 1, 2, 3, 4))} 0 {name} "
            f"{self.draw.choice((1, 2))} {self.draw.randint(1, 8)} v{self.draw.randrange(6)} "
            f"{self.draw.choice((0.5, 1.2, 3.0))} {key} {self.draw.choice(('bronze', 'gold'))}\n"
        )


def compare_wire(release: Path, seeds: range) -> str:
    """Feed random lines to both simulator hosts; returns the figures as a line of text."""
    line_count, byte_count = 0, 0
    for seed in seeds:
        recorder = WireRecorder(seed)
        with redirect_stdout(sys.stderr):
            Wire(recorder, recorder).run()
        completed = subprocess.run(
            [sys.executable, "-m", RELEASE_MODULES[2]],
            cwd=release,
            env=os.environ | {"PYTHONPATH": str(release), "PYTHONDONTWRITEBYTECODE": "1"},
            input="".join(recorder.lines).encode(),
            capture_output=True,
            check=True,
        )
        new = recorder.written.getvalue()
        if "BROKEN" in new:
            sys.exit(f"wire seed {seed}: {new[new.index('BROKEN') :].splitlines()[0]}")
        first_difference(completed.stdout.decode(), new, f"wire seed {seed}")
        line_count, byte_count = line_count + len(recorder.lines), byte_count + len(new)
    return f"wire: {len(seeds)} runs, {line_count} lines in, {byte_count} bytes out, the same byte for byte"


def main(release: Path, runs: int = 20, first: int = 0) -> None:
    """See the module's docstring."""
    seeds = range(first, first + runs)
    print(compare_actions(release, seeds), flush=True)
    print(compare_wire(release, seeds))


if __name__ == "__main__":
    main(Path(sys.argv[1]).absolute(), *map(int, sys.argv[2:]))
