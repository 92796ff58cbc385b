"""The pool language: parsed rules, errors and their positions, the canonical text, mutated texts."""

from __future__ import annotations

import random
import time
import tracemalloc

import pytest
from hypothesis import HealthCheck, Phase, example, given, settings
from hypothesis import strategies as st
from pool_texts import FACTS, FLEET, RANDOM_TEXTS, SEED, documents

from mallowbeam.storage_gateway.coordination.pools.allocation import (
    Allocation,
    connection_table,
    gateway_connections,
)
from mallowbeam.storage_gateway.coordination.pools.canonical import canonical, digest, show
from mallowbeam.storage_gateway.coordination.pools.checks import find_errors
from mallowbeam.storage_gateway.coordination.pools.errors import (
    PoolBoundError,
    PoolError,
    PoolNameError,
    PoolSyntaxError,
)
from mallowbeam.storage_gateway.coordination.pools.expressions import (
    EVERYTHING,
    And,
    InMaintenance,
    KeyIn,
    Not,
    Or,
    SourcePosition,
    ZoneOut,
)
from mallowbeam.storage_gateway.coordination.pools.fleet import Facts
from mallowbeam.storage_gateway.coordination.pools.parser import parse
from mallowbeam.storage_gateway.coordination.pools.rules import Loan, Terms

TEXT = """\
pools 1;                                        # a comment
recall 1s;
class "batch" is plan "basic" or name "v0";
class "rest" is not class "batch";
budget 30 for nodes zone "a" and (model "big" or not name "n1", "n2") when not zone "b" is out;
budget 20 for nodes all;
gateways zone "a" at nodes zone "a": weight 3 floor 2 ceiling 12;
share gateways name "g3", "g4" at nodes not zone "a" when machine "n1" is in maintenance: in turns weight 2;
share gateways name "g3", "g4" at nodes zone "c": through "g4";
tenants class "batch" at gateways zone "a", "b": ceiling 4 lend 50% to class "rest" keep 1 recall 500ms;
tenants all: weight 2;
"""

# The canonical text changes the order of these two groups, which must not change their connections.
SWAPPED = parse(
    'pools 1; budget 57 for nodes all; share gateways name "g1": in turns ceiling 9;'
    'share gateways name "g0": in turns ceiling 9; gateways all: ceiling 13;'
)


def facts_of(draw_from: int) -> Facts:
    """One of the sixteen combinations of the tests' facts."""
    held = [fact for i, fact in enumerate(FACTS) if draw_from >> i & 1]
    return Facts(
        frozenset(f.zone for f in held if isinstance(f, ZoneOut)),
        frozenset(f.machine for f in held if isinstance(f, InMaintenance)),
    )


def test_a_complete_text_is_parsed_into_its_rules():
    document = parse(TEXT)
    assert document.recall_ms == 1000 and [c.name for c in document.classes] == ["batch", "rest"]
    assert document.budgets[0].nodes == And(
        (KeyIn("zone", ("a",)), Or((KeyIn("model", ("big",)), Not(KeyIn("name", ("n1", "n2"))))))
    )
    assert document.budgets[0].when == Not(ZoneOut("b")) and document.budgets[1].when == EVERYTHING
    assert document.gateways[0].terms == Terms(3, 2, 12)
    assert [share.through for share in document.sharing] == [None, "g4"]
    assert document.tenants[0].loan == Loan(50, KeyIn("class", ("rest",)), 1, 500)
    assert document.budgets[1].position == SourcePosition(6, 1, "budget 20 for nodes all;")
    assert not list(find_errors(document, FLEET))


@settings(
    max_examples=RANDOM_TEXTS or 250,
    derandomize=not RANDOM_TEXTS,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.explicit, Phase.generate),
)  # no shrinking, as examples of this size shrink for minutes
@example(SWAPPED, 1, 0)
@given(documents(), st.integers(0, 15), st.integers(0, 1 << 30))
def test_random_texts_come_back_and_mean_what_their_canonical_text_means(made, world, seed):
    """One value: shown and read it is the same; its canonical text is stable and deals out the same."""
    assert parse(show(made)) == made
    text = canonical(made)
    assert canonical(parse(text)) == text
    facts = facts_of(world)
    assert connection_table(Allocation(parse(text), FLEET, facts)) == connection_table(
        Allocation(made, FLEET, facts)
    )
    for error in find_errors(made, FLEET):  # the checks terminate and yield only our errors
        assert isinstance(error, PoolError) and error.remedy_text
    # the order between rules of different kinds does not change the document
    chance = random.Random(seed)
    head, *rules = show(made).splitlines()
    kinds = [
        [line for line in rules if line.split()[0] == kind]
        for kind in ("recall", "class", "budget", "gateways", "share", "tenants")
    ]
    mixed = []
    while any(kinds):
        mixed.append(chance.choice([kind for kind in kinds if kind]).pop(0))
    assert parse("\n".join([head, *mixed])) == made


