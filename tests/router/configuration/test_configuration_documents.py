"""Accepted and rejected documents, with the code and the path that the operator reads."""

from __future__ import annotations

import json
import re
import unittest
from typing import Any

from configuration_documents import body_of, document, large_document, parsed

from mallowbeam.router.configuration import errors
from mallowbeam.router.configuration.decoding import MAX_NESTING
from mallowbeam.router.configuration.errors import ConfigurationError
from mallowbeam.router.configuration.model import ClientLimits, Engine, WeightedBackend
from mallowbeam.router.configuration.parsing import (
    MAX_BODY_BYTES,
    ConfigurationParser,
    digest_of,
    parse_configuration,
)

REMOVED = object()


def edited(edits: dict[str, Any]) -> dict[str, Any]:
    """The document with values set at, or removed from, paths such as ``routes[0].timeout_ms``."""
    changed = document()
    for path, value in edits.items():
        steps = [int(step) if step.isdigit() else step for step in re.findall(r"\w+", path)]
        parent: Any = changed
        for step in steps[:-1]:
            parent = parent[step]
        if value is REMOVED:
            del parent[steps[-1]]
        elif isinstance(parent, list) and steps[-1] == len(parent):
            parent.append(value)
        else:
            parent[steps[-1]] = value
    return changed


def nested(levels: int) -> Any:
    """Nested lists."""
    value: Any = 0
    for _ in range(levels):
        value = [value]
    return value


FIRST, SECOND = document()["routes"]

VALID: dict[str, dict[str, Any]] = {
    "as it is": {},
    "later fields": {"later": {"a": [1]}, "routes[0].later": 1, "backends[0].later": [], "limits.later": 0.5},
    "no routes": {"routes": []},
    "no routes and no services": {"routes": [], "backends": []},
    "a service without routes": {"backends[2]": {"name": "idle"}},
    "no limits": {"limits": REMOVED},
    "limits of null": {"limits": None},
    "no engine": {"backends[0].engine": REMOVED},
    "an engine of null": {"backends[0].engine": None},
    "an empty engine": {"backends[0].engine": {}},
    "models by name alone": {"backends[0].engine.models": ["m", "n"]},
    "a route type that is not known": {"routes[0].route_type": "later"},
    "both names of services": {"routes[1].backend": "models"},
    "weighted_backends of null": {"routes[0].weighted_backends": None},
    "backend of null": {"routes[1].backend": None},
    "one weight of 0": {"routes[1].weighted_backends[0].weight": 0},
    "weights with fractions": {"routes[1].weighted_backends[0].weight": 0.5},
    "a name twice": {"routes[1].name": "r-1"},
    "one prefix under two hosts": {"routes[1].path_prefix": "/one/", "routes[1].hostname": "beta.example"},
    "one prefix within another": {"routes[1].path_prefix": "/one/more/"},
    "all of a host": {"routes[0].path_prefix": "/"},
    "a prefix without its last slash": {"routes[0].path_prefix": "/one"},
    "a time with a fraction": {"routes[0].timeout_ms": 2500.5},
    "a whole number with a point": {"routes[0].max_retries": 2.0},
    "no retries": {"routes[0].max_retries": 0},
    "numbers without end": {"limits.max_body_bytes": 2**70, "routes[0].timeout_ms": 10**30},
    "the largest revision": {"revision": 2**64 - 1},
    "nested as deep as allowed": {"later": nested(MAX_NESTING - 1)},
    "tenants with keys of their own": {"tenants": [{"name": "a", "keys": ["k", "k"]}, {"key": "l"}, 7]},
    "tenants of another form": {"tenants": {"a": {"keys": ["k"]}}},
}

