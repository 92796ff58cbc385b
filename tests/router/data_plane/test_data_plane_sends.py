"""The send policy of one request, and the classification of answers."""

from __future__ import annotations

import unittest
from random import Random

from mallowbeam.http.framing import Message
from mallowbeam.router.data_plane.outcomes import (
    MAX_RETRY_AFTER_S,
    NOT_RUN_STATUSES,
    AttemptEnd,
    judge_answer,
    may_forward,
    retry_after,
)
from mallowbeam.router.data_plane.retry_budget import BudgetSettings, RetryBudget
from mallowbeam.router.data_plane.send_policy import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    MAX_CONNECT_FAILURES,
    NEVER_ARRIVED,
    UNAVAILABLE,
    SendPolicy,
    SendTicket,
)

NOW = 100.0
SEEDS = range(400)
STEPS = 30
ID = b"9c41d07be2a35f68"
MAY_HAVE_RUN = (AttemptEnd.BROKEN, AttemptEnd.TIMED_OUT, AttemptEnd.FAILED)
DID_NOT_RUN = (AttemptEnd.REJECTED, AttemptEnd.MISDIRECTED)


class FixedBudget(RetryBudget):
    """A budget of a fixed size that records its use."""

    def __init__(self, size: int = 1000) -> None:
        super().__init__(BudgetSettings())
        self.left, self.taken = size, 0

    def available(self, now: float, gateways: int) -> float:
        return float(self.left)

    def take(self, now: float, gateways: int) -> bool:
        if self.left < 1:
            return False
        self.left, self.taken = self.left - 1, self.taken + 1
        return True

    def give_back(self, now: float) -> None:
        self.left, self.taken = self.left + 1, self.taken - 1


class OneRequest(unittest.TestCase):
    def policy(self, idempotent: bool = True, most: int = 3, budget: RetryBudget | None = None) -> SendPolicy:
        return SendPolicy(budget if budget is not None else FixedBudget(), idempotent, most)

    def sent(self, policy: SendPolicy, instance: str) -> SendTicket:
        ticket = policy.send(instance, NOW, 1)
        assert ticket is not None
        return ticket


class Sends(OneRequest):
    def test_the_first_send_costs_nothing_and_each_later_one_is_charged(self) -> None:
        budget = FixedBudget()
        policy = self.policy(budget=budget)
        for number in range(3):
            policy.ended(self.sent(policy, f"i-{number}"), AttemptEnd.REJECTED, NOW)
            self.assertEqual(budget.taken, number)

    def test_without_budget_there_is_no_second_send(self) -> None:
        policy = self.policy(budget=FixedBudget(0))
        policy.ended(self.sent(policy, "i-1"), AttemptEnd.REJECTED, NOW)
        self.assertIsNone(policy.send("i-2", NOW, 1))

    def test_what_never_arrived_costs_nothing(self) -> None:
        for end in NEVER_ARRIVED:
            budget = FixedBudget(0)
            policy = self.policy(idempotent=False, most=1, budget=budget)
            policy.ended(self.sent(policy, "i-1"), end, NOW)
            self.assertTrue(policy.may_continue(), end)
            self.sent(policy, "i-2")
            self.assertEqual((budget.taken, policy.excluded), (0, {"i-1"}), end)

    def test_what_may_have_run_is_sent_again_only_where_that_is_allowed(self) -> None:
        for end in MAY_HAVE_RUN:
            for idempotent in (False, True):
                policy = self.policy(idempotent)
                policy.ended(self.sent(policy, "i-1"), end, NOW)
                self.assertEqual(policy.may_continue(), idempotent, end)
                self.assertEqual(policy.send("i-2", NOW, 1) is not None, idempotent, end)

    def test_what_did_not_run_is_sent_again(self) -> None:
        for end in DID_NOT_RUN:
            policy = self.policy(idempotent=False)
            policy.ended(self.sent(policy, "i-1"), end, NOW)
            self.assertFalse(policy.may_have_run)
            self.sent(policy, "i-2")

    def test_a_stream_that_broke_off_has_run(self) -> None:
        policy = self.policy(idempotent=False)
        self.sent(policy, "i-1")
        policy.answer_truncated("i-1")
        self.assertIsNone(policy.send("i-2", NOW, 1))
        self.assertEqual(policy.excluded, {"i-1"})

    def test_no_more_instances_than_the_route_allows(self) -> None:
        for most in (0, 1, 2, 5):
            policy = self.policy(most=most)
            sends = 0
            while policy.may_continue():
                policy.ended(self.sent(policy, f"i-{sends}"), AttemptEnd.REJECTED, NOW)
                sends += 1
            self.assertEqual(sends, max(1, most))
            self.assertIsNone(policy.send("another", NOW, 1))

    def test_connections_that_fail_have_a_bound_of_their_own(self) -> None:
        policy = self.policy(most=1)
        failures = 0
        while policy.may_continue():
            policy.ended(self.sent(policy, f"i-{failures}"), AttemptEnd.NO_CONNECTION, NOW)
            failures += 1
        self.assertEqual(failures, MAX_CONNECT_FAILURES)
        self.assertIsNone(policy.send("another", NOW, 1))

    def test_status_503_only_if_the_request_has_not_run(self) -> None:
        policy = self.policy()
        self.assertEqual([policy.status_when_abandoned(late) for late in (False, True)], [UNAVAILABLE] * 2)
        policy.ended(self.sent(policy, "i-1"), AttemptEnd.REJECTED, NOW)
        self.assertEqual([policy.status_when_abandoned(late) for late in (False, True)], [UNAVAILABLE] * 2)
        policy.ended(self.sent(policy, "i-2"), AttemptEnd.BROKEN, NOW)
        self.assertEqual(
            [policy.status_when_abandoned(late) for late in (False, True)], [BAD_GATEWAY, GATEWAY_TIMEOUT]
        )


