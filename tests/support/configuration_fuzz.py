"""Fuzzes configuration documents: ``PYTHONPATH=. python tests/support/configuration_fuzz.py SEED COUNT``.

Each damaged body must be rejected with a `ConfigurationError`, or be accepted without data loss: as JSON in
the canonical document, and as values in the message to gateways.
"""

from __future__ import annotations

import copy
import json
import random
import sys
from collections import Counter
from collections.abc import Callable
from typing import Any

from configuration_documents import body_of, document

from mallowbeam.router.configuration.errors import ConfigurationError
from mallowbeam.router.configuration.parsing import ConfigurationParser, parse_configuration
from mallowbeam.router.configuration.updates import apply_update, full_update
from mallowbeam.router.rpc.messages_pb2 import ConfigurationUpdate

MAX_BODY_BYTES = 100_000
REPLACEMENT_VALUES: tuple[Any, ...] = (
    None,
    True,
    False,
    0,
    1,
    -1,
    2**31,
    2**32,
    2**64,
    2**64 - 1,
    10**30,
    10**400,
    -(10**400),
    0.0,
    0.5,
    -0.5,
    1e16,
    1e308,
    1e-308,
    "",
    "0",
    "7",
    "models",
    "ALPHA.example",
    "/",
    "/one/",
    "\ud800",
    "\x00",
    "é",
    "x" * 200_000,
    "12" * 40_000,
    [],
    [[]],
    [None],
    [0],
    ["m"],
    {},
    {"name": None},
    {"backend": "models"},
    {"weight": 0},
    [{"backend": "models", "weight": 0}],
    [{"backend": "models", "weight": 0.5}],
)
REPLACEMENT_TEXTS = (
    b"NaN",
    b"Infinity",
    b"-Infinity",
    b"1e999",
    b"1" * 5000,
    b'{"a":1,"a":2}',
    b"[" * 500 + b"]" * 500,
    b"",
    b"[" * 100_000,
    b'{"a":' * 2000,
    b"\xff",
    b"\x00",
    b'"\\ud800"',
    b"//",
    b"tru",
    b"'x'",
)


def paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """The paths of all values inside a document, without the empty path of the document itself."""
    found: list[tuple[Any, ...]] = []
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, child in items:
        found.append((*path, key))
        found += paths(child, (*path, key))
    return found


def parent_of(value: Any, path: tuple[Any, ...]) -> Any:
    """The object or list that contains the value at a path."""
    for key in path[:-1]:
        value = value[key]
    return value


def replace(rng: random.Random, value: Any) -> bytes:
    """Replace a value at a random path."""
    path = rng.choice(paths(value))
    parent_of(value, path)[path[-1]] = copy.deepcopy(rng.choice(REPLACEMENT_VALUES))
    return body_of(value)


def remove(rng: random.Random, value: Any) -> bytes:
    """Remove the value at a random path."""
    path = rng.choice(paths(value))
    del parent_of(value, path)[path[-1]]
    return body_of(value)


def add(rng: random.Random, value: Any) -> bytes:
    """Copy a value to another path, where it may replace the present one."""
    first, second = rng.choice(paths(value)), rng.choice(paths(value))
    copied = json.loads(json.dumps(parent_of(value, second)[second[-1]]))
    container = parent_of(value, first)
    if isinstance(container, list):
        container.insert(rng.randrange(len(container) + 1), copied)
    else:
        container[str(second[-1])] = copied
    return body_of(value)


def truncate(rng: random.Random, value: Any) -> bytes:
    """A truncated body."""
    body = body_of(value)
    return body[: rng.randrange(len(body))]


def corrupt_bytes(rng: random.Random, value: Any) -> bytes:
    """Replace up to four bytes."""
    body = bytearray(body_of(value))
    for _ in range(rng.randint(1, 4)):
        body[rng.randrange(len(body))] = rng.randrange(256)
    return bytes(body)


def splice(rng: random.Random, value: Any) -> bytes:
    """Replace a value by text that is invalid JSON or hard to parse."""
    path = rng.choice(paths(value))
    parent_of(value, path)[path[-1]] = "@@"
    return body_of(value).replace(b'"@@"', rng.choice(REPLACEMENT_TEXTS))


MUTATIONS: tuple[Callable[[random.Random, Any], bytes], ...] = (
    replace,
    remove,
    add,
    truncate,
    corrupt_bytes,
    splice,
)


def damaged_body(rng: random.Random) -> bytes:
    """One damaged body; some are damaged twice."""
    value = document(rng.randint(1, 9))
    if rng.random() < 0.3:
        replace(rng, value)
    return rng.choice(MUTATIONS)(rng, value)


def outcome(body: bytes, parser: ConfigurationParser) -> str:
    """The code of the rejection, or `accepted`; raises any other error, and if data is lost."""
    try:
        result = parser.parse(body)
    except ConfigurationError as error:
        expected = outcome_of_new_parser(body)
        if expected != error.code:
            raise AssertionError(f"{error.code} from a used parser, {expected} from a new one") from None
        return error.code
    if comparable(result.canonical) != comparable(body):
        raise AssertionError("the canonical document differs from the body")
    if parse_configuration(result.canonical, MAX_BODY_BYTES) != result:
        raise AssertionError("the canonical document is parsed differently from the body")
    update = ConfigurationUpdate.FromString(full_update(result.configuration).SerializeToString())
    if apply_update(None, update) != result.configuration:
        raise AssertionError("the message to gateways loses data")
    return "accepted"


def comparable(text: bytes) -> str:
    """JSON in a normal form in which 1, 1.0 and true differ."""
    return json.dumps(json.loads(text), sort_keys=True)


def outcome_of_new_parser(body: bytes) -> str:
    """The outcome from a new parser, which has an empty cache."""
    try:
        parse_configuration(body, MAX_BODY_BYTES)
    except ConfigurationError as error:
        return error.code
    return "accepted"


def run(seed: int, count: int) -> Counter[str]:
    """Damage and parse `count` bodies; returns outcomes by code. Other errors are raised with their seed."""
    parser = ConfigurationParser(MAX_BODY_BYTES)
    outcomes: Counter[str] = Counter()
    for number in range(count):
        body = damaged_body(random.Random(f"{seed}:{number}"))
        try:
            outcomes[outcome(body, parser)] += 1
        except Exception as error:
            raise AssertionError(f"seed {seed}:{number}, body {body[:2000]!r}") from error
    return outcomes


if __name__ == "__main__":
    for code, seen in run(int(sys.argv[1]), int(sys.argv[2])).most_common():
        print(f"{seen:8} {code}")
