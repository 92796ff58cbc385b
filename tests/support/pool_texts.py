"""Hypothesis strategies of the pool language, and a small fleet for its tests."""

from __future__ import annotations

import os
from functools import cache

from hypothesis import strategies as st

from mallowbeam.storage_gateway.coordination.pools import model as m

LONG = int(os.environ.get("POOLS_LONG", "0"))  # so many random texts, ten times the mutations; 0: as in CI
SEED = int(os.environ.get("POOLS_SEED", "33"))
FLEET = m.Fleet(
    tuple(m.Gateway(f"g{i}", "abc"[i % 3]) for i in range(5)),
    tuple(m.Node(f"n{i}", "abc"[i % 3], ("big", "small")[i % 2]) for i in range(6)),
    tuple(m.Tenant(f"v{i}", ("gold", "basic")[i % 2]) for i in range(4)),
)

SOME = {
    "nodes": {"name": [n.name for n in FLEET.nodes], "zone": list("abc"), "model": ["big", "small"]},
    "gateways": {"name": [g.name for g in FLEET.gateways], "zone": list("abc")},
    "tenants": {"name": [t.name for t in FLEET.tenants] + ["v ü;9"], "plan": ["gold", "basic"]},
}
FACTS = [m.ZoneOut("a"), m.ZoneOut("b"), m.InMaintenance("n1"), m.InMaintenance("g2")]


def _grow(leaves: st.SearchStrategy[m.Expr]) -> st.SearchStrategy[m.Expr]:
    return st.recursive(
        leaves,
        lambda inner: st.one_of(
            st.builds(m.Not, inner),
            st.builds(m.And, st.lists(inner, min_size=2, max_size=3).map(tuple)),
            st.builds(m.Or, st.lists(inner, min_size=2, max_size=3).map(tuple)),
        ),
        max_leaves=4,
    )


@cache
def chosen(sort: str, classes: tuple[str, ...] = ()) -> st.SearchStrategy[m.Expr]:
    """Which nodes, gateways or tenants."""
    keys = dict(SOME[sort]) | ({"class": list(classes)} if classes else {})
    leaf = st.sampled_from(sorted(keys)).flatmap(
        lambda key: st.builds(
            m.Is, st.just(key), st.lists(st.sampled_from(keys[key]), min_size=1, max_size=3).map(tuple)
        )
    )
    return st.just(m.EVERY) | _grow(leaf)


WHEN = st.just(m.EVERY) | _grow(st.sampled_from(FACTS))
NUMBER = st.none() | st.integers(0, 40)


def _terms(least: bool) -> st.SearchStrategy[m.Terms]:
    made = st.builds(m.Terms, st.none() | st.integers(1, 50), NUMBER, NUMBER)
    return made.filter(lambda terms: terms != m.Terms()) if least else made


def _loans(classes: tuple[str, ...]) -> st.SearchStrategy[m.Loan]:
    keep, recall = st.none() | st.integers(0, 9), st.none() | st.integers(1, 9000)
    return st.builds(m.Loan, st.integers(0, 100), chosen("tenants", classes), keep, recall) | st.builds(
        m.Loan, st.none(), st.just(m.EVERY), keep, recall
    )


def _some(each: st.SearchStrategy[object]) -> st.SearchStrategy[tuple]:
    return st.lists(each, max_size=2).map(tuple)


EDGES, NODES = chosen("gateways"), chosen("nodes")


@cache
def _pools(count: int) -> st.SearchStrategy[m.Pools]:
    names = tuple(f"c{i}" for i in range(count))
    return st.builds(
        m.Pools,
        st.none() | st.integers(1, 60_000),
        st.tuples(
            *(st.builds(m.Class, st.just(name), chosen("tenants", names[:i])) for i, name in enumerate(names))
        ),
        _some(st.builds(m.Budget, st.integers(1, 60), NODES, WHEN)),
        _some(st.builds(m.Gateways, EDGES, NODES, WHEN, _terms(True))),
        _some(
            st.builds(
                m.Share,
                EDGES,
                NODES,
                WHEN,
                _terms(False),
                st.none() | st.sampled_from(SOME["gateways"]["name"]),
            )
        ),
        _some(
            st.builds(m.Tenants, chosen("tenants", names), NODES, EDGES, WHEN, _terms(True), _loans(names))
        ),
    )


def pools() -> st.SearchStrategy[m.Pools]:
    """Any text's meaning: it follows the grammar, and may well be refused by the checks."""
    return st.integers(0, 3).flatmap(_pools)
