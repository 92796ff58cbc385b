"""Selection of route and service, and parsing of a client's headers."""

from __future__ import annotations

import unittest
from collections import Counter
from random import Random

from mallowbeam.http.framing import Message
from mallowbeam.router.configuration.model import Route, WeightedBackend
from mallowbeam.router.data_plane.client_request import (
    MAX_DEADLINE_MS,
    MAX_PROMPT_SEGMENTS,
    BadRequestError,
    ClientRequest,
    read_request,
)
from mallowbeam.router.data_plane.routing import RouteTable, choose_backend, host_name
from mallowbeam.router.pairing.prefix_cache import PromptSegment

REQUEST_ID = b"9c41d07be2a35f68"
SEED = 11


def route(hostname: str, prefix: str, *backends: tuple[str, int]) -> Route:
    weighted = tuple(WeightedBackend(name, weight) for name, weight in backends or (("s", 1),))
    return Route(
        hostname=hostname,
        path_prefix=prefix,
        route_type="safe",
        name=f"{hostname}{prefix}",
        timeout_ms=1000,
        target_latency_ms=100,
        max_retries=1,
        backends=weighted,
    )


def message(*headers: tuple[bytes, bytes], request_id: bytes = REQUEST_ID) -> Message:
    read = Message()
    read.method, read.target, read.body = b"POST", b"/a/1", bytearray(b"body")
    named = [(b"request-id", request_id)] if request_id else []
    read.headers = [(b"host", b"a.example"), *named, *headers]
    return read


def read(*headers: tuple[bytes, bytes]) -> ClientRequest:
    return read_request(message(*headers))


