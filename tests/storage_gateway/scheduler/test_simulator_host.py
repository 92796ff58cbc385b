"""The simulator host on protocol text written for these tests."""

from __future__ import annotations

import io as text_io
import subprocess
import sys

import pytest

from mallowbeam.storage_gateway.scheduler import simulator_host

START = (
    "TICK 10.0\n"
    "NEW_INSTANCE host/1 42 Balancers=2 Classes.count=1 Classes.0.Name=read Classes.0.OnTime=0.25 "
    "Classes.0.HardLimit=1.2 Classes.0.Idempotency=safe Classes.0.Credit=3.0 Ceilings.TryLimit=4 "
    "Plans.count=1 Plans.0.Name=gold Plans.0.Pays=1.5 FamilyInfo.UnitsTop=8 Novel.Setting=x\n"
    "PEERS_KNOWN host/1 stale_copy 4 1\n"
    "NODE live 0 a - std 1 node.x\n"
    "EOF_BATCH\n"
)
ARRIVAL = "NEW_REQUEST host/1 00000000000000aa 0 1 read 2 2 0b 1.2 91f03b7c55d20a64 gold"


def talk(text: str) -> str:
    sink = text_io.StringIO()
    simulator_host.Wire(text_io.StringIO(text), sink).run()
    return sink.getvalue()


def test_a_request_is_placed():
    reply = talk(f"{START}TICK 10.1\n{ARRIVAL} field-to-come\nEOF_BATCH\n").split("\n")
    assert any(line.startswith("PLACE host/1 00000000000000aa node.x ") for line in reply)
    assert reply.count("READY") == 2


def test_empty_batch():
    assert talk("TICK 8.41225\nEOF_BATCH\n\n") == "READY\n"


def test_an_instance_that_stopped_is_forgotten():
    text = f"{START}TICK 10.1\nSHUTDOWN host/1\nEOF_BATCH\nTICK 10.2\n{ARRIVAL}\nEOF_BATCH\n"
    assert "PLACE" not in talk(text)


def test_an_exception_is_reported_as_broken(monkeypatch):
    def fail(self, now, events):
        raise RuntimeError("out of\nluck")

    monkeypatch.setattr(simulator_host.Scheduler, "step", fail)
    assert "BROKEN host/1 RuntimeError: out of luck" in talk(START)


def test_outcomes_reach_the_module():
    reply = talk(
        f"{START}TICK 10.1\n{ARRIVAL}\nEOF_BATCH\nTICK 10.2\n"
        "SETTLED host/1 00000000000000aa 0 node.x F 0.1 0 0 0 -\nEOF_BATCH\n"
        "TICK 11.4\nBELL host/1 1\nEOF_BATCH\n"
    )
    assert reply.count("SAY_NO") + reply.count("PLACE") >= 2


@pytest.mark.parametrize(
    "line",
    [
        "NEW_REQUEST host/1 aa",
        "SETTLED host/1 aa x n S 0 0 0 0 -",
        "WHAT host/1",
        "PEERS_KNOWN host/1 odd 1 0",
        "NEW_INSTANCE host/2 nonsense",
        "NEW_INSTANCE host/2 3 pair",
    ],
)
def test_malformed_lines_end_the_adapter_with_a_plain_message(line):
    run = subprocess.run(
        [sys.executable, "-m", "mallowbeam.storage_gateway.scheduler.simulator_host"],
        input=f"TICK 1.0\n{line}\nEOF_BATCH\n",
        capture_output=True,
        text=True,
        check=False,
    )
    assert run.returncode != 0
    assert line in run.stderr and "Traceback" not in run.stderr