@settings(
    max_examples=RANDOM_TEXTS or 60, derandomize=not RANDOM_TEXTS, phases=(Phase.explicit, Phase.generate)
)
@given(documents(), st.integers(0, 15))
def test_texts_that_pass_the_checks_deal_out_every_budget_whole(made, world):
    """Guards `check`: what it lets through leaves no gateway without its floor, and loses no connection."""
    if any(find_errors(made, FLEET)):
        return
    allocation = Allocation(made, FLEET, facts_of(world))
    for node, held in gateway_connections(allocation).items():
        claimants, groups = allocation.gateway_claimants(node)
        budget = allocation.budget(node)
        assert sum(each.floor for each in claimants) <= budget
        most = sum(budget if each.ceiling is None else each.ceiling for each in claimants)
        assert sum(held.values()) == min(budget, most)
        members = {name for group in groups.values() for name in group.members}
        assert all(held[each.name] >= each.floor for each in claimants if each.name not in groups)
        assert members <= set(held)


# --- the canonical text ---------------------------------------------------------------------------


def test_words_that_mean_the_same_have_one_digest():
    one = parse(
        'pools 1; budget 9 for nodes zone "a", "b"; budget 8 for nodes zone "c";' "gateways all: weight 2;"
    )
    for text in (
        'pools 1; gateways all: floor 1 weight 2; budget 8 for nodes zone "c";'
        'budget 9 for nodes zone "b", "a", "b";',
        'pools 01;recall 2s; budget 9 for nodes (zone "a", "b"); gateways all: weight 2;'
        'budget 8 for nodes not not zone "c";',
    ):
        assert digest(parse(text)) == digest(one), text


def test_operands_in_any_order_have_one_digest():
    texts = (
        'zone "a" and not name "n1" and model "big"',
        'model "big" and zone "a" and not name "n1"',
        '(not name "n1" and model "big") and zone "a" and model "big"',
    )
    assert len({digest(parse(f"pools 1; budget 9 for nodes {text};")) for text in texts}) == 1


def test_an_order_that_matters_is_kept():
    """Guards the first-match rule: rules that may both match keep their order."""
    one = parse('pools 1; budget 9 for nodes zone "a"; budget 8 for nodes model "big";')
    other = parse('pools 1; budget 8 for nodes model "big"; budget 9 for nodes zone "a";')
    assert digest(one) != digest(other)
    assert connection_table(Allocation(one, FLEET)) != connection_table(Allocation(other, FLEET))


