"""Requests through the complete gateway to stand-in instances on loopback."""

from __future__ import annotations

import asyncio
import time
import unittest
from dataclasses import replace
from unittest import mock

from gateway_bench import ENGINE, Bench, events, read_answer, read_head, request_bytes

from mallowbeam.router.admission.messages import Plan, PlanRequest, Rejection, RejectionReason
from mallowbeam.router.admission.planner import Planner
from mallowbeam.router.admission.settings import PlannerSettings
from mallowbeam.router.data_plane import link_pool
from mallowbeam.router.data_plane.deadlines import CLIENT_RETURN_MARGIN_S, INSTANCE_RETURN_MARGIN_S
from mallowbeam.router.data_plane.planner_interface import LeastLoadedPlanner
from mallowbeam.router.data_plane.retry_budget import BudgetSettings
from mallowbeam.standins.model_server import Fault

TEST_TIMEOUT_S = 20.0  # for steps that take milliseconds; only a failure takes this long


class FirstByName(LeastLoadedPlanner):
    """Selects instances in the order of their names, so that the order of attempts is known."""

    def _rank(self, instance, zone):
        return instance.id

    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        planned = super().plan(request, now)
        return planned if isinstance(planned, Rejection) else replace(planned, engine_priority=3)


class WithPrefill(FirstByName):
    """Has prompts prefilled at one instance first."""

    def __init__(self, prefill: str) -> None:
        super().__init__()
        self.prefill = prefill

    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        planned = super().plan(request, now)
        if isinstance(planned, Rejection) or self.prefill in request.excluded:
            return planned
        return replace(planned, prefill_instance=self.prefill)


class Refusing(FirstByName):
    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        return Rejection(0.7, RejectionReason.NO_CYCLE)


