"""Patches of the operator's configuration: parsing, rejection (code and path) and outcomes."""

from __future__ import annotations

import copy
import json
import random
import unittest
from typing import Any

from configuration_documents import body_of, document, large_document, large_route
from configuration_scenario import patched, restored_copy

from mallowbeam.router.configuration.errors import ConfigurationError
from mallowbeam.router.configuration.parsing import ConfigurationParser, parse_configuration
from mallowbeam.router.configuration.patch import apply_patch, parse_patch
from mallowbeam.router.configuration.updates import apply_update, incremental_update
from mallowbeam.router.configuration.versions import ConfigurationVersions, patch_command, put_command
from mallowbeam.router.rpc.messages_pb2 import (
    ALREADY_DONE,
    DONE,
    INVALID_OUTCOME,
    VERSION_MISMATCH,
    PutConfiguration,
)

FIRST, SECOND = document()["routes"]
MODELS, RECORDS = document()["backends"]

MALFORMED: dict[str, tuple[Any, str, str]] = {
    "no object": ([], "CONFIG_FIELD", ""),
    "no revision": ({"upsert": {}}, "CONFIG_FIELD", "revision"),
    "a revision of 0": ({"revision": 0}, "CONFIG_FIELD", "revision"),
    "a member that a patch does not have": ({"revision": 9, "routes": []}, "CONFIG_FIELD", "routes"),
    "lists that are no object": ({"revision": 9, "upsert": []}, "CONFIG_FIELD", "upsert"),
    "a list that is none": ({"revision": 9, "upsert": {"routes": {}}}, "CONFIG_FIELD", "upsert.routes"),
    "an entry that is no object": (
        {"revision": 9, "upsert": {"routes": [3]}},
        "CONFIG_FIELD",
        "upsert.routes[0]",
    ),
    "an entry without a name": (
        {"revision": 9, "upsert": {"routes": [FIRST, {**SECOND, "name": ""}]}},
        "CONFIG_FIELD",
        "upsert.routes[1].name",
    ),
    "a bad field": (
        {"revision": 9, "upsert": {"routes": [{**FIRST, "timeout_ms": "x"}]}},
        "CONFIG_FIELD",
        "upsert.routes[0].timeout_ms",
    ),
    "a removed entry that is no name": (
        {"revision": 9, "remove": {"routes": [{"name": "r-1"}]}},
        "CONFIG_FIELD",
        "remove.routes",
    ),
    "twice in one list": (
        {"revision": 9, "upsert": {"routes": [FIRST, FIRST]}},
        "CONFIG_DUPLICATE_NAME",
        "upsert.routes[1].name",
    ),
    "removed twice": (
        {"revision": 9, "remove": {"routes": ["r-1", "r-1"]}},
        "CONFIG_DUPLICATE_NAME",
        "remove.routes[1]",
    ),
    "in both lists": (
        {"revision": 9, "upsert": {"routes": [FIRST]}, "remove": {"routes": ["r-1"]}},
        "CONFIG_DUPLICATE_NAME",
        "remove.routes[0]",
    ),
}

INVALID: dict[str, tuple[dict[str, Any], str, str]] = {
    "not there": ({"remove": {"routes": ["r-9"]}}, "CONFIG_NAME_NOT_FOUND", "remove.routes[0]"),
    "no such list": ({"remove": {"tenants": ["t"]}}, "CONFIG_NAME_NOT_FOUND", "remove.tenants[0]"),
    "no list": ({"upsert": {"limits": [{"name": "x"}]}}, "CONFIG_FIELD", "limits"),
    "a removed service that a route names": (
        {"remove": {"backends": ["records"]}},
        "CONFIG_UNKNOWN_BACKEND",
        "remove.backends",
    ),
    "a service that is not there": (
        {"upsert": {"routes": [{**FIRST, "backend": "none"}]}},
        "CONFIG_UNKNOWN_BACKEND",
        "upsert.routes[0].backend",
    ),
    "no time-out": (
        {"upsert": {"routes": [{**FIRST, "timeout_ms": 0}]}},
        "CONFIG_NO_TIMEOUT",
        "upsert.routes[0].timeout_ms",
    ),
    "no weight": (
        {"upsert": {"routes": [{**SECOND, "weighted_backends": [{"backend": "models", "weight": 0}]}]}},
        "CONFIG_NO_WEIGHT",
        "upsert.routes[0].weighted_backends",
    ),
    "a place that another route has": (
        {"upsert": {"routes": [{**FIRST, "name": "r-3"}]}},
        "CONFIG_SAME_PLACE",
        "upsert.routes[0].path_prefix",
    ),
    "two places made one": (
        {"upsert": {"routes": [{**FIRST, "path_prefix": "/two/"}]}},
        "CONFIG_SAME_PLACE",
        "upsert.routes[0].path_prefix",
    ),
    "two added routes with one place": (
        {
            "upsert": {
                "routes": [
                    {**FIRST, "name": "r-3", "path_prefix": "/x/"},
                    {**FIRST, "name": "r-4", "path_prefix": "/x/"},
                ]
            }
        },
        "CONFIG_SAME_PLACE",
        "upsert.routes[1].path_prefix",
    ),
}

