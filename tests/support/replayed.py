"""Events given to a Scheduler, recorded from a rich run and replayed through any module of decisions.

`PYTHONPATH=. python tests/support/replayed.py BEFORE.py [SEEDS]` replays many runs through this tree's module
and through another, in a file of its own, and compares the actions byte for byte.  With `record` in place
of a file it writes the small run that test_replayed.py replays.
"""

from __future__ import annotations

import hashlib
import random
import sys
import zlib
from dataclasses import replace
from importlib.util import module_from_spec, spec_from_file_location
from pathlib import Path

import msgspec
from recorded_names import from_recorded, to_recorded
from scheduler_rig import make_settings

from mallowbeam.storage_gateway.scheduler import Scheduler
from mallowbeam.storage_gateway.scheduler.interface import (
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    DeduplicationScope,
    DiscoveryUpdate,
    DiscoveryUpdateKind,
    Event,
    NodeEntry,
    NodeState,
    OperatorOverride,
    Outcome,
    RequestArrived,
    Send,
    SetTimer,
    Settings,
    SiblingSend,
    StreamStarted,
    TimerFired,
    UploadProgress,
)

FILE = Path(__file__).with_name("control.trace")
RAMP = {
    "slow_start_units": 24.0,
    "slow_start_capacity": 0.2,
    "slow_start_time": 10.0,
    "overload_multiple": 2.0,
    "overload_window": 2.0,
}
OUTCOMES = [Outcome.OK] * 60 + list(Outcome)

Run = tuple[Settings, list[tuple[float, list[Event]]]]


def settings_of(draw: random.Random) -> Settings:
    """Settings in which rules come and go with the seed."""
    made = make_settings(
        seed=draw.getrandbits(32),
        hosts=draw.choice((1, 3, 40)),
        may_cancel=draw.random() < 0.7,
        limit_at_arrival=draw.random() < 0.5,
        max_attempts=draw.choice((None, 2, 4)),
        order_settle_time=draw.choice((0.0, 0.2)),
        retry_after=draw.random() < 0.5,
        discovery_on_request=draw.random() < 0.5,
        max_list_age=draw.choice((None, 1.0)),
        **(RAMP if draw.random() < 0.6 else {}),
        **(
            {"retry_budget_floor": 3.0, "retry_budget_ratio": 0.1, "retry_budget_window": 5.0}
            if draw.random() < 0.5
            else {}
        ),
    )
    scope = replace(made.classes["keyed"], dedup_scope=draw.choice(list(DeduplicationScope)))
    return replace(made, classes=made.classes | {"keyed": scope})