INVALID: dict[str, tuple[dict[str, Any], str, str]] = {
    "no revision": ({"revision": REMOVED}, "CONFIG_FIELD", "revision"),
    "revision 0": ({"revision": 0}, "CONFIG_FIELD", "revision"),
    "revision below 0": ({"revision": -1}, "CONFIG_FIELD", "revision"),
    "revision null": ({"revision": None}, "CONFIG_FIELD", "revision"),
    "revision beyond 64 bits": ({"revision": 2**64}, "CONFIG_FIELD", "revision"),
    "no list of routes": ({"routes": REMOVED}, "CONFIG_FIELD", "routes"),
    "routes null": ({"routes": None}, "CONFIG_FIELD", "routes"),
    "routes by name": ({"routes": {"r-1": FIRST}}, "CONFIG_FIELD", "routes"),
    "a route that is no object": ({"routes[0]": "r-1"}, "CONFIG_FIELD", "routes[0]"),
    "no list of services": ({"backends": REMOVED}, "CONFIG_FIELD", "backends"),
    "a service without name": ({"backends[1].name": REMOVED}, "CONFIG_FIELD", "backends[1].name"),
    "no host": ({"routes[0].hostname": REMOVED}, "CONFIG_FIELD", "routes[0].hostname"),
    "no prefix": ({"routes[0].path_prefix": REMOVED}, "CONFIG_FIELD", "routes[0].path_prefix"),
    "a prefix without slash": ({"routes[0].path_prefix": "one/"}, "CONFIG_FIELD", "routes[0].path_prefix"),
    "no service at all": ({"routes[0].backend": REMOVED}, "CONFIG_FIELD", "routes[0].backend"),
    "a weight below 0": (
        {"routes[1].weighted_backends[1].weight": -1},
        "CONFIG_FIELD",
        "routes[1].weighted_backends[1].weight",
    ),
    "a weight missing": (
        {"routes[1].weighted_backends[0].weight": REMOVED},
        "CONFIG_FIELD",
        "routes[1].weighted_backends[0].weight",
    ),
    "an unknown service": ({"routes[0].backend": "other"}, "CONFIG_UNKNOWN_BACKEND", "routes[0]"),
    "an unknown weighted service": (
        {"routes[1].weighted_backends[1].backend": "other"},
        "CONFIG_UNKNOWN_BACKEND",
        "routes[1]",
    ),
    "an unknown service with weight 0": (
        {"routes[1].weighted_backends[1]": {"backend": "other", "weight": 0}},
        "CONFIG_UNKNOWN_BACKEND",
        "routes[1]",
    ),
    "an unknown service beside weighted ones": (
        {"routes[1].backend": "other"},
        "CONFIG_UNKNOWN_BACKEND",
        "routes[1]",
    ),
    "a service removed that routes name": ({"backends[1]": REMOVED}, "CONFIG_UNKNOWN_BACKEND", "routes[1]"),
    "a service twice": ({"backends[2]": {"name": "models"}}, "CONFIG_DUPLICATE_BACKEND", "backends[2].name"),
    "one place twice": ({"routes[1].path_prefix": "/one/"}, "CONFIG_SAME_PLACE", "routes[1].path_prefix"),
    "one place twice, hosts in other letters": (
        {"routes[1].path_prefix": "/one/", "routes[1].hostname": "Alpha.EXAMPLE"},
        "CONFIG_SAME_PLACE",
        "routes[1].path_prefix",
    ),
    "one route twice": ({"routes[2]": FIRST}, "CONFIG_SAME_PLACE", "routes[2].path_prefix"),
    "all weights 0": (
        {"routes[1].weighted_backends[0].weight": 0, "routes[1].weighted_backends[1].weight": 0},
        "CONFIG_NO_WEIGHT",
        "routes[1].weighted_backends",
    ),
    "no weights": ({"routes[1].weighted_backends": []}, "CONFIG_NO_WEIGHT", "routes[1].weighted_backends"),
    "no weights beside a service": (
        {"routes[0].weighted_backends": [{"backend": "models", "weight": 0}]},
        "CONFIG_NO_WEIGHT",
        "routes[0].weighted_backends",
    ),
    "a time-out of 0": ({"routes[1].timeout_ms": 0}, "CONFIG_NO_TIMEOUT", "routes[1].timeout_ms"),
    "no time-out": ({"routes[1].timeout_ms": REMOVED}, "CONFIG_NO_TIMEOUT", "routes[1].timeout_ms"),
    "a time-out of null": ({"routes[1].timeout_ms": None}, "CONFIG_NO_TIMEOUT", "routes[1].timeout_ms"),
    "a time-out below 0": ({"routes[1].timeout_ms": -5}, "CONFIG_FIELD", "routes[1].timeout_ms"),
    "one key of two tenants": (
        {"tenants": [{"keys": ["a", "b"]}, {"keys": ["c", "b"]}]},
        "CONFIG_SHARED_KEY",
        "tenants[1]",
    ),
    "nested too deep": ({"later": nested(MAX_NESTING)}, "CONFIG_UNREADABLE", ""),
    "nested too deep in a route": (
        {"routes[0].later": nested(MAX_NESTING)},
        "CONFIG_UNREADABLE",
        "routes[0]",
    ),
}

