"""Hypothesis strategies of the pool language, and a small fleet for its tests."""

from __future__ import annotations

import os
from functools import cache

from hypothesis import strategies as st

from mallowbeam.storage_gateway.coordination.pools.expressions import (
    EVERYTHING,
    And,
    Expression,
    InMaintenance,
    KeyIn,
    Not,
    Or,
    ZoneOut,
)
from mallowbeam.storage_gateway.coordination.pools.fleet import Fleet, Gateway, Node, Tenant
from mallowbeam.storage_gateway.coordination.pools.rules import (
    BudgetRule,
    GatewayRule,
    Loan,
    PoolsDocument,
    SharingRule,
    TenantClass,
    TenantRule,
    Terms,
)

# Number of random texts, with ten times as many mutated texts; 0: as in CI.
RANDOM_TEXTS = int(os.environ.get("POOLS_LONG", "0"))
SEED = int(os.environ.get("POOLS_SEED", "33"))
FLEET = Fleet(
    tuple(Gateway(f"g{i}", "abc"[i % 3]) for i in range(5)),
    tuple(Node(f"n{i}", "abc"[i % 3], ("big", "small")[i % 2]) for i in range(6)),
    tuple(Tenant(f"v{i}", ("gold", "basic")[i % 2]) for i in range(4)),
)

NAMES = {
    "nodes": {"name": [n.name for n in FLEET.nodes], "zone": list("abc"), "model": ["big", "small"]},
    "gateways": {"name": [g.name for g in FLEET.gateways], "zone": list("abc")},
    "tenants": {"name": [t.name for t in FLEET.tenants] + ["v ü;9"], "plan": ["gold", "basic"]},
}
FACTS = [ZoneOut("a"), ZoneOut("b"), InMaintenance("n1"), InMaintenance("g2")]


def _nested(leaves: st.SearchStrategy[Expression]) -> st.SearchStrategy[Expression]:
    return st.recursive(
        leaves,
        lambda inner: st.one_of(
            st.builds(Not, inner),
            st.builds(And, st.lists(inner, min_size=2, max_size=3).map(tuple)),
            st.builds(Or, st.lists(inner, min_size=2, max_size=3).map(tuple)),
        ),
        max_leaves=4,
    )


@cache
def subjects(kind: str, classes: tuple[str, ...] = ()) -> st.SearchStrategy[Expression]:
    """Expressions that select nodes, gateways or tenants (`kind`), with these classes."""
    keys = dict(NAMES[kind]) | ({"class": list(classes)} if classes else {})
    leaf = st.sampled_from(sorted(keys)).flatmap(
        lambda key: st.builds(
            KeyIn, st.just(key), st.lists(st.sampled_from(keys[key]), min_size=1, max_size=3).map(tuple)
        )
    )
    return st.just(EVERYTHING) | _nested(leaf)


WHEN = st.just(EVERYTHING) | _nested(st.sampled_from(FACTS))
NUMBER = st.none() | st.integers(0, 40)


def _terms(not_empty: bool) -> st.SearchStrategy[Terms]:
    made = st.builds(Terms, st.none() | st.integers(1, 50), NUMBER, NUMBER)
    return made.filter(lambda terms: terms != Terms()) if not_empty else made


def _loans(classes: tuple[str, ...]) -> st.SearchStrategy[Loan]:
    keep, recall = st.none() | st.integers(0, 9), st.none() | st.integers(1, 9000)
    return st.builds(Loan, st.integers(0, 100), subjects("tenants", classes), keep, recall) | st.builds(
        Loan, st.none(), st.just(EVERYTHING), keep, recall
    )


def _up_to_two(each: st.SearchStrategy[object]) -> st.SearchStrategy[tuple]:
    return st.lists(each, max_size=2).map(tuple)


GATEWAYS, NODES = subjects("gateways"), subjects("nodes")


@cache
def _documents(count: int) -> st.SearchStrategy[PoolsDocument]:
    names = tuple(f"c{i}" for i in range(count))
    return st.builds(
        PoolsDocument,
        st.none() | st.integers(1, 60_000),
        st.tuples(
            *(
                st.builds(TenantClass, st.just(name), subjects("tenants", names[:i]))
                for i, name in enumerate(names)
            )
        ),
        _up_to_two(st.builds(BudgetRule, st.integers(1, 60), NODES, WHEN)),
        _up_to_two(st.builds(GatewayRule, GATEWAYS, NODES, WHEN, _terms(True))),
        _up_to_two(
            st.builds(
                SharingRule,
                GATEWAYS,
                NODES,
                WHEN,
                _terms(False),
                st.none() | st.sampled_from(NAMES["gateways"]["name"]),
            )
        ),
        _up_to_two(
            st.builds(
                TenantRule, subjects("tenants", names), NODES, GATEWAYS, WHEN, _terms(True), _loans(names)
            )
        ),
    )


def documents() -> st.SearchStrategy[PoolsDocument]:
    """Documents that follow the grammar; the checks may reject them."""
    return st.integers(0, 3).flatmap(_documents)