VALID: dict[str, dict[str, Any]] = {
    "nothing but a number": {},
    "nulls": {"upsert": None, "remove": None},
    "empty lists": {"upsert": {"routes": []}, "remove": {"backends": []}},
    "two routes change places": {
        "upsert": {"routes": [{**FIRST, "path_prefix": "/two/"}, {**SECOND, "path_prefix": "/one/"}]}
    },
    "one takes a removed one's place": {
        "upsert": {"routes": [{**FIRST, "name": "r-3"}]},
        "remove": {"routes": ["r-1"]},
    },
    "a service goes with its routes": {
        "upsert": {"routes": [{**SECOND, "weighted_backends": [{"backend": "models", "weight": 1}]}]},
        "remove": {"backends": ["records"]},
    },
    "a service comes with its route": {
        "upsert": {
            "backends": [{**RECORDS, "name": "new"}],
            "routes": [{**FIRST, "name": "r-3", "path_prefix": "/new/", "backend": "new"}],
        },
    },
    "fields that are not known": {"upsert": {"routes": [{**FIRST, "later": {"a": [1]}}]}},
    "a list that is not known": {"upsert": {"tenants": [{"name": "t", "key": "k"}]}},
}


def patch_of(changes: dict[str, Any], revision: int = 9) -> dict[str, Any]:
    return {"revision": revision, **changes}


class Reading(unittest.TestCase):
    """Patches that are malformed, or whose outcome is invalid."""

    def rejection(self, patch: Any) -> ConfigurationError:
        base = ConfigurationParser().parse(body_of(document())).document
        with self.assertRaises(ConfigurationError) as caught:
            apply_patch(base, parse_patch(body_of(patch)))
        return caught.exception

    def test_malformed(self) -> None:
        for name, (patch, code, where) in MALFORMED.items():
            with self.subTest(name):
                error = self.rejection(patch)
                self.assertEqual((error.code, error.where), (code, where))
                self.assertTrue(400 <= error.status < 500)

    def test_invalid_outcomes(self) -> None:
        for name, (changes, code, where) in INVALID.items():
            with self.subTest(name):
                error = self.rejection(patch_of(changes))
                self.assertEqual((error.code, error.where), (code, where))
                self.assertTrue(error.what and error.remedy_text)

    def test_an_ambiguous_name(self) -> None:
        twice = document()
        twice["routes"][1]["name"] = "r-1"
        base = ConfigurationParser().parse(body_of(twice)).document
        with self.assertRaises(ConfigurationError) as caught:
            apply_patch(base, parse_patch(body_of(patch_of({"remove": {"routes": ["r-1"]}}))))
        self.assertEqual(caught.exception.code, "CONFIG_DUPLICATE_NAME")

    def test_no_json(self) -> None:
        for body in (b"", b"{", b"\xff", b'{"revision":9,"upsert":{"routes":[}}', b"[" * 200_000):
            with self.subTest(body[:20]), self.assertRaises(ConfigurationError):
                parse_patch(body)