NO_DOCUMENTS: dict[bytes, str] = {
    b"": "CONFIG_UNREADABLE",
    b"{": "CONFIG_UNREADABLE",
    b"\xff\xfe": "CONFIG_UNREADABLE",
    body_of(document()) + b"}": "CONFIG_UNREADABLE",
    body_of(document())[:-1]: "CONFIG_UNREADABLE",
    b'{"revision":NaN,"routes":[],"backends":[]}': "CONFIG_UNREADABLE",
    b'{"revision":7,"routes":[],"backends":[],"later":"\xff"}': "CONFIG_UNREADABLE",
    b'{"revision":7,"routes":[],"backends":[],"later":"\\ud800"}': "CONFIG_UNREADABLE",
    b'{"revision":7,"routes":[],"backends":[],"later":1e999}': "CONFIG_FIELD",
    b'{"later":' + b"[" * 100_000: "CONFIG_UNREADABLE",
    b"[]": "CONFIG_FIELD",
    b"7": "CONFIG_FIELD",
    b'"text"': "CONFIG_FIELD",
    b"null": "CONFIG_FIELD",
}

NOT_TEXT: tuple[Any, ...] = (1, 0.5, True, [], {})
NOT_BOOLEAN: tuple[Any, ...] = (0, 1, "true", [], {})
NOT_NUMBER: tuple[Any, ...] = ("1", True, [], {}, -1, -0.5)
NOT_INTEGER: tuple[Any, ...] = (*NOT_NUMBER, 0.5)
NOT_LIST: tuple[Any, ...] = (0, "text", True, {})
NOT_OBJECT: tuple[Any, ...] = (0, "text", True, [])
WRONG_TYPES: dict[str, tuple[Any, ...]] = {
    "revision": (*NOT_INTEGER, None),
    "routes": (*NOT_LIST, None),
    "routes[0]": (*NOT_OBJECT, None),
    "routes[0].name": NOT_TEXT,
    "routes[0].hostname": (*NOT_TEXT, None, ""),
    "routes[0].path_prefix": (*NOT_TEXT, None, ""),
    "routes[0].route_type": NOT_TEXT,
    "routes[0].timeout_ms": NOT_NUMBER,
    "routes[0].target_latency_ms": NOT_NUMBER,
    "routes[0].priority": NOT_INTEGER,
    "routes[0].max_retries": NOT_INTEGER,
    "routes[0].session_affinity": NOT_BOOLEAN,
    "routes[0].resumable": NOT_BOOLEAN,
    "routes[0].gap_aim_ms": NOT_NUMBER,
    "routes[0].backend": (*NOT_TEXT, None, ""),
    "routes[1].weighted_backends": NOT_LIST,
    "routes[1].weighted_backends[0]": (*NOT_OBJECT, None),
    "routes[1].weighted_backends[0].backend": (*NOT_TEXT, None, ""),
    "routes[1].weighted_backends[0].weight": (*NOT_NUMBER, None),
    "backends": (*NOT_LIST, None),
    "backends[0]": (*NOT_OBJECT, None),
    "backends[0].name": (*NOT_TEXT, None, ""),
    "backends[0].health_check": NOT_TEXT,
    "backends[0].max_connections": NOT_INTEGER,
    "backends[0].engine": NOT_OBJECT,
    "backends[0].engine.slots": NOT_INTEGER,
    "backends[0].engine.kv_capacity": NOT_INTEGER,
    "backends[0].engine.kv_token_bytes": NOT_INTEGER,
    "backends[0].engine.link_mbps": NOT_NUMBER,
    "backends[0].engine.stride": NOT_INTEGER,
    "backends[0].engine.handle_ttl_s": NOT_NUMBER,
    "backends[0].engine.switch_s": NOT_NUMBER,
    "backends[0].engine.models": NOT_LIST,
    "backends[0].engine.models[0]": (*NOT_TEXT, None, "", {"name": 1}, {"name": ""}),
    "limits": NOT_OBJECT,
    "limits.max_header_bytes": NOT_INTEGER,
    "limits.max_body_bytes": NOT_INTEGER,
    "limits.header_timeout_ms": NOT_NUMBER,
    "limits.idle_timeout_ms": NOT_NUMBER,
}