class Prompts(OneRequest):
    def test_accepted_first_prefill_call_is_no_arrival(self) -> None:
        budget = FixedBudget(0)
        policy = self.policy(idempotent=False, most=1, budget=budget)
        self.assertTrue(policy.may_prefill_separately())
        policy.prefill_accepted(self.sent(policy, "p-1"), NOW)
        self.sent(policy, "d-1")
        self.assertEqual(budget.taken, 0)

    def test_rejected_prefill_call_is_an_arrival(self) -> None:
        budget = FixedBudget()
        policy = self.policy(idempotent=False, budget=budget)
        policy.prefill_failed(self.sent(policy, "p-1"), AttemptEnd.REJECTED, NOW)
        self.assertFalse(policy.may_prefill_separately())
        self.sent(policy, "d-1")
        self.assertEqual((budget.taken, policy.may_have_run), (1, False))

    def test_prefill_call_that_never_arrived_costs_nothing(self) -> None:
        budget = FixedBudget(0)
        policy = self.policy(idempotent=False, most=1, budget=budget)
        policy.prefill_failed(self.sent(policy, "p-1"), AttemptEnd.NO_CONNECTION, NOW)
        self.assertTrue(policy.may_prefill_separately())
        self.sent(policy, "d-1")
        self.assertEqual(budget.taken, 0)

    def test_request_has_not_run_after_any_failed_prefill_call(self) -> None:
        for end in (*MAY_HAVE_RUN, *DID_NOT_RUN):
            policy = self.policy(idempotent=False)
            policy.prefill_failed(self.sent(policy, "p-1"), end, NOW)
            self.assertEqual((policy.may_have_run, policy.excluded), (False, {"p-1"}), end)
            self.sent(policy, "d-1")

    def test_no_separate_prefill_after_an_arrival(self) -> None:
        policy = self.policy()
        policy.ended(self.sent(policy, "d-1"), AttemptEnd.REJECTED, NOW)
        self.assertFalse(policy.may_prefill_separately())


class AnyOrder(unittest.TestCase):
    """Random sends, checked against a record of what the instances received."""

    def play(self, random: Random, idempotent: bool, most: int, budget: FixedBudget) -> None:
        policy = SendPolicy(budget, idempotent, most)
        arrived: list[str] = []
        ran = False
        for step in range(STEPS):
            instance = f"i-{random.randrange(8)}"
            ticket = policy.send(instance, NOW + step, 1)
            if ticket is None:
                continue
            self.assertFalse(
                ran and not idempotent, "resent a request that may have run and must not run twice"
            )
            end = random.choice([one for one in AttemptEnd if one is not AttemptEnd.ANSWERED])
            policy.ended(ticket, end, NOW + step)
            arrived += [] if end in NEVER_ARRIVED else [instance]
            ran |= end in MAY_HAVE_RUN
            self.assertLessEqual(len(set(arrived)), max(1, most))
            self.assertEqual(budget.taken, max(0, len(arrived) - 1))
            self.assertEqual(policy.may_have_run, ran)
            self.assertEqual(policy.status_when_abandoned(False) == UNAVAILABLE, not ran)

    def test_accounts_agree(self) -> None:
        for seed in SEEDS:
            random = Random(seed)
            with self.subTest(seed):
                budget = FixedBudget(random.choice((0, 2, 100)))
                self.play(random, random.random() < 0.5, random.randrange(5), budget)


