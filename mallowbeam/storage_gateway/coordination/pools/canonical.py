"""One text for one meaning, as far as words go: what digests are made of.

`show` writes a value down in fixed words and spaces; reading that again gives an equal value.  `canonical`
first brings it into order: names sorted, nested `and` and `or` flattened, defaults left out, and rules of a
kind sorted as far as that changes nothing.  Two rules may change places only if no node, gateway and tenant
matches both (seen from names under one key; where it can't be seen they stay).  Among all orders that
such changes can reach the alphabetically first one is taken, so that all of them end in the same text.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TypeVar

from mallowbeam.storage_gateway.coordination.pools import model as m
from mallowbeam.storage_gateway.coordination.pools.model import EVERY, Expr

R = TypeVar("R", m.Class, m.Budget, m.Gateways, m.Share, m.Tenants)


def digest(pools: m.Pools) -> str:
    """A short name of what a text means."""
    return hashlib.sha256(canonical(pools).encode()).hexdigest()[:12]


def canonical(pools: m.Pools) -> str:
    """The one text for it."""
    return show(normal(pools))


# --- words --------------------------------------------------------------------------------------------


def expr(of: Expr, inside: bool = False) -> str:
    """An expression in words; `inside` of another one, it is put into parentheses where it has to be."""
    match of:
        case m.Every():
            return "all"
        case m.Is(key, names):
            return f"{key} " + ", ".join(f'"{name}"' for name in names)
        case m.ZoneOut(zone):
            return f'zone "{zone}" is out'
        case m.InMaintenance(machine):
            return f'machine "{machine}" is in maintenance'
        case m.Not(one):
            return f"not {expr(one, True)}"
    word = " and " if isinstance(of, m.And) else " or "
    text = word.join(expr(one, True) for one in of.of)
    return f"({text})" if inside else text


def line(rule: m.Rule) -> str:
    """A rule in words."""
    match rule:
        case m.Class(name, of):
            return f'class "{name}" is {expr(of)};'
        case m.Budget(connections, nodes, when):
            return f"budget {connections} for nodes {expr(nodes)}{_part(' when ', when)};"
        case m.Gateways(who, nodes, when, terms):
            return f"gateways {expr(who)}{_where(nodes, EVERY, when)}:{_terms(terms)};"
        case m.Share(who, nodes, when, terms, through):
            last = " in turns" if through is None else f' through "{through}"'
            return f"share gateways {expr(who)}{_where(nodes, EVERY, when)}:{_terms(terms)}{last};"
        case m.Tenants(who, nodes, gateways, when, terms, loan):
            return f"tenants {expr(who)}{_where(nodes, gateways, when)}:{_terms(terms)}{_loan(loan)};"


def show(pools: m.Pools) -> str:
    """All of it in words, rules in their order."""
    lines = [f"pools {m.LANGUAGE};"]
    if pools.recall is not None:
        lines.append(f"recall {pools.recall}ms;")
    for rules in (pools.classes, pools.budgets, pools.gateways, pools.shares, pools.tenants):
        lines += [line(rule) for rule in rules]
    return "\n".join(lines) + "\n"


def _part(word: str, of: Expr) -> str:
    return "" if of == EVERY else word + expr(of)


def _where(nodes: Expr, gateways: Expr, when: Expr) -> str:
    return _part(" at nodes ", nodes) + _part(" at gateways ", gateways) + _part(" when ", when)


def _terms(terms: m.Terms) -> str:
    given = (("weight", terms.weight), ("floor", terms.floor), ("ceiling", terms.ceiling))
    return "".join(f" {word} {value}" for word, value in given if value is not None)


def _loan(loan: m.Loan) -> str:
    text = ""
    if loan.percent is not None:
        text += f" lend {loan.percent}%" + _part(" to ", loan.to)
    text += "" if loan.keep is None else f" keep {loan.keep}"
    return text + ("" if loan.recall is None else f" recall {loan.recall}ms")


# --- order --------------------------------------------------------------------------------------------


def normal(pools: m.Pools) -> m.Pools:
    """The same meaning, in the one order."""
    recall = None if pools.recall == m.RECALL else pools.recall
    classes = [replace(c, of=simple(c.of)) for c in pools.classes]
    budgets = [replace(b, nodes=simple(b.nodes), when=simple(b.when)) for b in pools.budgets]
    gateways = [
        replace(
            g, who=simple(g.who), nodes=simple(g.nodes), when=simple(g.when), terms=_default(g.terms, m.SEAT)
        )
        for g in pools.gateways
    ]
    shares = [
        replace(
            s,
            who=simple(s.who),
            nodes=simple(s.nodes),
            when=simple(s.when),
            terms=_default(s.terms, m.SEAT, True),
        )
        for s in pools.shares
    ]
    tenants = [
        replace(
            t,
            who=simple(t.who),
            nodes=simple(t.nodes),
            gateways=simple(t.gateways),
            when=simple(t.when),
            terms=_default(t.terms, 0, _plain(t.loan) != m.Loan()),
            loan=_plain(t.loan),
        )
        for t in pools.tenants
    ]
    return m.Pools(
        recall,
        ordered(classes, lambda a, b: not _names(a, b) and not _names(b, a)),
        ordered(budgets, lambda a, b: apart(a.nodes, b.nodes)),
        ordered(gateways, lambda a, b: apart(a.who, b.who) or apart(a.nodes, b.nodes)),
        ordered(shares, lambda a, b: apart(a.who, b.who) or apart(a.nodes, b.nodes)),
        ordered(
            tenants,
            lambda a, b: (apart(a.who, b.who) or apart(a.nodes, b.nodes) or apart(a.gateways, b.gateways)),
        ),
    )


def simple(of: Expr) -> Expr:
    """Names and operands sorted, each once; `and` in `and` and `or` in `or` made one; no `not not`."""
    match of:
        case m.Is(_, names):
            return replace(of, names=tuple(sorted(set(names))))
        case m.Not(one):
            inner = simple(one)
            return inner.of if isinstance(inner, m.Not) else m.Not(inner)
        case m.And(parts) | m.Or(parts):
            kind = type(of)
            flat: dict[str, Expr] = {}
            for part in map(simple, parts):
                for each in part.of if isinstance(part, kind) else (part,):
                    flat[expr(each, True)] = each
            kept = tuple(flat[text] for text in sorted(flat))
            return kept[0] if len(kept) == 1 else kind(kept)
    return of


def apart(one: Expr, other: Expr) -> bool:
    """Whether nothing can match both, as far as names under a key show it (never classes: they overlap)."""
    ones, others = _sets(one), _sets(other)
    return any(key in others and not ones[key] & others[key] for key in ones)


def ordered(rules: Sequence[R], free: Callable[[R, R], bool]) -> tuple[R, ...]:
    """The alphabetically first order in which rules that are not `free` of each other keep their order."""
    texts = [line(rule) for rule in rules]
    before = [{i for i in range(j) if not free(rules[i], rules[j])} for j in range(len(rules))]
    left, done, out = set(range(len(rules))), set[int](), list[R]()
    while left:
        best = min((i for i in left if before[i] <= done), key=lambda i: (texts[i], i))
        left.remove(best)
        done.add(best)
        out.append(rules[best])
    return tuple(out)


def _sets(of: Expr) -> dict[str, set[str]]:
    """Names that a match must have, by key."""
    found: dict[str, set[str]] = {}
    for part in of.of if isinstance(of, m.And) else (of,):
        if isinstance(part, m.Is) and part.key != "class":
            found[part.key] = found.get(part.key, set(part.names)) & set(part.names)
    return found


def _names(one: m.Class, other: m.Class) -> bool:
    return other.name in classes_in(one.of)


def classes_in(of: Expr) -> set[str]:
    """The classes that an expression names."""
    match of:
        case m.Is(key, names):
            return set(names) if key == "class" else set()
        case m.Not(one):
            return classes_in(one)
        case m.And(parts) | m.Or(parts):
            return set().union(*map(classes_in, parts))
    return set()


def _default(terms: m.Terms, floor: int, says_more: bool = False) -> m.Terms:
    """Without what says only the default; a rule must say something: a weight, where nothing else is left."""
    kept = m.Terms(
        None if terms.weight == m.WEIGHT else terms.weight,
        None if terms.floor == floor and terms.ceiling != 0 else terms.floor,
        terms.ceiling,
    )
    return replace(kept, weight=m.WEIGHT) if kept == m.Terms() and not says_more else kept


def _plain(loan: m.Loan) -> m.Loan:
    percent = None if loan.percent == 100 and simple(loan.to) == EVERY else loan.percent
    return replace(loan, percent=percent, to=simple(loan.to), keep=loan.keep or None)