class Documents(unittest.TestCase):
    """One test per table."""

    def rejection(self, body: bytes, parser: ConfigurationParser | None = None) -> ConfigurationError:
        """The error with which a body is rejected."""
        with self.assertRaises(ConfigurationError) as caught:
            (parser or ConfigurationParser()).parse(body)
        return caught.exception

    def test_valid(self) -> None:
        for name, edits in VALID.items():
            with self.subTest(name):
                body = body_of(edited(edits))
                result = parse_configuration(body)
                self.assertEqual(json.loads(result.canonical), json.loads(body))
                self.assertEqual(result.digest, digest_of(result.canonical))
                self.assertEqual(len(result.digest), 16)

    def test_invalid(self) -> None:
        used = ConfigurationParser()
        used.parse(body_of(document()))
        for name, (edits, code, where) in INVALID.items():
            body = body_of(edited(edits))
            for parser in (None, used):
                with self.subTest(name, used=parser is not None):
                    error = self.rejection(body, parser)
                    self.assertEqual(error.code, code)
                    self.assertTrue(error.where.startswith(where), f"{error.where}, not {where}")

    def test_no_documents(self) -> None:
        for body, code in NO_DOCUMENTS.items():
            with self.subTest(body[:60]):
                self.assertEqual(self.rejection(body).code, code)

    def test_truncated_anywhere(self) -> None:
        body = body_of(document())
        for length in range(len(body)):
            self.assertEqual(self.rejection(body[:length]).code, "CONFIG_UNREADABLE", f"cut at {length}")

    def test_wrong_types(self) -> None:
        for path, values in WRONG_TYPES.items():
            for value in values:
                with self.subTest(path, value=value):
                    error = self.rejection(body_of(edited({path: value})))
                    self.assertEqual(error.code, "CONFIG_FIELD")
                    self.assertEqual(error.where.removesuffix(".name"), path.removesuffix(".name"))

    def test_null_is_absent(self) -> None:
        for path, values in WRONG_TYPES.items():
            if None in values or path in ("routes[0].timeout_ms", "routes[1].weighted_backends"):
                continue
            with self.subTest(path):
                self.assertEqual(parsed(edited({path: None})), parsed(edited({path: REMOVED})))

    def test_too_large(self) -> None:
        body = body_of({**document(), "later": "x" * MAX_BODY_BYTES})
        error = self.rejection(body)
        self.assertEqual((error.code, error.status), ("CONFIG_TOO_LARGE", 413))
        small = ConfigurationParser(max_bytes=100)
        self.assertEqual(self.rejection(b"x" * 101, small).code, "CONFIG_TOO_LARGE")
        self.assertEqual(self.rejection(b"x" * 100, small).code, "CONFIG_UNREADABLE")

    def test_errors_carry_code_place_and_remedy(self) -> None:
        classes = ConfigurationError.__subclasses__()
        self.assertEqual(len({kind.code for kind in classes}), len(classes))
        for kind in classes:
            with self.subTest(kind.__name__):
                self.assertIn(kind.status, (400, 413, 422))
                error_fields = kind("what", "where").as_dict()
                self.assertEqual((error_fields["code"], error_fields["where"]), (kind.code, "where"))
                self.assertTrue(error_fields["remedy"] and error_fields["step"])
        self.assertIn(errors.DuplicateTenantKeyError, classes)


