"""The worked examples of docs/pools: each passes the checks and yields the connections in its table."""

from __future__ import annotations

import pytest
from pool_texts import FLEET
from project_paths import DOCS

from mallowbeam.storage_gateway.coordination.pools.allocation import Allocation
from mallowbeam.storage_gateway.coordination.pools.canonical import canonical
from mallowbeam.storage_gateway.coordination.pools.checks import check
from mallowbeam.storage_gateway.coordination.pools.fleet import Facts
from mallowbeam.storage_gateway.coordination.pools.parser import parse
from mallowbeam.storage_gateway.coordination.pools.rules import PoolsDocument

EXAMPLES = sorted((DOCS / "pools").glob("*.pool"))
ROW_PREFIX = "#= "  # starts a row of the table: facts, node (and gateway), connections by name


def row(pools: PoolsDocument, world: str, place: str) -> str:
    """A row of the table as computed; `world` is `-` or facts and a turn, joined by `+`."""
    facts_and_turn = [] if world == "-" else world.split("+")
    facts = Facts(
        frozenset(w[5:] for w in facts_and_turn if w.startswith("zone=")),
        frozenset(w[8:] for w in facts_and_turn if w.startswith("machine=")),
    )
    allocation = Allocation(
        pools, FLEET, facts, sum(int(w[5:]) for w in facts_and_turn if w.startswith("turn="))
    )
    node, _, gateway = place.partition("/")
    budget = allocation.node_budget(node)
    if budget is None:
        connections = "not bounded"
    elif gateway:
        terms = allocation.tenant_terms(node, gateway)
        connections = ", ".join(
            f"{name} {count} lends {terms[name].loan.percent}%"
            for name, count in allocation.tenant_connections(node, gateway, budget.gateways[gateway]).items()
        )
    else:
        by = sorted(budget.gateways.items())
        connections = f"{budget.total}: " + ", ".join(f"{name} {count}" for name, count in by)
    return f"{ROW_PREFIX}{world} {place} {connections}"


def test_there_are_ten():
    assert len(EXAMPLES) == 10


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_an_example_yields_its_table(path):
    text = path.read_text()
    pools = parse(text)
    check(pools, FLEET)
    assert parse(canonical(pools)) == parse(canonical(parse(canonical(pools))))
    expected = [line for line in text.splitlines() if line.startswith(ROW_PREFIX)]
    assert len(expected) >= 2
    assert expected == [row(pools, *line[len(ROW_PREFIX) :].split()[:2]) for line in expected]
