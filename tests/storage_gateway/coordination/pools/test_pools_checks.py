"""Each check of a pushed document, with a text that fails it and one that passes."""

from __future__ import annotations

import pytest
from pool_texts import FLEET

from mallowbeam.storage_gateway.coordination.pools import checks
from mallowbeam.storage_gateway.coordination.pools.checks import check, find_errors
from mallowbeam.storage_gateway.coordination.pools.errors import (
    PoolBoundError,
    PoolNameError,
    PoolOvercommittedError,
    PoolTermsError,
    PoolTooFewError,
    PoolUnreachableError,
)
from mallowbeam.storage_gateway.coordination.pools.fleet import Fleet
from mallowbeam.storage_gateway.coordination.pools.parser import parse

CASES = [  # error class, part of its text, a text that fails, a text that passes
    (
        PoolNameError,
        'no node is named "n9"',
        'budget 9 for nodes name "n9";',
        'budget 9 for nodes name "n5";',
    ),
    (
        PoolNameError,
        'did you mean "big"',
        'budget 9 for nodes model "bigg";',
        'budget 9 for nodes model "big";',
    ),
    (
        PoolNameError,
        'no gateway is named "x"',
        'gateways not name "x": weight 2;',
        'gateways not name "g1": weight 2;',
    ),
    (
        PoolNameError,
        'no plan is named "tin"',
        'tenants plan "tin": weight 2;',
        'tenants plan "gold": weight 2;',
    ),
    (
        PoolNameError,
        'no tenant is named "w"',
        'tenants all: lend 5% to name "w";',
        'tenants all: lend 5% to name "v1";',
    ),
    (
        PoolNameError,
        "define the class above",
        'class "z" is all; class "a" is class "b"; class "b" is all; tenants class "a": weight 2;',
        'class "b" is all; class "a" is class "b"; tenants class "a": weight 2;',
    ),
    (PoolNameError, 'no class is named "a"', 'class "a" is class "a";', 'class "a" is all;'),
    (
        PoolNameError,
        'no zone is named "z"',
        'budget 9 for nodes all when zone "z" is out;',
        'budget 9 for nodes all when zone "c" is out;',
    ),
    (
        PoolNameError,
        'no machine is named "m"',
        'budget 9 for nodes all when machine "m" is in maintenance;',
        'budget 9 for nodes all when machine "g1" is in maintenance;',
    ),
    (
        PoolNameError,
        '"g4" is none of the gateways',
        'share gateways name "g0", "g1": through "g4";',
        'share gateways name "g0", "g1": through "g1";',
    ),
    (PoolTermsError, "a weight of 0", "gateways all: weight 0;", "gateways all: weight 1;"),
    (PoolTermsError, "below the floor", "tenants all: floor 1 ceiling 0;", "tenants all: ceiling 0;"),
    (PoolTermsError, "a floor of 0", "gateways all: floor 0;", 'gateways name "g1": ceiling 0;'),
    (
        PoolTermsError,
        "share nothing",
        "share gateways all: in turns ceiling 0;",
        "share gateways all: in turns;",
    ),
    (
        PoolTooFewError,
        "4 connections for 5 gateways",
        "budget 4 for nodes all;",
        'budget 4 for nodes all; share gateways name "g3", "g4": in turns;',
    ),
    (
        PoolTooFewError,
        "4 connections for 5 gateways",
        "budget 4 for nodes all;",
        'budget 4 for nodes all; gateways name "g3": ceiling 0;',
    ),
    (
        PoolTooFewError,
        'when zone "a" is out',
        'budget 9 for nodes all when not zone "a" is out; budget 3 for nodes all;',
        'budget 9 for nodes all when not zone "a" is out; budget 3 for nodes all;'
        'share gateways zone "a", "b" when zone "a" is out: in turns;',
    ),
    (
        PoolOvercommittedError,
        "floors of 10 connections in a budget of 9",
        "budget 9 for nodes all; gateways all: floor 2;",
        "budget 10 for nodes all; gateways all: floor 2;",
    ),
    (
        PoolOvercommittedError,
        'node "n0" when zone "b" is out',
        'budget 9 for nodes all; gateways all at nodes zone "a" when zone "b" is out: floor 2;',
        'budget 9 for nodes zone "b", "c"; gateways all at nodes zone "a" when zone "b" is out: floor 2;',
    ),
    (
        PoolOvercommittedError,
        "floors of tenants add up to 4",
        "budget 9 for nodes all; tenants all: floor 1;",
        "budget 20 for nodes all; gateways all: floor 4; tenants all: floor 1;",
    ),
    (
        PoolOvercommittedError,
        "floors of tenants add up to 4",
        "budget 9 for nodes all; tenants all: floor 1;",
        'budget 9 for nodes zone "b", "c"; tenants all at nodes zone "a": floor 1;',
    ),
    (
        PoolOvercommittedError,
        "where the gateway is sure of 0",
        'budget 9 for nodes all; share gateways name "g1", "g2": in turns floor 2; '
        'tenants name "v1": floor 1;',
        'budget 9 for nodes all; share gateways name "g1", "g2": in turns floor 2;'
        'tenants name "v1" at gateways not name "g1", "g2": floor 1;',
    ),
    (
        PoolUnreachableError,
        "condition can never hold",
        'budget 9 for nodes all when zone "a" is out and not zone "a" is out;',
        'budget 9 for nodes all when zone "a" is out and not zone "b" is out;',
    ),
    (
        PoolUnreachableError,
        "about nothing in this fleet",
        'budget 9 for nodes zone "a" and zone "b";',
        'budget 9 for nodes zone "a" and model "big";',
    ),
    (
        PoolUnreachableError,
        "as the one on line 2",
        'budget 9 for nodes all;\nbudget 8 for nodes zone "a";',
        'budget 8 for nodes zone "a";\nbudget 9 for nodes all;',
    ),
    (
        PoolUnreachableError,
        "as the one on line 2",
        'gateways all when zone "a" is out: weight 2;\ngateways all when not zone "a" is out: weight 3;\n'
        'gateways zone "a": weight 4;',
        'gateways all when zone "a" is out: weight 2;\ngateways all when zone "b" is out: weight 3;\n'
        'gateways zone "a": weight 4;',
    ),
    (
        PoolUnreachableError,
        "as the one on line 2",
        'tenants plan "gold", "basic": weight 2;\ntenants name "v1": weight 3;',
        'tenants plan "gold": weight 2;\ntenants name "v1": weight 3;',
    ),
    (
        PoolUnreachableError,
        "as the one on line 2",
        'share gateways zone "a": in turns;\nshare gateways name "g0": in turns;',
        'share gateways zone "a": in turns;\nshare gateways name "g1": in turns;',
    ),
]


