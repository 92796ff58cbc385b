"""The retry budget is charged for exactly the arrivals at the instances."""

from __future__ import annotations

import unittest
from collections.abc import Sequence

from failing_instances import ByName, ExpiredHandles, add
from gateway_bench import ENGINE, Bench, configuration, route
from timed_instances import Timed, now
from virtual_time import play

from mallowbeam.router.data_plane.retry_budget import BudgetSettings
from mallowbeam.standins.model_server import Fault

PROMPT = {"Token-Usage": "1000,5", "Prompt-Prefix": "aa:600,bb:400"}
ROUTES = configuration(
    route("/safe/", "safe", max_retries=3),
    route("/unsafe/", "unsafe", max_retries=3),
    route("/stream/", "stream", ENGINE, gap_aim_ms=100, max_retries=3),
    route("/resume/", "stream", ENGINE, resumable=True, gap_aim_ms=100, max_retries=3),
)
BUDGET = 50
MAX_INSTANCES = 3  # of each route


def expected_charge(arrivals: int, first_prefill_accepted: bool) -> int:
    """Return the charge for arrivals: all except the first and a successful first prefill call."""
    return max(0, arrivals - first_prefill_accepted - 1)


class Charged(unittest.TestCase):
    """The charge matches the arrivals at the service, for every outcome of a request."""

    def ask(
        self,
        target: str,
        faults: dict[str, Sequence[Fault]],
        prefill_ids: Sequence[str] = (),
        expired: bool = False,
    ) -> tuple[int, int, list[int]]:
        """Return the status, the charge and the arrivals at each instance."""
        result: list[tuple[int, int, list[int]]] = []

        async def scenario() -> None:
            async with Bench(ROUTES, ByName(*prefill_ids), BudgetSettings(0.0, 10.0, BUDGET)) as bench:
                instances = [ExpiredHandles(name, "prefill", expired=expired) for name in prefill_ids]
                stage, backend = ("decode", ENGINE) if prefill_ids else ("", "plain")
                instances += [Timed(f"x-{number}", stage) for number in (1, 2, 3)]
                for one in instances:
                    one.script.extend(faults.get(one.id, ()))
                    await add(bench, one, backend)
                answer = await bench.ask(target, headers=PROMPT if prefill_ids else None)
                budget = bench.gateway.budgets.of(backend)
                left = int(budget.available(now(), 1))
                result.append((answer.status, BUDGET - left, [len(one.seen) for one in instances]))

        play(scenario())
        return result[0]

    def test_accepted_first_prefill_call_costs_nothing(self) -> None:
        self.assertEqual(self.ask("/stream/", {}, ["p-1"]), (200, 0, [1, 1, 0, 0]))

    def test_rejected_first_prefill_call_is_charged_and_not_repeated(self) -> None:
        for fault in (Fault.REJECT, Fault.MISDIRECT, Fault.FAIL, Fault.RESET):
            self.assertEqual(
                self.ask("/stream/", {"p-1": [fault]}, ["p-1", "p-2"]), (200, 1, [1, 0, 1, 0, 0]), fault
            )

    def test_each_arrival_after_the_first_is_charged(self) -> None:
        for fault in (Fault.REJECT, Fault.MISDIRECT, Fault.RESET, Fault.FAIL, Fault.UNPROVEN_503):
            self.assertEqual(self.ask("/safe/", {"x-1": [fault]}), (200, 1, [1, 1, 0]), fault)
            self.assertEqual(self.ask("/safe/", {"x-1": [fault], "x-2": [fault]}), (200, 2, [1, 1, 1]), fault)

    def test_unavailable_handle(self) -> None:
        """The decode instance rejects the handle; that send and the next one both count as arrivals."""
        status, charged, arrivals = self.ask("/stream/", {}, ["p-1"], expired=True)
        self.assertEqual((status, arrivals[0]), (200, 1))
        self.assertEqual(charged, expected_charge(sum(arrivals), True))
        self.assertGreaterEqual(charged, 1)

    def test_a_stream_that_breaks_after_a_hand_over(self) -> None:
        for fault in (Fault.TRUNCATED, Fault.RESET, Fault.FAIL):
            self.assertEqual(self.ask("/resume/", {"x-1": [fault]}, ["p-1"]), (200, 1, [1, 1, 1, 0]), fault)

    def test_every_combination_of_faults_is_charged_exactly(self) -> None:
        kinds = (None, Fault.REJECT, Fault.FAIL, Fault.RESET, Fault.TRUNCATED)
        for target in ("/stream/", "/resume/"):
            for reader in (None, Fault.REJECT, Fault.FAIL):
                for first in kinds:
                    for second in kinds:
                        faults = {"p-1": [reader], "x-1": [first], "x-2": [second]}
                        given = {name: [one for one in named if one] for name, named in faults.items()}
                        _, charged, arrivals = self.ask(target, given, ["p-1"])
                        taken = reader is None and arrivals[0] == 1
                        self.assertEqual(charged, expected_charge(sum(arrivals), taken), (target, faults))
                        places = sum(1 for count in arrivals if count) - taken
                        self.assertLessEqual(places, MAX_INSTANCES, (target, faults))


if __name__ == "__main__":
    unittest.main()