class PlainRequests(unittest.IsolatedAsyncioTestCase):
    async def test_passed_on_unchanged_both_ways(self):
        async with Bench() as bench:
            one = await bench.add("i-1")
            began = time.monotonic()
            answer = await bench.ask(
                "/safe/a?b=1",
                headers={"X-Other": "kept", "Connection": "x-hop", "X-Hop": "dropped", "Stage": "prefill"},
            )
            self.assertEqual((answer.status, answer.body), (200, b"answer"))
            self.assertEqual(answer.headers["server-signature"], "stamp.i-1")
            self.assertEqual(answer.headers["request-id"], "9c41d07be2a35f68")
            self.assertNotIn("keep-alive", answer.headers)
            (seen,) = one.seen
            self.assertEqual((seen.method, seen.target, seen.body), ("POST", "/safe/a?b=1", b"question"))
            self.assertEqual(seen.headers["host"], "host.example")
            self.assertEqual(seen.headers["x-other"], "kept")
            self.assertEqual(seen.headers["target-instance"], "i-1")
            self.assertNotIn("x-hop", seen.headers)
            self.assertNotIn("stage", seen.headers)
            most = 1500 - (CLIENT_RETURN_MARGIN_S + INSTANCE_RETURN_MARGIN_S) * 1000
            took_ms = (time.monotonic() - began) * 1000
            self.assertGreaterEqual(int(seen.headers["deadline-ms"]), int(most - took_ms) - 1)
            self.assertLessEqual(int(seen.headers["deadline-ms"]), most)

    async def test_chunked_body_reaches_the_instance_whole(self):
        async with Bench() as bench:
            one = await bench.add("i-1")
            reader, writer = await bench.client()
            writer.write(
                b"POST /unsafe/ HTTP/1.1\r\nHost: host.example:80\r\nRequest-Id: a1\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            self.assertEqual((await read_answer(reader)).status, 200)
            self.assertEqual(one.seen[0].body, b"abcde")

    async def test_no_route_no_configuration_no_id(self):
        async with Bench() as bench:
            self.assertEqual((await bench.ask("/none/")).status, 404)
            self.assertEqual((await bench.ask("/safe/", headers={"Host": "other"})).status, 404)
            self.assertEqual((await bench.ask("/safe/", headers={"Request-Id": ""})).status, 400)
        async with Bench(None) as bench:
            answer = await bench.ask("/safe/")
            self.assertEqual(answer.status, 503)
            self.assertIn("retry-after", answer.headers)

    async def test_connections_are_kept_on_both_sides(self):
        async with Bench() as bench:
            one = await bench.add("i-1")
            reader, writer = await bench.client()
            with mock.patch.object(link_pool, "REUSE_DELAY_S", 0.0):
                for number in range(5):
                    writer.write(request_bytes("/safe/", headers={"Request-Id": f"r{number}"}))
                    self.assertEqual((await read_answer(reader)).status, 200)
            self.assertEqual((one.connections, len(one.seen)), (1, 5))

    async def test_refusal_of_the_planner(self):
        async with Bench(planner=Refusing()) as bench:
            one = await bench.add("i-1")
            answer = await bench.ask("/safe/")
            self.assertEqual((answer.status, answer.headers["retry-after"]), (503, "0.700"))
            self.assertEqual(one.seen, [])

    async def test_large_answer_passes_through(self):
        async with Bench() as bench:
            await bench.add("i-1", body=b"x" * 300_000)
            answer = await bench.ask("/safe/")
            self.assertTrue(answer.complete)
            self.assertEqual(len(answer.body), 300_000)


class Repeats(unittest.IsolatedAsyncioTestCase):
    async def ask(self, path: str, *faults: Fault, budget: BudgetSettings | None = None):
        """Send a request to a first instance with these faults and a healthy second one.

        Returns the answer and the arrivals at each instance.
        """
        async with Bench(planner=FirstByName(), **({"budget": budget} if budget else {})) as bench:
            first, second = await bench.add("i-1"), await bench.add("i-2")
            first.script.extend(faults)
            answer = await bench.ask(path)
            return answer, len(first.seen), len(second.seen)

    async def test_what_never_ran_is_sent_elsewhere(self):
        for fault in (Fault.REJECT, Fault.MISDIRECT):
            for path in ("/safe/", "/unsafe/"):
                answer, first, second = await self.ask(path, fault)
                self.assertEqual((answer.status, first, second), (200, 1, 1), (fault, path))
                self.assertEqual(answer.headers["server-signature"], "stamp.i-2")

    async def test_what_may_have_run_is_repeated_only_if_safe(self):
        for fault in (Fault.RESET, Fault.OTHER_ID, Fault.NO_SIGNATURE, Fault.UNPROVEN_503):
            answer, first, second = await self.ask("/safe/", fault)
            self.assertEqual((answer.status, first, second), (200, 1, 1), fault)
            answer, first, second = await self.ask("/unsafe/", fault)
            self.assertEqual((answer.status, first, second), (502, 1, 0), fault)
            self.assertNotIn("server-signature", answer.headers)

    async def test_failure_of_an_instance_is_passed_on_with_its_signature(self):
        answer, first, second = await self.ask("/unsafe/", Fault.FAIL)
        self.assertEqual((answer.status, answer.body, first, second), (500, b"no", 1, 0))
        self.assertEqual(answer.headers["server-signature"], "stamp.failed")

    async def test_most_instances_and_budget_bound_the_sends(self):
        answer, first, second = await self.ask("/once/", Fault.REJECT)
        self.assertEqual((answer.status, first, second), (503, 1, 0))
        self.assertIn("retry-after", answer.headers)
        none = BudgetSettings(ratio=0.2, min_retries=0)
        answer, first, second = await self.ask("/safe/", Fault.REJECT, budget=none)
        self.assertEqual((answer.status, first, second), (503, 1, 0))

    async def test_silence_up_to_the_deadline(self):
        async with Bench(planner=FirstByName()) as bench:
            one = await bench.add("i-1")
            one.script.append(Fault.SILENT)
            answer = await bench.ask("/unsafe/", headers={"Deadline-Ms": "800"})
            self.assertEqual(answer.status, 504)

    async def test_refused_connection_costs_no_arrival(self):
        none = BudgetSettings(ratio=0.0, min_retries=0)
        async with Bench(planner=FirstByName(), budget=none) as bench:
            first, second = await bench.add("i-1"), await bench.add("i-2")
            await first.stop()
            answer = await bench.ask("/unsafe/")
            self.assertEqual((answer.status, len(second.seen)), (200, 1))

    async def test_surplus_answer_reaches_nobody(self):
        async with Bench(planner=FirstByName()) as bench:
            one = await bench.add("i-1")
            one.script.append(Fault.SURPLUS)
            reader, writer = await bench.client()
            for _ in range(2):
                writer.write(request_bytes("/safe/"))
                self.assertEqual((await read_answer(reader)).body, b"answer")
            self.assertEqual(one.connections, 2)

    async def test_draining_instance_gets_nothing(self):
        async with Bench(planner=FirstByName()) as bench:
            first, second = await bench.add("i-1"), await bench.add("i-2")
            bench.drain("i-1")
            self.assertEqual((await bench.ask("/safe/")).status, 200)
            self.assertEqual((len(first.seen), len(second.seen)), (0, 1))


class Streams(unittest.IsolatedAsyncioTestCase):
    async def test_events_go_out_as_they_come(self):
        async with Bench(planner=FirstByName()) as bench:
            gate = asyncio.Event()
            one = await bench.add("i-1", ENGINE, "decode", gate=gate)
            reader, writer = await bench.client()
            writer.write(request_bytes("/stream/"))
            head = await read_head(reader)
            size = int(await reader.readline(), 16)
            self.assertEqual((await reader.readexactly(size + 2))[:-2], events(1, 1))
            gate.set()
            rest = await reader.readuntil(b"0\r\n\r\n")
            self.assertIn(b"token 5", rest)
            self.assertEqual((head.status, one.seen[0].headers["priority"]), (200, "3"))

    async def test_truncated_stream_looks_truncated(self):
        async with Bench(planner=FirstByName()) as bench:
            one, two = await bench.add("i-1", ENGINE, "decode"), await bench.add("i-2", ENGINE, "decode")
            one.script.append(Fault.TRUNCATED)
            answer = await bench.ask("/stream/")
            self.assertEqual((answer.status, answer.complete, len(two.seen)), (200, False, 0))
            self.assertTrue(answer.body.startswith(events(1, 2)))

    async def test_resumed_after_the_last_complete_event(self):
        for fault in (Fault.TRUNCATED, Fault.REPEAT_ID, Fault.STALLED):
            async with Bench(planner=FirstByName()) as bench:
                one, two = await bench.add("i-1", ENGINE, "decode"), await bench.add("i-2", ENGINE, "decode")
                one.script.append(fault)
                answer = await bench.ask("/resume/", headers={"Deadline-Ms": "2000"})
                self.assertEqual((answer.complete, answer.body), (True, events()), fault)
                self.assertEqual(answer.headers["server-signature"], "stamp.i-1")
                self.assertEqual(two.seen[0].headers["last-event-id"], "2")

    async def test_clients_own_last_event_id_goes_on(self):
        async with Bench(planner=FirstByName()) as bench:
            one = await bench.add("i-1", ENGINE, "decode")
            answer = await bench.ask("/resume/", headers={"Last-Event-Id": "3"})
            self.assertEqual(answer.body, events(4))
            self.assertEqual(one.seen[0].headers["last-event-id"], "3")

    async def test_client_that_leaves_ends_the_attempt(self):
        async with Bench(planner=FirstByName()) as bench:
            one = await bench.add("i-1", ENGINE, "decode", gate=asyncio.Event())
            reader, writer = await bench.client()
            writer.write(request_bytes("/stream/"))
            await read_head(reader)
            writer.close()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while not one.cancelled:
                    await asyncio.sleep(0)


class Resumptions(unittest.IsolatedAsyncioTestCase):
    async def test_the_gateway_s_headers_replace_the_client_s(self):
        """Guards against sending two Last-Event-Id headers, the client's and the gateway's."""
        async with Bench(planner=FirstByName()) as bench:
            one, two = await bench.add("i-1", ENGINE, "decode"), await bench.add("i-2", ENGINE, "decode")
            one.script.append(Fault.TRUNCATED)
            answer = await bench.ask("/resume/", headers={"Last-Event-Id": "1", "Priority": "7"})
            self.assertEqual((answer.complete, answer.body), (True, events(2)))
            self.assertEqual(
                [one.seen[0].headers["last-event-id"], two.seen[0].headers["last-event-id"]], ["1", "2"]
            )
            self.assertEqual([seen.repeated for seen in one.seen + two.seen], [frozenset()] * 2)
            self.assertEqual(two.seen[0].headers["priority"], "3")  # as in the plan


class WithFleetPlanner(unittest.IsolatedAsyncioTestCase):
    async def test_whole_path(self):
        async with Bench(planner=Planner(PlannerSettings())) as bench:
            prefill = await bench.add("p-1", ENGINE, "prefill")
            decode = await bench.add("d-1", ENGINE, "decode")
            plain = await bench.add("i-1")
            self.assertEqual((await bench.ask("/safe/")).status, 200)
            # A long prompt without a shared prefix: separate prefill is faster, whatever its parts hash to.
            prompt = {"Model": "m", "Token-Usage": "8000,80", "Prompt-Prefix": "e4402b7d:8000"}
            answer = await bench.ask("/stream/", headers=prompt)
            self.assertEqual((answer.complete, answer.body), (True, events()))
            self.assertEqual([len(one.seen) for one in (prefill, decode, plain)], [1, 1, 1])
            self.assertEqual(bench.gateway.planner.bookings, {})


class Prefill(unittest.IsolatedAsyncioTestCase):
    async def bench(self, bench: Bench):
        return (
            await bench.add("p-1", ENGINE, "prefill"),
            await bench.add("d-1", ENGINE, "decode"),
            await bench.add("d-2", ENGINE, "decode"),
        )

    async def test_no_separate_prefill_without_a_prompt(self):
        """A prefill instance executes a request without a prompt, so it would run at one more instance."""
        async with Bench(planner=WithPrefill("p-1")) as bench:
            prefill, decode, _ = await self.bench(bench)
            answer = await bench.ask("/stream/", headers={"Token-Usage": "0,0"})
            self.assertEqual((answer.complete, answer.body), (True, events()))
            self.assertEqual((len(prefill.seen), len(decode.seen)), (0, 1))

    async def test_prompt_is_prefilled_and_its_kv_cache_handed_over(self):
        async with Bench(planner=WithPrefill("p-1")) as bench:
            prefill, decode, _ = await self.bench(bench)
            answer = await bench.ask("/stream/")
            self.assertEqual((answer.complete, answer.body), (True, events()))
            self.assertEqual(answer.headers["server-signature"], "stamp.d-1")
            self.assertEqual(prefill.seen[0].headers["stage"], "prefill")
            self.assertEqual(prefill.seen[0].body, b"question")
            self.assertTrue(decode.seen[0].headers["kv-from"].startswith(prefill.address + "/"))
            self.assertEqual((prefill.handles, prefill.freed), (set(), []))

    async def test_decode_instance_prefills_after_a_failed_prefill_call(self):
        for fault in (Fault.REJECT, Fault.RESET, Fault.FAIL):
            async with Bench(planner=WithPrefill("p-1")) as bench:
                prefill, decode, _ = await self.bench(bench)
                prefill.script.append(fault)
                answer = await bench.ask("/stream/")
                self.assertEqual((answer.body, "kv-from" in decode.seen[0].headers), (events(), False), fault)

    async def test_handle_not_taken_is_freed(self):
        async with Bench(planner=WithPrefill("p-1")) as bench:
            prefill, decode, other = await self.bench(bench)
            decode.script.append(Fault.REJECT)
            answer = await bench.ask("/stream/")
            self.assertEqual((answer.status, answer.body), (200, events()))
            await bench.gateway.handles.finish()
            self.assertEqual((prefill.handles, len(prefill.freed)), (set(), 1))

    async def test_failed_kv_transfer_is_prefilled_again_at_the_same_instance(self):
        """The request goes to no further instance, because the route allows only one."""
        async with Bench(planner=WithPrefill("p-1")) as bench:
            prefill, decode, other = await self.bench(bench)
            decode.script.append(Fault.REJECT)
            answer = await bench.ask("/stream/")
            self.assertEqual((answer.status, answer.headers["server-signature"]), (200, "stamp.d-1"))
            self.assertEqual(["kv-from" in seen.headers for seen in decode.seen], [True, False])
            self.assertEqual((len(prefill.seen), len(other.seen)), (1, 0))

    async def test_instance_that_rejects_twice_is_not_retried(self):
        async with Bench(planner=WithPrefill("p-1")) as bench:
            prefill, decode, other = await self.bench(bench)
            decode.script += [Fault.REJECT, Fault.REJECT]
            answer = await bench.ask("/stream/")
            self.assertEqual((len(decode.seen), len(prefill.seen)), (2, 1))
            self.assertEqual(answer.status, 200 if other.seen else 503)

    async def test_handle_is_freed_when_the_client_leaves(self):
        async with Bench(planner=WithPrefill("p-1")) as bench:
            prefill, decode, _ = await self.bench(bench)
            decode.script.append(Fault.SILENT)
            _, writer = await bench.client()
            writer.write(request_bytes("/stream/"))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while not decode.seen:
                    await asyncio.sleep(0)
                writer.close()
                while not prefill.freed:
                    await asyncio.sleep(0)
            self.assertEqual(prefill.handles, set())


if __name__ == "__main__":
    unittest.main()
