"""Measures parsing, diffs and updates: ``PYTHONPATH=. python tests/support/configuration_costs.py``."""

from __future__ import annotations

import time
from collections.abc import Callable
from statistics import median

from configuration_documents import body_of, large_document

from mallowbeam.router.configuration.model import Configuration
from mallowbeam.router.configuration.parsing import ConfigurationParser, parse_configuration
from mallowbeam.router.configuration.updates import apply_update, full_update, incremental_update
from mallowbeam.router.configuration.versions import ConfigurationVersions, put_command
from mallowbeam.router.rpc.messages_pb2 import ConfigurationUpdate

SIZES = (100, 1_000, 4_000)
REPEATS = 7


def milliseconds(function: Callable[[], object]) -> float:
    """Return the median duration of a call, in milliseconds."""
    times = []
    for _ in range(REPEATS):
        start = time.perf_counter()
        function()
        times.append(time.perf_counter() - start)
    return median(times) * 1000


def measure(routes: int) -> dict[str, float]:
    """Return times (ms) and sizes (KB) for documents of `routes` routes that differ in one route."""
    old_body = body_of(large_document(routes))
    document = large_document(routes, revision=8)
    document["routes"][routes // 2]["timeout_ms"] += 1
    body = body_of(document)
    document["routes"][routes // 2]["timeout_ms"] += 1
    next_body = body_of(document)
    parser = ConfigurationParser()
    old = parser.parse(old_body)
    new = parser.parse(body)
    bodies = [next_body, body]

    def parse_alternately() -> None:
        bodies.reverse()
        parser.parse(bodies[0])

    incremental = incremental_update(old.configuration, new.configuration)
    full = full_update(new.configuration)
    full_bytes = full.SerializeToString()
    command = put_command(new, 0)
    return {
        "body KB": len(body) / 1000,
        "parse first": milliseconds(lambda: parse_configuration(body)),
        "parse one changed": milliseconds(parse_alternately),
        "command": milliseconds(lambda: put_command(new, 7)),
        "command KB": command.ByteSize() / 1000,
        "apply command": milliseconds(lambda: ConfigurationVersions().apply(command)),
        "incremental": milliseconds(lambda: incremental_update(old.configuration, new.configuration)),
        "incremental KB": incremental.ByteSize() / 1000,
        "apply incremental": milliseconds(lambda: apply_update(old.configuration, incremental)),
        "full": milliseconds(lambda: full_update(new.configuration).SerializeToString()),
        "full KB": len(full_bytes) / 1000,
        "apply full": milliseconds(lambda: apply_bytes(full_bytes)),
    }


def apply_bytes(data: bytes) -> Configuration:
    """Parse and apply a full update, as a gateway does."""
    return apply_update(None, ConfigurationUpdate.FromString(data))


def main() -> None:
    """Print the table, and the slope between the last two sizes."""
    columns = [measure(size) for size in SIZES]
    print(f"{'routes':20}" + "".join(f"{size:>10}" for size in SIZES) + f"{'per 1000':>12}")
    for name in columns[0]:
        values = [column[name] for column in columns]
        slope = (values[-1] - values[-2]) / (SIZES[-1] - SIZES[-2]) * 1000
        print(f"{name:20}" + "".join(f"{value:10.3f}" for value in values) + f"{slope:12.3f}")


if __name__ == "__main__":
    main()
