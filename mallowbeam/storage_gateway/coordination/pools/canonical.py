"""The canonical text of a document, from which its digest is computed.

`show` writes a document in a fixed form; parsing that text gives an equal document.  `canonical` first
normalises the document: names are sorted, nested `and` and `or` flattened, defaults left out, and rules of a
kind sorted as far as the meaning stays the same.  Two rules may be exchanged only if the names under one key
prove that no node, gateway and tenant matches both; otherwise they keep their order.  The result is the
alphabetically first of all orders that such exchanges can reach, so that all these orders have the same text.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TypeVar

from mallowbeam.storage_gateway.coordination.pools.expressions import (
    EVERYTHING,
    And,
    Everything,
    Expression,
    InMaintenance,
    KeyIn,
    Not,
    Or,
    ZoneOut,
)
from mallowbeam.storage_gateway.coordination.pools.rules import (
    DEFAULT_GATEWAY_FLOOR,
    DEFAULT_LENT_PERCENT,
    DEFAULT_RECALL_MS,
    DEFAULT_TENANT_FLOOR,
    DEFAULT_WEIGHT,
    LANGUAGE_VERSION,
    BudgetRule,
    GatewayRule,
    Loan,
    PoolsDocument,
    Rule,
    SharingRule,
    TenantClass,
    TenantRule,
    Terms,
)

DIGEST_LENGTH = 12  # hex digits

RuleKind = TypeVar("RuleKind", TenantClass, BudgetRule, GatewayRule, SharingRule, TenantRule)
GatewayRuleKind = TypeVar("GatewayRuleKind", GatewayRule, SharingRule)


def digest(document: PoolsDocument) -> str:
    """A short identifier of a document's meaning; equal digests mean equal allocations."""
    return hashlib.sha256(canonical(document).encode()).hexdigest()[:DIGEST_LENGTH]


def canonical(document: PoolsDocument) -> str:
    """The canonical text."""
    return show(normalize(document))


# --- text ---------------------------------------------------------------------------------------------


def show_expression(expression: Expression, nested: bool = False) -> str:
    """An expression as text; with `nested`, in parentheses if it needs them inside another expression."""
    match expression:
        case Everything():
            return "all"
        case KeyIn(key, names):
            return f"{key} " + ", ".join(f'"{name}"' for name in names)
        case ZoneOut(zone):
            return f'zone "{zone}" is out'
        case InMaintenance(machine):
            return f'machine "{machine}" is in maintenance'
        case Not(operand):
            return f"not {show_expression(operand, True)}"
    operator = " and " if isinstance(expression, And) else " or "
    text = operator.join(show_expression(operand, True) for operand in expression.operands)
    return f"({text})" if nested else text


def show_rule(rule: Rule) -> str:
    """A rule as a line of text."""
    match rule:
        case TenantClass(name, members):
            return f'class "{name}" is {show_expression(members)};'
        case BudgetRule(connections, nodes, when):
            return f"budget {connections} for nodes {show_expression(nodes)}{_clause(' when ', when)};"
        case GatewayRule(gateways, nodes, when, terms):
            scope = _scope(nodes, EVERYTHING, when)
            return f"gateways {show_expression(gateways)}{scope}:{_show_terms(terms)};"
        case SharingRule(gateways, nodes, when, terms, through):
            scope = _scope(nodes, EVERYTHING, when)
            mode = " in turns" if through is None else f' through "{through}"'
            return f"share gateways {show_expression(gateways)}{scope}:{_show_terms(terms)}{mode};"
        case TenantRule(tenants, nodes, gateways, when, terms, loan):
            scope = _scope(nodes, gateways, when)
            return f"tenants {show_expression(tenants)}{scope}:{_show_terms(terms)}{_show_loan(loan)};"


def show(document: PoolsDocument) -> str:
    """A document as text; rules of one kind keep their order."""
    lines = [f"pools {LANGUAGE_VERSION};"]
    if document.recall_ms is not None:
        lines.append(f"recall {document.recall_ms}ms;")
    for rules in (
        document.classes,
        document.budgets,
        document.gateways,
        document.sharing,
        document.tenants,
    ):
        lines += [show_rule(rule) for rule in rules]
    return "\n".join(lines) + "\n"


def _clause(keyword: str, expression: Expression) -> str:
    return "" if expression == EVERYTHING else keyword + show_expression(expression)


def _scope(nodes: Expression, gateways: Expression, when: Expression) -> str:
    return _clause(" at nodes ", nodes) + _clause(" at gateways ", gateways) + _clause(" when ", when)


def _show_terms(terms: Terms) -> str:
    values = (("weight", terms.weight), ("floor", terms.floor), ("ceiling", terms.ceiling))
    return "".join(f" {keyword} {value}" for keyword, value in values if value is not None)


def _show_loan(loan: Loan) -> str:
    text = ""
    if loan.percent is not None:
        text += f" lend {loan.percent}%" + _clause(" to ", loan.borrowers)
    if loan.reserve is not None:
        text += f" keep {loan.reserve}"
    if loan.recall_ms is not None:
        text += f" recall {loan.recall_ms}ms"
    return text


# --- normal form --------------------------------------------------------------------------------------


