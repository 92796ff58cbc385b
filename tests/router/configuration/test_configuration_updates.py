"""Updates for gateways: an incremental update equals a full one, and revisions never decrease."""

from __future__ import annotations

import subprocess
import sys
import unittest
from dataclasses import replace
from unittest.mock import patch

from configuration_documents import document, large_document, parsed
from hypothesis import given, settings
from hypothesis import strategies as st
from project_paths import ROOT

from mallowbeam.router.configuration import updates
from mallowbeam.router.configuration.errors import UpdateMismatchError
from mallowbeam.router.configuration.model import (
    Backend,
    ClientLimits,
    Configuration,
    Engine,
    Route,
    WeightedBackend,
)
from mallowbeam.router.configuration.updates import apply_update, full_update, incremental_update
from mallowbeam.router.rpc.messages_pb2 import ConfigurationUpdate

FORBIDDEN_MODULES = ("marshmallow", "msgspec", "json")

numbers = st.integers(0, 2**32 - 1)
amounts = st.floats(0, 1e9)
names = st.sampled_from(["a", "b", "c", "d", "é"])
engines = st.builds(
    Engine,
    numbers,
    st.integers(0, 2**64 - 1),
    numbers,
    amounts,
    numbers,
    amounts,
    amounts,
    st.lists(names, max_size=2).map(tuple),
)
backends = st.builds(Backend, names, st.sampled_from(["", "/healthz"]), numbers, st.none() | engines)
routes = st.builds(
    Route,
    hostname=names,
    path_prefix=st.sampled_from(["/", "/one/", "/two/"]),
    timeout_ms=numbers,
    backends=st.lists(st.builds(WeightedBackend, names, numbers), max_size=3).map(tuple),
    name=names,
    route_type=st.sampled_from(["safe", "unsafe", "stream"]),
    target_latency_ms=numbers,
    priority=numbers,
    max_retries=numbers,
    session_affinity=st.booleans(),
    resumable=st.booleans(),
    gap_aim_ms=numbers,
)
limits = st.builds(ClientLimits, numbers, numbers, numbers, numbers)


placed_routes = st.lists(st.tuples(st.sampled_from(["old", "new", "both"]), routes), max_size=8)
placed_backends = st.lists(st.tuples(st.sampled_from(["old", "new", "both"]), backends), max_size=4)
limits_of_both = st.lists(limits, min_size=1, max_size=2)


def configuration(
    which: str,
    revision: int,
    with_routes: list[tuple[str, Route]],
    with_backends: list[tuple[str, Backend]],
    with_limits: ClientLimits,
) -> Configuration:
    """The old or the new configuration; the services that routes name may be missing."""
    chosen_routes = [route for side, route in with_routes if side in (which, "both")]
    chosen_backends = [backend for side, backend in with_backends if side in (which, "both")]
    return Configuration(
        revision,
        {route.key: route for route in chosen_routes},
        {backend.name: backend for backend in chosen_backends},
        with_limits,
    )


def over_the_wire(update: ConfigurationUpdate) -> ConfigurationUpdate:
    """An update, serialized and parsed again."""
    arrived = ConfigurationUpdate()
    arrived.ParseFromString(update.SerializeToString())
    return arrived


class Changes(unittest.TestCase):
    """`incremental_update`, `full_update` and `apply_update`."""

    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(placed_routes, placed_backends, limits_of_both)
    def test_an_incremental_update_equals_a_full_one(
        self,
        with_routes: list[tuple[str, Route]],
        with_backends: list[tuple[str, Backend]],
        with_limits: list[ClientLimits],
    ) -> None:
        old = configuration("old", 3, with_routes, with_backends, with_limits[0])
        new = configuration("new", 5, with_routes, with_backends, with_limits[-1])
        current = apply_update(None, over_the_wire(full_update(old)))
        self.assertEqual(current, old)
        changed = apply_update(current, over_the_wire(incremental_update(old, new)))
        self.assertEqual(changed, new)
        self.assertEqual(apply_update(current, over_the_wire(full_update(new))), new)
        self.assertEqual(current, old, "the held configuration has been modified")

    def test_the_property_fails_for_an_update_that_lacks_removals(self) -> None:
        def update_without_removals(old: Configuration, new: Configuration) -> ConfigurationUpdate:
            update = incremental_update(old, new)
            del update.removed_routes[:]
            return update

        old, new = parsed(document()), parsed({**document(8), "routes": []})
        self.assertEqual(apply_update(old, incremental_update(old, new)), new)
        self.assertNotEqual(apply_update(old, update_without_removals(old, new)), new)

    def test_an_incremental_update_contains_only_changes(self) -> None:
        value = large_document(200, revision=8)
        value["routes"][7]["timeout_ms"] += 1
        moved = value["routes"][9]
        moved["path_prefix"] = "/moved/"
        value["backends"].append({"name": "new"})
        update = incremental_update(parsed(large_document(200)), parsed(value))
        self.assertEqual([route.name for route in update.routes], ["r-7", "r-9"])
        self.assertEqual(list(update.removed_routes), ["host-1.example /path-9/"])
        self.assertEqual([backend.name for backend in update.backends], ["new"])
        self.assertFalse(update.HasField("limits") or update.removed_backends or update.whole)
        self.assertEqual((update.based_on, update.revision), (7, 8))

    def test_identical_objects_are_not_compared(self) -> None:
        old = parsed(large_document(50))
        new = replace(old, revision=8)
        with patch.object(Route, "__eq__", side_effect=AssertionError):
            self.assertFalse(incremental_update(old, new).routes)

    def test_no_older_revision_is_accepted(self) -> None:
        old, new = parsed(document(7)), parsed(document(9))
        newest = parsed(document(12))
        for update in (
            full_update(old),
            incremental_update(old, new),
            full_update(newest),
            incremental_update(new, newest),
        ):
            self.assertIs(apply_update(newest, update), newest)

    def test_an_update_of_another_revision_is_rejected(self) -> None:
        old, new, newest = (parsed(document(revision)) for revision in (7, 9, 12))
        for current in (None, old):
            with self.assertRaises(UpdateMismatchError) as caught:
                apply_update(current, incremental_update(new, newest))
            self.assertEqual(caught.exception.code, "CONFIG_UPDATE_BASE")
        self.assertEqual(apply_update(old, full_update(newest)), newest)

    def test_removal_of_unknown_names_is_ignored(self) -> None:
        current = parsed(document(7))
        update = ConfigurationUpdate(revision=8, based_on=7)
        update.removed_routes.append("none /")
        update.removed_backends.append("none")
        self.assertEqual(apply_update(current, update), replace(current, revision=8))

    def test_an_update_without_limits_gets_defaults(self) -> None:
        update = ConfigurationUpdate(revision=1, whole=True)
        self.assertEqual(apply_update(None, update).limits, ClientLimits())

    def test_gateways_need_no_schemas(self) -> None:
        script = (
            "import sys, mallowbeam.router.configuration.model, mallowbeam.router.configuration.updates\n"
            f"print([name for name in {FORBIDDEN_MODULES!r} if name in sys.modules])"
        )
        command = [sys.executable, "-c", script]
        ran = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
        self.assertEqual(ran.stdout.strip(), "[]")
        self.assertNotIn("schemas", vars(updates))


if __name__ == "__main__":
    unittest.main()