class Routes(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_wins(self) -> None:
        table = RouteTable(
            [
                route("a.example", "/"),
                route("a.example", "/a/b/"),
                route("a.example", "/a/"),
                route("b.example", "/a/b/c/"),
            ]
        )
        for target, prefix in (
            (b"/a/b/c/", "/a/b/"),
            (b"/a/b", "/a/"),
            (b"/a/", "/a/"),
            (b"/a", "/"),
            (b"/", "/"),
            (b"/x?/a/b/", "/"),
            (b"/a/b/?x=/", "/a/b/"),
        ):
            found = table.find(b"a.example", target)
            self.assertEqual(found.path_prefix if found else None, prefix, target)

    def test_no_route(self) -> None:
        table = RouteTable([route("a.example", "/a/")])
        for host, target in (
            (b"a.example", b"/"),
            (b"a.example", b"/ab/"),
            (b"b.example", b"/a/"),
            (b"", b"/a/"),
            (b"a.example.", b"/a/"),
            (b"\xff", b"/a/"),
        ):
            self.assertIsNone(table.find(host, target), (host, target))
        self.assertIsNone(RouteTable().find(b"a.example", b"/a/"))

    def test_hosts_are_compared_without_case_and_port(self) -> None:
        table = RouteTable([route("A.Example", "/a/")])
        for host in (b"a.example", b"A.EXAMPLE", b"a.example:8080"):
            self.assertIsNotNone(table.find(host, b"/a/"), host)
        self.assertEqual(host_name(b"a.example:x"), "a.example:x")

    def test_agrees_with_a_look_at_every_route(self) -> None:
        random = Random(SEED)
        places = {
            ("h" + random.choice("12"), "/" + "".join(random.choice("ab") + "/" for _ in range(depth)))
            for depth in (0, 1, 2, 3, 4)
            for _ in range(6)
        }
        routes = [route(*place) for place in sorted(places)]
        table = RouteTable(routes)
        for _ in range(500):
            host = "h" + random.choice("123")
            target = "/" + "/".join(random.choice(("a", "b", "ab")) for _ in range(random.randrange(5)))
            fits = [one for one in routes if one.hostname == host and target.startswith(one.path_prefix)]
            expected = max(fits, key=lambda one: len(one.path_prefix), default=None)
            self.assertEqual(table.find(host.encode(), target.encode()), expected, (host, target))


class Backends(unittest.TestCase):
    def test_shares_follow_the_weights(self) -> None:
        weighted = route("a.example", "/", ("a", 90), ("b", 10), ("c", 0))
        random = Random(SEED)
        ids = [b"%016x" % random.randrange(1 << 64) for _ in range(20_000)]
        counts = Counter(choose_backend(weighted, one) for one in ids)
        self.assertAlmostEqual(counts["a"] / len(ids), 0.9, delta=0.01)
        self.assertAlmostEqual(counts["b"] / len(ids), 0.1, delta=0.01)
        self.assertEqual(counts["c"], 0)

    def test_the_same_id_goes_to_the_same_service(self) -> None:
        weighted = route("a.example", "/", ("a", 1), ("b", 1))
        self.assertEqual(len({choose_backend(weighted, REQUEST_ID) for _ in range(10)}), 1)

    def test_only_service_with_a_weight_gets_all_requests(self) -> None:
        self.assertEqual(choose_backend(route("h", "/", ("a", 0), ("b", 3)), REQUEST_ID), "b")
        self.assertEqual(choose_backend(route("h", "/", ("a", 0)), REQUEST_ID), "")


class Reading(unittest.TestCase):
    def test_all_headers_are_parsed(self) -> None:
        seen = read(
            (b"deadline-ms", b"3000"),
            (b"last-event-id", b"12"),
            (b"model", b"m"),
            (b"token-usage", b"1460,80"),
            (b"prompt-prefix", b"5c1e07a2:800, 91bd3f06:410,e4402b7d:250"),
        )
        self.assertEqual(
            (seen.request_id, seen.host, seen.method, seen.target, seen.body),
            (REQUEST_ID, b"a.example", b"POST", b"/a/1", b"body"),
        )
        self.assertEqual((seen.deadline_ms, seen.last_event_id), (3000, b"12"))
        self.assertEqual((seen.prompt_tokens, seen.answer_tokens), (1460, 80))
        self.assertEqual(
            seen.prompt_segments,
            (PromptSegment("5c1e07a2", 800), PromptSegment("91bd3f06", 410), PromptSegment("e4402b7d", 250)),
        )

    def test_what_is_missing_has_a_default(self) -> None:
        seen = read()
        self.assertEqual(
            (seen.deadline_ms, seen.last_event_id, seen.prompt_segments), (MAX_DEADLINE_MS, None, ())
        )
        self.assertEqual((seen.prompt_tokens, seen.answer_tokens), (0, 0))

    def test_ids_that_cannot_be_passed_on_are_refused(self) -> None:
        for bad in (b"", b"a b", b"a\x7f", b"x" * 257, b"a\xe9"):
            with self.subTest(bad), self.assertRaises(BadRequestError):
                read_request(message(request_id=bad))

    def test_repeated_headers_are_refused(self) -> None:
        for name in (b"request-id", b"host", b"deadline-ms", b"last-event-id"):
            with self.subTest(name), self.assertRaisesRegex(BadRequestError, "twice"):
                read((name, b"1"), (name, b"2"))

    def test_only_end_to_end_headers_go_on(self) -> None:
        seen = read(
            (b"x-other", b"1"),
            (b"x-hop", b"2"),
            (b"connection", b"close, X-Hop"),
            (b"te", b"trailers"),
            (b"keep-alive", b"timeout=5"),
            (b"content-length", b"4"),
            (b"transfer-encoding", b"chunked"),
            (b"x-other", b"3"),
        )
        self.assertEqual(
            seen.headers,
            [(b"host", b"a.example"), (b"request-id", REQUEST_ID), (b"x-other", b"1"), (b"x-other", b"3")],
        )

    def test_every_connection_header_counts(self) -> None:
        seen = read(
            (b"x-one", b"1"), (b"connection", b"close"), (b"x-two", b"2"), (b"connection", b"x-one, x-two")
        )
        self.assertEqual([name for name, _ in seen.headers], [b"host", b"request-id"])

    def test_a_connection_header_takes_neither_id_nor_host_away(self) -> None:
        seen = read((b"connection", b"host, request-id"))
        self.assertEqual([name for name, _ in seen.headers], [b"host", b"request-id"])

    def test_the_gateway_s_own_headers_are_not_taken_from_clients(self) -> None:
        for name in (b"target-instance", b"stage", b"kv-from", b"deadline-ms"):
            self.assertNotIn(name, [known for known, _ in read((name, b"1")).headers])

    def test_deadlines(self) -> None:
        cases = {
            b"0": 0,
            b"1": 1,
            b"00250": 250,
            b"-1": MAX_DEADLINE_MS,
            b"1.5": 1,
            b"7.": 7,
            b"": MAX_DEADLINE_MS,
            b".5": MAX_DEADLINE_MS,
            b"1.x": MAX_DEADLINE_MS,
            b"1.5.5": MAX_DEADLINE_MS,
            b"x": MAX_DEADLINE_MS,
            b"9" * 9: MAX_DEADLINE_MS,
            b"9" * 30: MAX_DEADLINE_MS,
        }
        for value, expected in cases.items():
            self.assertEqual(read((b"deadline-ms", value)).deadline_ms, expected, value)

    def test_token_counts_that_cannot_be_read_are_none(self) -> None:
        for value, expected in (
            (b"10", (10, 0)),
            (b"10,x", (10, 0)),
            (b",5", (0, 5)),
            (b"-1,-2", (0, 0)),
            (b" 10 , 5 ", (10, 5)),
            (b"1e3,5", (0, 5)),
        ):
            seen = read((b"token-usage", value))
            self.assertEqual((seen.prompt_tokens, seen.answer_tokens), expected, value)

    def test_the_first_part_that_cannot_be_read_ends_the_prompt(self) -> None:
        for value in (b"a:1,b,c:3", b"a:1,b:x,c:3", b"a:1,:2,c:3", b"a:1,,c:3"):
            self.assertEqual(read((b"prompt-prefix", value)).prompt_segments, (PromptSegment("a", 1),), value)

    def test_a_prompt_has_a_bound_of_parts(self) -> None:
        parts = b",".join(b"%x:1" % number for number in range(MAX_PROMPT_SEGMENTS + 50))
        self.assertEqual(len(read((b"prompt-prefix", parts)).prompt_segments), MAX_PROMPT_SEGMENTS)


if __name__ == "__main__":
    unittest.main()
