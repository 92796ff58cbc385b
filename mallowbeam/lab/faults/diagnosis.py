"""What to look at where a fleet does not come to rest: each gateway's engine by second, its links at the end.

Told by the gateways' own pages as the harness looks at them; the newest word of each second is kept.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

KEPT = 40  # seconds of a trial, the last ones; a trial that fails waits 30 s for rest


class Diagnosis:
    """The engines' states by second and gateway."""

    def __init__(self) -> None:
        self.seconds: dict[int, dict[str, dict[str, Any]]] = {}

    def add(self, at: float, gateway: str, engine: dict[str, Any]) -> None:
        """A gateway's word on its engine, `at` seconds from the trial's start."""
        if engine:
            self.seconds.setdefault(int(at), {})[gateway] = engine
            while len(self.seconds) > KEPT:
                del self.seconds[min(self.seconds)]

    def lines(self, gateways: Sequence[str]) -> list[str]:
        """A line for each second and gateway that spoke in it, then the links as they were seen last."""
        last: dict[str, dict[str, Any]] = {}
        said = [
            "second gateway: state, term (vote), leader; log's end@its term, committed; times gone back; "
            "seconds since the engine's last turn (and the longest: its disk or its machine stood still)"
        ]
        for second, told in sorted(self.seconds.items()):
            for name in gateways:
                if name in told:
                    last[name] = told[name]
                    said.append(f"{second:4d} {name}: {self._engine(told[name])}")
        said.append("links, as seen last: state (who dials) for seconds, and the leader's match")
        said += [
            f"     {name}: {self._links(last[name])}" if name in last else f"     {name}: never spoke"
            for name in gateways
        ]
        return said

    @staticmethod
    def _engine(e: dict[str, Any]) -> str:
        return (
            f"{e['state']}, {e['term']} ({e['voted_for'] or '-'}), {e['leader'] or '-'}; "
            f"{e['log_end']}@{e['log_end_term']}, {e['committed']}; {e['went_back']}; "
            f"{e['tick_s']} ({e['slowest_tick_s']})"
        )

    @staticmethod
    def _links(e: dict[str, Any]) -> str:
        return ", ".join(
            f"{far} {link['state']} ({link['dialled']}) {link['for_s']} s"
            + ("" if link["match"] is None else f" match {link['match']}")
            for far, link in sorted(e["links"].items())
        )


def replay(seed: int, kind: str = "") -> str:
    """The command that plays one seed again; faults are the same, their moments about the same."""
    return f"python -m mallowbeam lab faults --runs 1 --seed {seed} --lanes 1" + (
        f" --kind {kind}" if kind else ""
    )