def record(seed: int, steps: int) -> Run:
    """One host's run: requests, answers, lists, drains, kills, words by hand, uploads, streams, sisters."""
    draw = random.Random(seed)
    settings, now, count = settings_of(draw), 100.0, 0
    host, run = Scheduler(settings, now), []
    zones, out, tries, starts, pace = "abc", {}, {}, {}, draw.choice((1, 1, 4, 15))
    timer, busy, latency = None, draw.choice((0.01, 0.03, 0.05)), draw.choice((0.02, 0.04, 0.1))
    events = [
        DiscoveryUpdate(
            draw.choice((DiscoveryUpdateKind.CACHED, DiscoveryUpdateKind.FULL)),
            1,
            [NodeEntry(f"n{i}", shard=i % 5, zone=zones[i % 3]) for i in range(draw.randint(3, 10))],
        )
    ]
    for _ in range(steps):
        run.append((now, events))
        for action in host.step(now, [replace(event) for event in events]):
            if isinstance(action, SetTimer):
                timer = action.at if timer is None or timer <= now else min(timer, action.at)
            elif isinstance(action, Send):
                number = tries[action.request] = tries.get(action.request, -1) + 1
                out[action.request, number] = (action.node, now + latency * draw.choice((0.5, 1, 1, 1, 2, 8)))
            elif isinstance(action, Cancel) and (action.request, action.attempt) in out:
                out[action.request, action.attempt] = (out[action.request, action.attempt][0], now)
        if draw.random() < 0.01:
            busy, latency = draw.choice((0.002, 0.01, 0.03, 0.05, 0.3)), draw.choice((0.02, 0.04, 0.3))
        now = now + draw.expovariate(1 / busy / pace)
        if timer is not None and timer <= now:
            now, timer, events = timer, None, [TimerFired(0)]
            continue
        events, what = [], draw.random()
        for (request, number), (node, at) in sorted(out.items()):
            if at <= now:
                del out[request, number]
                outcome = draw.choice(OUTCOMES)
                events.append(
                    AttemptEnded(
                        request,
                        number,
                        node,
                        outcome,
                        0.05,
                        draw.random() < (outcome is Outcome.OK),
                        remote_units=draw.choice((0, 0, 0, 3)),
                    )
                )
        if what < 0.04 and out:
            (request, number), (node, at) = draw.choice(sorted(out.items()))
            events.append(
                draw.choice(
                    (
                        StreamStarted(request, number, node, 0.04),
                        UploadProgress(request, number),
                        UploadProgress(request, number, 0.8),
                        ClientDisconnected(request),
                    )
                )
            )
        elif what < 0.05:
            name = f"n{draw.randrange(9)}"
            starts[name] = draw.choice((starts.get(name), now, None))
            kind = draw.choice((DiscoveryUpdateKind.DELTA,) * 3 + tuple(DiscoveryUpdateKind))
            events.append(
                DiscoveryUpdate(
                    kind,
                    2,
                    [
                        NodeEntry(
                            f"n{i}",
                            draw.choice((NodeState.READY,) * 9 + tuple(NodeState)),
                            i % 5,
                            zones[i % 3],
                            starts.get(f"n{i}"),
                        )
                        for i in range(10)
                        if f"n{i}" == name or kind is not DiscoveryUpdateKind.DELTA
                    ],
                )
            )
        elif what < 0.055:
            events.append(
                OperatorOverride(f"n{draw.randrange(9)}", draw.random() < 0.2, draw.choice((None, now - 1.0)))
            )
        elif what < 0.06:
            events.append(
                SiblingSend(
                    f"v{draw.randrange(6)}",
                    draw.choice(("gold", "basic")),
                    2,
                    f"n{draw.randrange(9)}",
                    3,
                    2,
                    draw.choice((None, 5.0)),
                )
            )
        else:
            for _ in range(draw.choice((1, 1, 1, 1, 8))):
                count += 1
                cls = draw.choice(("read", "read", "log", "keyed", "ordered", "unknown"))
                key = {"ordered": f"k{draw.randrange(3)}"}.get(cls, f"{draw.randrange(400):016x}")
                events.append(
                    RequestArrived(
                        f"r{count}",
                        cls,
                        draw.choice((0.5, 1.2, 3.0, 60.0)),
                        draw.choice((None, 0, 1, 2, 3, 4)),
                        draw.randint(1, 8),
                        f"v{draw.randrange(6)}",
                        draw.choice(("gold", "gold", "silver", "basic", "none")),
                        draw.choice((None, 1, 2)),
                        draw.choice((key, key, key, None)),
                    )
                )
    return settings, run


def replay(run: Run, module: type = Scheduler, digits: int | None = None) -> bytes:
    """Every action of a run as one text; figures rounded where it must outlive a version of libm."""
    settings, steps = run
    host, text = module(settings, steps[0][0]), []
    for now, events in steps:
        for action in host.step(now, [replace(event) for event in events]):
            kind, fields = to_recorded(action)
            figures = [
                f"{value:.{digits}f}" if digits and isinstance(value, float) else repr(value)
                for value in fields.values()
            ]
            text.append(f"{kind}({', '.join(figures)})")
    return "\n".join(text).encode()


def store(run: Run) -> bytes:
    """A run packed, with the digest of its actions."""
    settings, steps = run
    return zlib.compress(
        msgspec.msgpack.encode(
            {
                "settings": to_recorded(settings)[1],
                "digest": hashlib.sha256(replay(run, digits=4)).hexdigest(),
                "steps": [[now, [to_recorded(event) for event in events]] for now, events in steps],
            }
        ),
        9,
    )


def load(packed: bytes) -> tuple[Run, str]:
    """What `store` has packed."""
    found = msgspec.msgpack.decode(zlib.decompress(packed))
    steps = [
        (now, [from_recorded(kind, fields) for kind, fields in events]) for now, events in found["steps"]
    ]
    return (from_recorded("Settings", found["settings"]), steps), found["digest"]


def main(what: str, seeds: int = 100) -> None:
    """See the module's docstring."""
    if what == "record":
        FILE.write_bytes(store(record(11, 400)))
        return
    spec = spec_from_file_location("before", what)
    before = module_from_spec(spec)
    sys.modules["before"] = before
    spec.loader.exec_module(before)
    events, kinds = 0, {}
    for seed in range(seeds):
        run = record(seed, 3000)
        events += sum(len(step[1]) for step in run[1])
        old, new = replay(run, before.Scheduler), replay(run)
        for line in new.split(b"\n"):
            kind = line.split(b"(")[0].decode()
            kinds[kind] = kinds.get(kind, 0) + 1
        if old != new:
            first = next(
                n for n, (a, b) in enumerate(zip(old.split(b"\n"), new.split(b"\n"), strict=False)) if a != b
            )
            sys.exit(f"seed {seed}: actions differ from the {first}th on")
    print(f"{seeds} runs, {events} events: the same actions byte for byte; {kinds}")


if __name__ == "__main__":
    main(sys.argv[1], *map(int, sys.argv[2:]))