class Values(unittest.TestCase):
    """The values of the parsed model."""

    def test_fields(self) -> None:
        configuration = parsed(document())
        self.assertEqual(list(configuration.routes), ["alpha.example /one/", "alpha.example /two/"])
        first, second = configuration.routes.values()
        self.assertEqual(first.backends, (WeightedBackend("models", 1),))
        self.assertEqual(second.backends, (WeightedBackend("models", 90), WeightedBackend("records", 10)))
        self.assertEqual((first.route_type, first.timeout_ms, first.gap_aim_ms), ("stream", 2500, 250))
        self.assertTrue(first.session_affinity and second.resumable and not first.resumable)
        engine = Engine(64, 399486, 18432, 550000.0, 11, 4.4, 1.5, ("m",))
        self.assertEqual(configuration.backends["models"].engine, engine)
        self.assertIsNone(configuration.backends["records"].engine)
        self.assertEqual(configuration.limits, ClientLimits(16384, 4194304, 3000, 15000))

    def test_absent_ones_get_defaults(self) -> None:
        route = {"hostname": "A.example", "path_prefix": "/", "timeout_ms": 1, "backend": "b"}
        configuration = parsed({"revision": 1, "routes": [route], "backends": [{"name": "b"}]})
        (read,) = configuration.routes.values()
        self.assertEqual((read.hostname, read.route_type, read.max_retries), ("a.example", "unsafe", 1))
        self.assertEqual(configuration.limits, ClientLimits())

    def test_numbers_are_rounded_and_clamped(self) -> None:
        configuration = parsed(
            edited(
                {
                    "routes[0].timeout_ms": 0.25,
                    "routes[0].gap_aim_ms": 10**30,
                    "limits.max_body_bytes": 2**40,
                    "backends[0].engine.kv_capacity": 2**70,
                }
            )
        )
        route = configuration.routes["alpha.example /one/"]
        self.assertEqual((route.timeout_ms, route.gap_aim_ms), (1, 2**32 - 1))
        self.assertEqual(configuration.limits.max_body_bytes, 2**32 - 1)
        engine = configuration.backends["models"].engine
        assert engine is not None
        self.assertEqual(engine.kv_capacity, 2**64 - 1)

    def test_weights_keep_their_proportions(self) -> None:
        for first, second, expected in (
            (0.75, 0.25, (1_000_000, 333_334)),
            (2**40, 1, (1_000_000, 1)),
            (0.5, 0, (1_000_000, 0)),
            (1e-300, 1e300, (1, 1_000_000)),
        ):
            route = parsed(
                edited(
                    {
                        "routes[1].weighted_backends[0].weight": first,
                        "routes[1].weighted_backends[1].weight": second,
                    }
                )
            ).routes["alpha.example /two/"]
            self.assertEqual(tuple(entry.weight for entry in route.backends), expected)

    def test_a_backend_besides_weighted_ones_gets_weight_0(self) -> None:
        route = parsed(edited({"routes[1].weighted_backends[1]": REMOVED, "routes[1].backend": "records"}))
        entries = route.routes["alpha.example /two/"].backends
        self.assertEqual(entries, (WeightedBackend("models", 90), WeightedBackend("records", 0)))

    def test_one_digest_for_all_orders_and_spaces(self) -> None:
        value = document()
        reordered = {key: value[key] for key in reversed(value)}
        bodies = (body_of(value), json.dumps(value, indent=2).encode(), body_of(reordered))
        self.assertEqual(len({parse_configuration(body).digest for body in bodies}), 1)
        self.assertEqual(len({parse_configuration(body).canonical for body in bodies}), 1)

    def test_another_digest_for_any_change(self) -> None:
        digests = {parse_configuration(body_of(edited(edits))).digest for edits in VALID.values()}
        self.assertEqual(len(digests), len(VALID))

    def test_a_used_parser_parses_like_a_new_one(self) -> None:
        used = ConfigurationParser()
        for edits in VALID.values():
            body = body_of(edited(edits))
            self.assertEqual(used.parse(body), parse_configuration(body))

    def test_a_used_parser_parses_only_what_changed(self) -> None:
        used = ConfigurationParser()
        before = used.parse(body_of(large_document(50))).configuration
        value = large_document(50, revision=8)
        value["routes"][20]["timeout_ms"] += 1
        after = used.parse(body_of(value)).configuration
        reused = [key for key in after.routes if after.routes[key] is before.routes[key]]
        self.assertEqual(len(reused), 49)
        self.assertTrue(all(after.backends[name] is before.backends[name] for name in after.backends))

    def test_a_rejected_document_does_not_change_the_parser(self) -> None:
        used = ConfigurationParser()
        good = used.parse(body_of(document()))
        with self.assertRaises(ConfigurationError):
            used.parse(body_of(edited({"routes[0].timeout_ms": 0})))
        self.assertIs(used.recall(good.digest), good)
        self.assertIs(used.parse(body_of(document())), good)


if __name__ == "__main__":
    unittest.main()
