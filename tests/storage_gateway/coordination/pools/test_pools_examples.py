"""The worked examples of docs/pools: each passes the checks and deals out what its table says."""

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
MARK = "#= "  # a line of the table: the world, the node (and gateway), who has how many


def row(pools: PoolsDocument, world: str, place: str) -> str:
    """A line of the table as the program has it; a world is `-` or facts and a turn, joined by `+`."""
    words = [] if world == "-" else world.split("+")
    facts = Facts(
        frozenset(w[5:] for w in words if w.startswith("zone=")),
        frozenset(w[8:] for w in words if w.startswith("machine=")),
    )
    allocation = Allocation(pools, FLEET, facts, sum(int(w[5:]) for w in words if w.startswith("turn=")))
    node, _, gateway = place.partition("/")
    budget = allocation.node_budget(node)
    if budget is None:
        held = "not bounded"
    elif gateway:
        terms = allocation.tenant_terms(node, gateway)
        held = ", ".join(
            f"{name} {count} lends {terms[name].loan.percent}%"
            for name, count in allocation.tenant_connections(node, gateway, budget.gateways[gateway]).items()
        )
    else:
        by = sorted(budget.gateways.items())
        held = f"{budget.total}: " + ", ".join(f"{name} {count}" for name, count in by)
    return f"{MARK}{world} {place} {held}"


def test_there_are_ten():
    assert len(EXAMPLES) == 10


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_an_example_deals_out_what_it_says(path):
    text = path.read_text()
    pools = parse(text)
    check(pools, FLEET)
    assert parse(canonical(pools)) == parse(canonical(parse(canonical(pools))))
    told = [line for line in text.splitlines() if line.startswith(MARK)]
    assert len(told) >= 2
    assert told == [row(pools, *line[len(MARK) :].split()[:2]) for line in told]