class Outcomes(unittest.TestCase):
    """The outcome equals a complete document of the same content in every respect."""

    def check(self, before: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
        """Apply a patch and compare the outcome with a complete document; returns that document."""
        old = ConfigurationParser().parse(body_of(before)).document
        snapshot = copy.deepcopy(old.configuration)
        expected = patched(before, patch)
        new = apply_patch(old, parse_patch(body_of(patch)))
        complete = parse_configuration(body_of(expected))
        self.assertEqual(json.loads(new.canonical()), expected)
        self.assertEqual(new.canonical(), complete.canonical)
        self.assertEqual(new.configuration, complete.configuration)
        self.assertEqual(old.configuration, snapshot, "the previous document was modified")
        update = incremental_update(old.configuration, new.configuration)
        self.assertEqual(apply_update(old.configuration, update), complete.configuration)
        return expected

    def test_valid(self) -> None:
        for name, changes in VALID.items():
            with self.subTest(name):
                self.check(document(), patch_of(changes))

    def test_random_walks(self) -> None:
        """300 valid patches in sequence, compared with the reference implementation."""
        rng = random.Random(48)
        current = large_document(40, revision=1)
        for revision in range(2, 302):
            names = [route["name"] for route in current["routes"]]
            removed = rng.sample(names, min(len(names), rng.randrange(3)))
            numbers = [number for number in rng.sample(range(80), 3) if f"r-{number}" not in removed]
            timeout = rng.randrange(1, 9_000)
            routes = [{**large_route(number, 4), "timeout_ms": timeout} for number in numbers]
            patch = {"revision": revision, "upsert": {"routes": routes}, "remove": {"routes": removed}}
            current = self.check(current, patch)

    def test_a_patch_costs_what_it_changes(self) -> None:
        """A one-route command and its update have the same size in a small configuration and a large one."""
        sizes = []
        for routes in (100, 4_000):
            old = ConfigurationParser().parse(body_of(large_document(routes))).document
            route = {**large_route(7, 10), "timeout_ms": 77}
            patch = parse_patch(body_of(patch_of({"upsert": {"routes": [route]}})))
            new = apply_patch(old, patch)
            change = incremental_update(old.configuration, new.configuration)
            sizes.append((patch_command(patch, 7).ByteSize(), change.ByteSize()))
            shared = sum(
                new.configuration.routes[key] is route for key, route in old.configuration.routes.items()
            )
            self.assertEqual(shared, routes - 1, "entries that are not named are the same objects")
        self.assertEqual(sizes[0], sizes[1])
        self.assertLess(max(sizes[0]), 600)


class Members(unittest.TestCase):
    """How the replicated state applies patches that no member has checked before."""

    def test_nothing_to_patch(self) -> None:
        patch = parse_patch(body_of(patch_of({"upsert": {"routes": [FIRST]}})))
        versions = ConfigurationVersions()
        self.assertEqual(versions.apply(patch_command(patch, 0)), INVALID_OUTCOME)
        self.assertEqual((versions.revision, versions.current()), (0, None))

    def test_check_patch_rejects_only_patches_of_the_current_revision(self) -> None:
        versions = ConfigurationVersions()
        versions.apply(put_command(parse_configuration(body_of(document())), 0))
        patch = parse_patch(body_of(patch_of({"remove": {"backends": ["records"]}})))
        with self.assertRaises(ConfigurationError):
            versions.check_patch(patch, 7)
        versions.check_patch(patch, 6)
        self.assertEqual(versions.apply(patch_command(patch, 6)), VERSION_MISMATCH)

    def test_patches_after_each_kind_of_start(self) -> None:
        """A member whose API parsed the document, and one that only received the committed command."""
        parser = ConfigurationParser()
        command = put_command(parser.parse(body_of(document())), 0)
        patch = patch_command(parse_patch(body_of(patch_of({"remove": {"routes": ["r-1"]}}))), 7)
        bodies = set()
        for versions in (ConfigurationVersions(parser), ConfigurationVersions()):
            self.assertEqual([versions.apply(command), versions.apply(patch)], [DONE, DONE])
            bodies.add(versions.current_body())
        self.assertEqual(len(bodies), 1)

    def test_a_complete_document_is_not_parsed_to_compare_another_of_its_revision(self) -> None:
        """The digests suffice to tell them apart; the stored bodies are not even readable."""
        versions = ConfigurationVersions()
        stored = PutConfiguration(body=b"not zlib", based_on=0, digest=b"1" * 16, revision=7)
        other = PutConfiguration(body=b"not zlib", based_on=0, digest=b"2" * 16, revision=7)
        self.assertEqual(versions.apply(stored), DONE)
        for member in (versions, restored_copy(versions)):
            self.assertEqual(member.apply(other), VERSION_MISMATCH)
            self.assertEqual(member.apply(stored), ALREADY_DONE)

    def test_a_restored_member_knows_what_a_patch_led_to(self) -> None:
        versions = ConfigurationVersions()
        versions.apply(put_command(parse_configuration(body_of(document())), 0))
        patch = parse_patch(body_of(patch_of({"remove": {"routes": ["r-1"]}})))
        self.assertEqual(versions.apply(patch_command(patch, 7)), DONE)
        same = put_command(parse_configuration(versions.current_body()), 7)
        for member in (versions, restored_copy(versions), restored_copy(restored_copy(versions))):
            self.assertEqual(member.apply(same), ALREADY_DONE)
            self.assertEqual(member.apply(patch_command(patch, 7)), ALREADY_DONE)


if __name__ == "__main__":
    unittest.main()