def answer(status: int, *headers: tuple[bytes, bytes], id: bytes | None = ID) -> Message:
    read = Message()
    read.status = status
    read.headers = [*([(b"request-id", id)] if id is not None else []), *headers]
    return read


SIGNED = (b"server-signature", b"3e1b.07.5a2")
NOT_EXECUTED = (b"not-executed", b"1")


class AnswerClassification(unittest.TestCase):
    def judged(self, read: Message, first: bool = True, signed: bool = True) -> AttemptEnd:
        return judge_answer(read, ID, first, signed)

    def test_answers(self) -> None:
        cases = [
            (answer(200, SIGNED), AttemptEnd.ANSWERED),
            (answer(204, SIGNED), AttemptEnd.ANSWERED),
            (answer(200), AttemptEnd.BROKEN),
            (answer(206), AttemptEnd.BROKEN),
            (answer(404, SIGNED), AttemptEnd.ANSWERED),
            (answer(404), AttemptEnd.ANSWERED),
            (answer(400), AttemptEnd.ANSWERED),
            (answer(400, NOT_EXECUTED), AttemptEnd.REJECTED),
            (answer(429), AttemptEnd.FAILED),
            (answer(429, NOT_EXECUTED), AttemptEnd.REJECTED),
            (answer(408), AttemptEnd.FAILED),
            (answer(503), AttemptEnd.FAILED),
            (answer(503, SIGNED), AttemptEnd.FAILED),
            (answer(503, NOT_EXECUTED), AttemptEnd.REJECTED),
            (answer(500, SIGNED), AttemptEnd.FAILED),
            (answer(504), AttemptEnd.FAILED),
            (answer(421), AttemptEnd.MISDIRECTED),
            (answer(421, NOT_EXECUTED), AttemptEnd.MISDIRECTED),
        ]
        for read, expected in cases:
            self.assertEqual(self.judged(read), expected, (read.status, read.headers))

    def test_a_prefill_answer_carries_no_signature(self) -> None:
        self.assertEqual(self.judged(answer(200), signed=False), AttemptEnd.ANSWERED)
        self.assertEqual(self.judged(answer(503, NOT_EXECUTED), signed=False), AttemptEnd.REJECTED)
        self.assertEqual(self.judged(answer(500), signed=False), AttemptEnd.FAILED)

    def test_an_answer_to_another_request_proves_nothing(self) -> None:
        for first in (True, False):
            for read in (
                answer(200, SIGNED, id=b"other"),
                answer(503, NOT_EXECUTED, id=b"other"),
                answer(421, id=b"other"),
            ):
                self.assertEqual(self.judged(read, first), AttemptEnd.BROKEN)

    def test_answer_without_an_id_counts_only_for_the_first_request(self) -> None:
        self.assertEqual(self.judged(answer(503, NOT_EXECUTED, id=None)), AttemptEnd.REJECTED)
        self.assertEqual(self.judged(answer(503, NOT_EXECUTED, id=None), first=False), AttemptEnd.BROKEN)

    def test_unproven_not_run_statuses_are_not_forwarded(self) -> None:
        self.assertEqual(
            {status for status in range(200, 600) if not may_forward(answer(status))}, NOT_RUN_STATUSES
        )

    def test_retry_after(self) -> None:
        for value, expected in (
            (b"0.25", 0.25),
            (b"3", 3.0),
            (b"1e9", MAX_RETRY_AFTER_S),
            (b"0", None),
            (b"-1", None),
            (b"nan", None),
            (b"soon", None),
        ):
            self.assertEqual(retry_after(answer(503, (b"retry-after", value))), expected, value)
        self.assertEqual(retry_after(answer(503, (b"retry-after", b"inf"))), MAX_RETRY_AFTER_S)
        self.assertIsNone(retry_after(answer(503)))


if __name__ == "__main__":
    unittest.main()