def normalize(document: PoolsDocument) -> PoolsDocument:
    """A document with the same meaning in normal form: sorted and without defaults."""
    classes = [replace(rule, members=simplify(rule.members)) for rule in document.classes]
    budgets = [
        replace(rule, nodes=simplify(rule.nodes), when=simplify(rule.when)) for rule in document.budgets
    ]
    gateways = [_normalize_gateways(rule, may_be_empty=False) for rule in document.gateways]
    sharing = [_normalize_gateways(rule, may_be_empty=True) for rule in document.sharing]
    return PoolsDocument(
        None if document.recall_ms == DEFAULT_RECALL_MS else document.recall_ms,
        _sort_rules(classes, _independent_classes),
        _sort_rules(budgets, lambda one, other: are_disjoint(one.nodes, other.nodes)),
        _sort_rules(gateways, _independent_gateways),
        _sort_rules(sharing, _independent_gateways),
        _sort_rules([_normalize_tenants(rule) for rule in document.tenants], _independent_tenants),
    )


def _normalize_gateways(rule: GatewayRuleKind, may_be_empty: bool) -> GatewayRuleKind:
    return replace(
        rule,
        gateways=simplify(rule.gateways),
        nodes=simplify(rule.nodes),
        when=simplify(rule.when),
        terms=_without_defaults(rule.terms, DEFAULT_GATEWAY_FLOOR, may_be_empty),
    )


def _normalize_tenants(rule: TenantRule) -> TenantRule:
    loan = _normalize_loan(rule.loan)
    return replace(
        rule,
        tenants=simplify(rule.tenants),
        nodes=simplify(rule.nodes),
        gateways=simplify(rule.gateways),
        when=simplify(rule.when),
        terms=_without_defaults(rule.terms, DEFAULT_TENANT_FLOOR, may_be_empty=loan != Loan()),
        loan=loan,
    )


def simplify(expression: Expression) -> Expression:
    """Sorts and deduplicates names and operands, flattens nested `and` and `or`, removes `not not`."""
    match expression:
        case KeyIn(_, names):
            return replace(expression, names=tuple(sorted(set(names))))
        case Not(operand):
            inner = simplify(operand)
            return inner.operand if isinstance(inner, Not) else Not(inner)
        case And(operands) | Or(operands):
            kind = type(expression)
            flat: dict[str, Expression] = {}
            for operand in map(simplify, operands):
                for each in operand.operands if isinstance(operand, kind) else (operand,):
                    flat[show_expression(each, True)] = each
            distinct = tuple(flat[text] for text in sorted(flat))
            return distinct[0] if len(distinct) == 1 else kind(distinct)
    return expression


def _without_defaults(terms: Terms, default_floor: int, may_be_empty: bool) -> Terms:
    """Terms without defaults; the weight stays if the rule would otherwise have no term but needs one."""
    explicit = Terms(
        None if terms.weight == DEFAULT_WEIGHT else terms.weight,
        None if terms.floor == default_floor and terms.ceiling != 0 else terms.floor,
        terms.ceiling,
    )
    if explicit == Terms() and not may_be_empty:
        return replace(explicit, weight=DEFAULT_WEIGHT)
    return explicit


def _normalize_loan(loan: Loan) -> Loan:
    borrowers = simplify(loan.borrowers)
    is_default = loan.percent == DEFAULT_LENT_PERCENT and borrowers == EVERYTHING
    percent = None if is_default else loan.percent
    return replace(loan, percent=percent, borrowers=borrowers, reserve=loan.reserve or None)


# --- order of rules -----------------------------------------------------------------------------------


def _sort_rules(
    rules: Sequence[RuleKind], are_independent: Callable[[RuleKind, RuleKind], bool]
) -> tuple[RuleKind, ...]:
    """The alphabetically first order that keeps the relative order of dependent rules."""
    texts = [show_rule(rule) for rule in rules]
    predecessors = [
        {i for i in range(j) if not are_independent(rules[i], rules[j])} for j in range(len(rules))
    ]
    pending = set(range(len(rules)))
    placed: set[int] = set()
    result: list[RuleKind] = []
    while pending:
        first = min((i for i in pending if predecessors[i] <= placed), key=lambda i: (texts[i], i))
        pending.remove(first)
        placed.add(first)
        result.append(rules[first])
    return tuple(result)


def _independent_classes(one: TenantClass, other: TenantClass) -> bool:
    return other.name not in _classes_in(one.members) and one.name not in _classes_in(other.members)


def _independent_gateways(one: GatewayRuleKind, other: GatewayRuleKind) -> bool:
    return are_disjoint(one.gateways, other.gateways) or are_disjoint(one.nodes, other.nodes)


def _independent_tenants(one: TenantRule, other: TenantRule) -> bool:
    return (
        are_disjoint(one.tenants, other.tenants)
        or are_disjoint(one.nodes, other.nodes)
        or are_disjoint(one.gateways, other.gateways)
    )


def are_disjoint(one: Expression, other: Expression) -> bool:
    """Whether names under a key prove that nothing matches both (classes prove nothing, as they overlap)."""
    names = _required_names(one)
    other_names = _required_names(other)
    return any(key in other_names and not names[key] & other_names[key] for key in names)


def _required_names(expression: Expression) -> dict[str, set[str]]:
    """By key, the names of which a match must have one."""
    found: dict[str, set[str]] = {}
    for operand in expression.operands if isinstance(expression, And) else (expression,):
        if isinstance(operand, KeyIn) and operand.key != "class":
            names = set(operand.names)
            found[operand.key] = found.get(operand.key, names) & names
    return found


def _classes_in(expression: Expression) -> set[str]:
    """The classes that an expression refers to."""
    match expression:
        case KeyIn(key, names):
            return set(names) if key == "class" else set()
        case Not(operand):
            return _classes_in(operand)
        case And(operands) | Or(operands):
            return set().union(*map(_classes_in, operands))
    return set()