# --- errors ---------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "text, kind, line, column, excerpt, remedy",
    [
        ("", PoolSyntaxError, 1, 1, "", "put `pools` there"),
        ("pools 2;", PoolSyntaxError, 1, 7, "2;", "bring the gateways up to date"),
        ("pools 1;\nbudget 7 nodes all;", PoolSyntaxError, 2, 10, "nodes all;", "put `for` there"),
        ("pools 1;\nbudget 7 for nodes all", PoolSyntaxError, 2, 23, "", "`;`"),
        ("pools 1;\n  budget @", PoolSyntaxError, 2, 10, "@", "put a number there"),
        (
            'pools 1; budget 7 for nodes class "x";',
            PoolSyntaxError,
            1,
            29,
            'class "x";',
            "choose them by name, zone",
        ),
        (
            'pools 1; gateways all when name "a" is out: floor 1;',
            PoolSyntaxError,
            1,
            28,
            "name",
            'zone "a" is out',
        ),
        ("pools 1; share gateways all: floor 1;", PoolSyntaxError, 1, 10, "share", "in turns"),
        ("pools 1; share gateways all: in turns in turns;", PoolNameError, 1, 39, "in turns;", "keep one"),
        ("pools 1; gateways all: floor 1 floor 2;", PoolNameError, 1, 32, "floor 2;", "keep one"),
        ("pools 1; recall 1s; recall 2s;", PoolNameError, 1, 21, "recall 2s;", "keep one"),
        ('pools 1; class "a" is all; class "a" is all;', PoolNameError, 1, 34, '"a" is', "keep one"),
        ("pools 1; budget 0 for nodes all;", PoolBoundError, 1, 17, "0 for", "from 1 to 65535"),
        ("pools 1; budget 65536 for nodes all;", PoolBoundError, 1, 17, "65536", "from 1 to 65535"),
        ("pools 1; gateways all: weight 10001;", PoolBoundError, 1, 31, "10001", "from 0 to 10000"),
        ("pools 1; tenants all: lend 101%;", PoolBoundError, 1, 28, "101%", "from 0 to 100"),
        ("pools 1; recall 61s;", PoolBoundError, 1, 17, "61s;", "from 1 to 60"),
        ("pools 1; budget 7 for nodes " + "not " * 17 + "all;", PoolBoundError, 1, 97, "all;", "two rules"),
        ('pools 1; budget 7 for nodes name "' + "x" * 129 + '";', PoolBoundError, 1, 34, '"xxx', "bounds"),
        (
            "pools 1;" + "budget 7 for nodes all;" * 513,
            PoolBoundError,
            1,
            9 + 512 * 23,
            "budget",
            "into one rule",
        ),
        (
            "pools 1; budget 7 for nodes all when "
            + " or ".join(f'zone "z{i}" is out' for i in range(9))
            + ";",
            PoolBoundError,
            1,
            38 + 8 * 20,
            'zone "z8"',
            "fewer zones",
        ),
        ("pools 1;" + " " * 65_536, PoolBoundError, 1, 1, "pools 1;", "bounds"),
        ("pools 1;\n \ud800", PoolSyntaxError, 2, 2, "", "format"),
        ("pools 1; budget " + "9" * 60_000 + " for nodes all;", PoolBoundError, 1, 17, "999", "from 1"),
    ],
    ids=range(24),
)
def test_an_error_has_position_and_remedy(text, kind, line, column, excerpt, remedy):
    with pytest.raises(PoolError) as caught:
        parse(text)
    error = caught.value
    assert type(error) is kind and (error.position.line, error.position.column) == (line, column), error.line
    assert error.position.text.startswith(excerpt) and remedy in error.remedy_text, error.line
    assert {"error", "what", "where", "remedy", "line", "column", "text"} == set(error.as_dict())


def test_nesting_of_the_maximum_depth_is_parsed():
    parse("pools 1; budget 7 for nodes " + "not " * 16 + "all;")


def test_mutated_texts_are_parsed_or_raise_a_pool_error():
    """Guards every push: any text is parsed or raises a `PoolError`, in bounded time and memory."""
    rng, slowest_s, parsed = random.Random(SEED), 0.0, 0
    fragments = TEXT.split() + [
        "not",
        "(",
        ")",
        '"',
        "\x00",
        "#",
        "\n",
        "é",
        "9" * 12,
        "%",
        "ms",
        "all",
        "is",
        ";",
    ]
    parse(TEXT)
    tracemalloc.start()
    for _ in range(10 * RANDOM_TEXTS or 1_000):
        text = TEXT
        for _ in range(rng.randint(1, 4)):
            at, to = sorted((rng.randrange(len(text) + 1), rng.randrange(len(text) + 1)))
            match rng.randrange(5):
                case 0:
                    text = text[:at] + text[at + rng.randint(1, 8) :]
                case 1:
                    text = text[:at] + rng.choice(fragments) + text[at:]
                case 2:
                    text = text[:at] + chr(rng.randrange(rng.choice((128, 0x110000)))) + text[at:]
                case 3:
                    text = (text[:at] + text[at:to] * 2 + text[to:])[:70_000]
                case 4:
                    text = text[:at] + " " + rng.choice(fragments) + " " + text[min(to, at + 12) :]
        began = time.perf_counter()
        try:
            list(find_errors(parse(text), FLEET))
            parsed += 1
        except PoolError as error:
            assert error.remedy_text and error.position.line >= 1 and error.position.column >= 1, error.line
        slowest_s = max(slowest_s, time.perf_counter() - began)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    print(f"slowest {slowest_s * 1000:.0f} ms, peak {peak / 1e6:.1f} MB, {parsed} read")
    assert parsed and peak < 64e6


@pytest.mark.parametrize(
    "text",
    [
        "pools 1;" + "budget 7 for nodes (" * 3200,
        "pools 1; budget 7 for nodes " + "(" * 65_000,
        "pools 1; budget 7 for nodes " + "not " * 16_000 + "all;",
        'pools 1; budget 7 for nodes name "a"' + ',"a"' * 16_000 + ";",
        "pools 1; budget 7 for nodes " + "all or " * 9_000 + "all;",
        "pools 1; tenants all:" + " floor 1" * 8_000 + ";",
    ],
    ids=range(6),
)
def test_the_largest_texts_are_parsed_or_raise_a_pool_error(text):
    try:
        parse(text)
    except PoolError as error:
        assert error.position.line == 1