@pytest.mark.parametrize("kind, message, invalid, valid", CASES, ids=range(len(CASES)))
def test_each_check_refuses_and_lets_through(kind, message, invalid, valid):
    found = list(find_errors(parse("pools 1;\n" + invalid), FLEET))
    assert [type(error) for error in found] == [kind], [error.line for error in found]
    assert message in found[0].line and found[0].position.line >= 2 and found[0].position.text
    check(parse("pools 1;\n" + valid), FLEET)


@pytest.mark.parametrize(
    "max_gateways, budget, fits", [(5, 5, True), (6, 5, False), (6, 6, True), (3, 3, True), (4, 3, False)]
)
def test_floors_hold_at_any_allowed_size_of_the_fleet(max_gateways, budget, fits):
    """Guards a fleet that may grow (gateways not named yet) or is never complete."""
    fleet = Fleet(FLEET.gateways, FLEET.nodes, FLEET.tenants, max_gateways=max_gateways)
    found = list(find_errors(parse(f"pools 1; budget {budget} for nodes all;"), fleet))
    assert (not found) is fits and all(isinstance(error, PoolTooFewError) for error in found)


def test_a_gateway_not_named_yet_counts_with_the_worst_floor_of_a_zone():
    fleet = Fleet(FLEET.gateways, FLEET.nodes, FLEET.tenants, max_gateways=6)
    text = 'pools 1; budget {} for nodes all; gateways zone "c": floor 3;'
    assert isinstance(next(find_errors(parse(text.format(9)), fleet)), PoolOvercommittedError)
    assert not list(find_errors(parse(text.format(10)), fleet))


def test_the_number_of_cases_is_bounded(monkeypatch):
    """Guards the duration of a push: at most `MAX_CASES` combinations are checked."""
    monkeypatch.setattr(checks, "MAX_CASES", 3)
    text = 'pools 1; budget 9 for nodes zone "a"; gateways zone "a": weight 2; tenants plan "gold": weight 2;'
    assert isinstance(next(find_errors(parse(text), FLEET)), PoolBoundError)


def test_all_errors_are_reported_together():
    found = list(
        find_errors(parse('pools 1; budget 9 for nodes name "n8", "n9"; gateways all: weight 0;'), FLEET)
    )
    assert [type(error) for error in found] == [PoolNameError, PoolNameError, PoolTermsError]
    with pytest.raises(PoolNameError):
        check(parse('pools 1; budget 9 for nodes name "n8";'), FLEET)
