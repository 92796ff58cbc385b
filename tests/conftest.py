"""Options and fixtures of the whole suite."""

from __future__ import annotations

import os
from collections.abc import Iterator

import known_red
import pytest
from hypothesis import settings as hypothesis_settings

from mallowbeam.standins.node import ObjectNode

hypothesis_settings.register_profile("ci", derandomize=True, max_examples=60, deadline=None)
hypothesis_settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option for the tests listed in `KNOWN-RED.txt`; `.ci/run` runs them separately."""
    parser.addoption(
        "--known-red",
        choices=("run", "leave-out", "only"),
        default="run",
        help="tests listed in KNOWN-RED.txt: run them like all others, leave them out, or run only them",
    )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the listed tests (`leave-out`) or all others (`only`)."""
    choice = config.getoption("--known-red")
    if choice == "run":
        return
    try:
        listed = known_red.listed_tests(known_red.read(), (item.nodeid for item in items))
    except ValueError as error:
        raise pytest.UsageError(f"{known_red.LIST.name}: {error}") from None
    kept = [item for item in items if (item.nodeid in listed) is (choice == "only")]
    config.hook.pytest_deselected(items=[item for item in items if item not in kept])
    items[:] = kept


@pytest.fixture
def nodes() -> Iterator[list[ObjectNode]]:
    """Two stand-in storage nodes."""
    servers = [ObjectNode() for _ in range(2)]
    yield servers
    for server in servers:
        server.close()
