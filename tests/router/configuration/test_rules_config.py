"""Route and service of each request while the configuration changes under open connections."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from dataclasses import replace

from failing_instances import ByName
from gateway_bench import (
    DEFAULT,
    ENGINE,
    HOST,
    PLAIN,
    Bench,
    configuration,
    read_answer,
    request_bytes,
    route,
)
from virtual_time import play

from mallowbeam.router.configuration.model import Configuration, Route, WeightedBackend

OTHER = "other.example"
OLD, NEW = "i-1", "j-1"


def with_backend(config: Configuration, name: str) -> Configuration:
    return replace(config, backends={**config.backends, name: replace(config.backends[PLAIN], name=name)})


def to(prefix: str, *weighted: tuple[str, int], **more: object) -> Route:
    backends = tuple(WeightedBackend(name, weight) for name, weight in weighted)
    return replace(route(prefix, "unsafe"), backends=backends, **more)  # type: ignore[arg-type]


class Changes(unittest.TestCase):
    """Each change applies to the next request, on old connections and new ones."""

    async def served_by(
        self,
        bench: Bench,
        kept_connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        target: str,
        host: str = HOST,
    ) -> str:
        """The status, or the instance that signed the response; checks that both connections agree."""
        kept_connection[1].write(request_bytes(target, headers={"Host": host}))
        answers = [await read_answer(kept_connection[0]), await bench.ask(target, headers={"Host": host})]
        results = {answer.headers.get("server-signature", str(answer.status)) for answer in answers}
        self.assertEqual(len(results), 1, target)
        return results.pop().removeprefix("stamp.")

    def test_added_moved_split_and_removed_routes(self) -> None:
        async def scenario() -> None:
            async with Bench(with_backend(configuration(to("/a/", (PLAIN, 1))), "new"), ByName()) as bench:
                await bench.add(OLD)
                await bench.add(NEW, "new")
                kept_connection = await bench.client()

                async def change(*routes: Route) -> None:
                    bench.gateway.set_configuration(with_backend(configuration(*routes), "new"), 0.0)

                self.assertEqual(await self.served_by(bench, kept_connection, "/a/"), OLD)
                self.assertEqual(await self.served_by(bench, kept_connection, "/b/"), "404")
                await change(to("/a/", (PLAIN, 1)), to("/b/", (PLAIN, 1)))
                self.assertEqual(await self.served_by(bench, kept_connection, "/b/x"), OLD)
                await change(to("/a/", ("new", 1)), to("/b/", (PLAIN, 0), ("new", 3)))
                self.assertEqual(
                    [await self.served_by(bench, kept_connection, one) for one in ("/a/", "/b/")], [NEW, NEW]
                )
                await change(to("/b/", (PLAIN, 1)))
                self.assertEqual(
                    [await self.served_by(bench, kept_connection, one) for one in ("/a/", "/b/")],
                    ["404", OLD],
                )
                await change(to("/a/", (PLAIN, 1)))
                self.assertEqual(
                    [await self.served_by(bench, kept_connection, one) for one in ("/a/", "/b/")],
                    [OLD, "404"],
                )

        play(scenario())

    def test_hosts_that_share_prefixes_and_prefixes_inside_others(self) -> None:
        async def scenario() -> None:
            routes = (to("/a/", (PLAIN, 1)), to("/a/b/", ("new", 1)), to("/a/", ("new", 1), hostname=OTHER))
            async with Bench(with_backend(configuration(*routes), "new"), ByName()) as bench:
                await bench.add(OLD)
                await bench.add(NEW, "new")
                kept_connection = await bench.client()
                for host, target, expected in (
                    (HOST, "/a/", OLD),
                    (HOST, "/a/b", OLD),
                    (HOST, "/a/b/", NEW),
                    (HOST, "/a/b/c?d", NEW),
                    (HOST, "/ab/", "404"),
                    (HOST, "/", "404"),
                    (OTHER, "/a/", NEW),
                    (OTHER, "/a/b/", NEW),
                    ("third.example", "/a/", "404"),
                ):
                    self.assertEqual(
                        await self.served_by(bench, kept_connection, target, host), expected, (host, target)
                    )
                without = with_backend(configuration(*routes[1:]), "new")
                bench.gateway.set_configuration(without, 0.0)
                self.assertEqual(await self.served_by(bench, kept_connection, "/a/b/"), NEW)
                self.assertEqual(await self.served_by(bench, kept_connection, "/a/"), "404")

        play(scenario())

    def test_a_weight_of_0_gets_no_requests_and_others_their_proportion(self) -> None:
        async def scenario() -> None:
            routes = to("/a/", (PLAIN, 0), ("new", 1)), to("/b/", (PLAIN, 3), ("new", 1))
            async with Bench(with_backend(configuration(*routes), "new"), ByName()) as bench:
                instances = {PLAIN: await bench.add(OLD), "new": await bench.add(NEW, "new")}
                for number in range(100):
                    headers = {"Request-Id": f"{number * 2654435761 % 2**32:08x}"}
                    self.assertEqual((await bench.ask("/a/", headers=headers)).status, 200)
                self.assertEqual([len(one.seen) for one in instances.values()], [0, 100])
                for number in range(400):
                    headers = {"Request-Id": f"{number * 2654435761 % 2**32:08x}"}
                    await bench.ask("/b/", headers=headers)
                counts = Counter({name: len(one.seen) for name, one in instances.items()})
                self.assertGreater(counts[PLAIN], 240)
                self.assertGreater(counts["new"], 100 + 60)

        play(scenario())

    def test_routes_added_later_are_served_as_well(self) -> None:
        async def scenario() -> None:
            first = [to(f"/first/{number}/", (PLAIN, 1)) for number in range(20)]
            later = [to(f"/later/{number}/", (PLAIN, 1)) for number in range(20)]
            async with Bench(configuration(*first), ByName()) as bench:
                await bench.add(OLD)
                bench.gateway.set_configuration(configuration(*first, *later), 0.0)
                for one in (*first, *later):
                    self.assertEqual((await bench.ask(one.path_prefix)).status, 200, one.path_prefix)

        play(scenario())

    def test_nothing_is_sent_to_a_service_that_no_route_names_any_more(self) -> None:
        """A request to a service that was removed in the meantime gets a 404 and reaches no instance."""

        async def scenario() -> None:
            async with Bench(DEFAULT, ByName()) as bench:
                one = await bench.add("d-1", ENGINE, "decode")
                bench.gateway.set_configuration(configuration(route("/safe/", "safe")), 0.0)
                self.assertEqual((await bench.ask("/stream/")).status, 404)
                self.assertEqual(one.seen, [])

        play(scenario())


if __name__ == "__main__":
    unittest.main()
