"""Converts lark's tree to typed rules and checks keys, numbers and nesting.

The parser keeps its stack in a list, but this reader is recursive, so it limits the depth to `MAX_DEPTH`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NoReturn

from lark import Token

from mallowbeam.storage_gateway.coordination.pools.errors import (
    PoolBoundError,
    PoolNameError,
    PoolSyntaxError,
)
from mallowbeam.storage_gateway.coordination.pools.expressions import (
    EVERYTHING,
    And,
    Expression,
    InMaintenance,
    KeyIn,
    Not,
    Or,
    SourcePosition,
    ZoneOut,
)
from mallowbeam.storage_gateway.coordination.pools.grammar import KEYS
from mallowbeam.storage_gateway.coordination.pools.rules import (
    LANGUAGE_VERSION,
    MAX_CONNECTIONS,
    MAX_DEPTH,
    MAX_FACTS,
    MAX_NAME_LENGTH,
    MAX_RECALL_MS,
    MAX_RULES,
    MAX_WEIGHT,
    BudgetRule,
    GatewayRule,
    Loan,
    PoolsDocument,
    SharingRule,
    TenantClass,
    TenantRule,
    Terms,
)

EXCERPT_LENGTH = 40  # characters of the text in an error
MAX_VERSION = 10**9
MAX_DIGITS = 10  # of any number, so that no huge number is converted
MAX_PERCENT = 100
MS_PER_S = 1000

Tree = Any  # lark's tree, whose children are trees and tokens


class TreeReader:
    """Reads one text's tree; `lines` are the text's lines, for excerpts in errors."""

    def __init__(self, lines: list[str]) -> None:
        self._lines = lines
        self._classes: set[str] = set()
        self._facts: set[tuple[str, str]] = set()

    def read(self, tree: Tree) -> PoolsDocument:
        """The document that the tree describes.

        Raises:
            PoolError: a name, number, key or clause is not valid.
        """
        version, *rules = tree.children
        self._check_version(version)
        self._check_rule_count(rules)
        recall_ms: int | None = None
        by_kind: dict[str, list[Any]] = {
            "class": [],
            "budget": [],
            "gateways": [],
            "share": [],
            "tenants": [],
        }
        readers: dict[str, Callable[[Tree], Any]] = {
            "class": self._class,
            "budget": self._budget,
            "gateways": self._gateways,
            "share": self._sharing,
            "tenants": self._tenants,
        }
        for rule in rules:
            if rule.data != "recall":
                by_kind[rule.data].append(readers[rule.data](rule))
                continue
            if recall_ms is not None:
                self._raise_repeated(rule, "recall")
            recall_ms = self._time_ms(rule.children[0])
        return PoolsDocument(recall_ms, *(tuple(found) for found in by_kind.values()))

    def _check_version(self, version: Token) -> None:
        if self._number(version, 1, MAX_VERSION, "a version") > LANGUAGE_VERSION:
            raise PoolSyntaxError(
                f"a text of version {version}, this program reads {LANGUAGE_VERSION}",
                remedy="bring the gateways up to date first, or write it in the older version",
                position=self._position(version),
            )

    def _check_rule_count(self, rules: list[Tree]) -> None:
        if len(rules) > MAX_RULES:
            raise PoolBoundError(
                f"{len(rules)} rules, at most {MAX_RULES}",
                remedy='put names that are treated alike into one rule: name "a", "b"',
                position=self._position(rules[MAX_RULES]),
            )

    # --- rules ----------------------------------------------------------------------------------------

    def _class(self, rule: Tree) -> TenantClass:
        name_token, members = rule.children
        name = self._name(name_token)
        if name in self._classes:
            self._raise_repeated(name_token, f"class {name}")
        tenant_class = TenantClass(name, self._expression(members, "tenants"), self._position(rule))
        self._classes.add(name)  # after its own expression, so that a class cannot refer to itself
        return tenant_class

    def _budget(self, rule: Tree) -> BudgetRule:
        count, nodes, *clauses = rule.children
        return BudgetRule(
            self._number(count, 1, MAX_CONNECTIONS, "a budget"),
            self._expression(nodes, "nodes"),
            self._clause(clauses, "when"),
            self._position(rule),
        )

    def _gateways(self, rule: Tree) -> GatewayRule:
        gateways, *clauses = rule.children
        self._by_name(clauses)
        return GatewayRule(
            self._expression(gateways, "gateways"),
            self._clause(clauses, "at_nodes"),
            self._clause(clauses, "when"),
            self._terms(clauses),
            self._position(rule),
        )

    def _sharing(self, rule: Tree) -> SharingRule:
        gateways, *clauses = rule.children
        by_name = self._by_name(clauses)
        if ("turns" in by_name) == ("through" in by_name):
            raise PoolSyntaxError(
                "must say one of `in turns` and `through`",
                position=self._position(rule),
                remedy='say `in turns` or `through "g1"`',
            )
        through = self._name(by_name["through"].children[0]) if "through" in by_name else None
        return SharingRule(
            self._expression(gateways, "gateways"),
            self._clause(clauses, "at_nodes"),
            self._clause(clauses, "when"),
            self._terms(clauses),
            through,
            self._position(rule),
        )

    def _tenants(self, rule: Tree) -> TenantRule:
        tenants, *clauses = rule.children
        loan = self._loan(self._by_name(clauses))
        return TenantRule(
            self._expression(tenants, "tenants"),
            self._clause(clauses, "at_nodes"),
            self._clause(clauses, "at_gateways"),
            self._clause(clauses, "when"),
            self._terms(clauses),
            loan,
            self._position(rule),
        )

    def _loan(self, clauses: dict[str, Tree]) -> Loan:
        percent: int | None = None
        borrowers: Expression = EVERYTHING
        if "lend" in clauses:
            percent_token, *to = clauses["lend"].children
            percent = self._number(percent_token, 0, MAX_PERCENT, "a part", "%")
            borrowers = self._expression(to[0], "tenants") if to else EVERYTHING
        reserve: int | None = None
        if "keep" in clauses:
            reserve = self._number(clauses["keep"].children[0], 0, MAX_CONNECTIONS, "what is kept")
        recall_ms = self._time_ms(clauses["within"].children[0]) if "within" in clauses else None
        return Loan(percent, borrowers, reserve, recall_ms)

    # --- clauses --------------------------------------------------------------------------------------

    def _clause(self, clauses: list[Tree], name: str) -> Expression:
        """The expression of the named optional clause; `EVERYTHING` if the rule has none."""
        for tree in clauses:
            if tree.data == name:
                return self._expression(tree.children[0], name.removeprefix("at_"))
        return EVERYTHING

    def _by_name(self, clauses: list[Tree]) -> dict[str, Tree]:
        """A rule's clauses by name; a repeated clause is an error."""
        found: dict[str, Tree] = {}
        for tree in clauses:
            name = str(tree.children[0]) if tree.data == "term" else tree.data
            if name in found:
                self._raise_repeated(tree, {"within": "recall", "turns": "in turns"}.get(name, name))
            found[name] = tree
        return found

    def _terms(self, clauses: list[Tree]) -> Terms:
        values: dict[str, int] = {}
        for tree in clauses:
            if tree.data == "term":
                keyword, value = tree.children
                maximum = MAX_WEIGHT if keyword == "weight" else MAX_CONNECTIONS
                values[str(keyword)] = self._number(value, 0, maximum, f"a {keyword}")
        return Terms(**values)

    # --- expressions ----------------------------------------------------------------------------------

    def _expression(self, tree: Tree, subject: str, depth: int = 0) -> Expression:
        """An expression about nodes, gateways or tenants, or a condition (`subject` is a key of KEYS)."""
        if depth > MAX_DEPTH:
            raise PoolBoundError(
                f"nested deeper than {MAX_DEPTH}",
                position=self._position(tree),
                remedy="give the tenants a class, or use two rules",
            )
        match tree.data:
            case "every":
                return EVERYTHING
            case "is":
                return self._key_in(tree, subject)
            case "out" | "maintenance":
                return self._fact(tree)
            case "nested":
                return self._expression(tree.children[0], subject, depth + 1)
            case "not":
                return Not(self._expression(tree.children[0], subject, depth + 1))
        operands = tuple(self._expression(child, subject, depth) for child in tree.children)
        return And(operands) if tree.data == "and" else Or(operands)

    def _key_in(self, tree: Tree, subject: str) -> Expression:
        key, *names = tree.children
        if key not in KEYS[subject]:
            raise PoolSyntaxError(
                f"{subject} have no {key}",
                position=self._position(key),
                remedy=f"choose them by {', '.join(KEYS[subject])}",
            )
        return KeyIn(str(key), tuple(self._name(name) for name in names), self._position(tree))

    def _fact(self, tree: Tree) -> Expression:
        """A condition on one fact; a text may use at most `MAX_FACTS` different facts."""
        fact: ZoneOut | InMaintenance
        if tree.data == "out":
            key, name = tree.children
            if key != "zone":
                raise PoolSyntaxError(
                    "only a zone can be out", position=self._position(tree), remedy='say zone "a" is out'
                )
            fact = ZoneOut(self._name(name), self._position(tree))
            self._facts.add(("zone", fact.zone))
        else:
            fact = InMaintenance(self._name(tree.children[0]), self._position(tree))
            self._facts.add(("machine", fact.machine))
        if len(self._facts) > MAX_FACTS:
            raise PoolBoundError(
                f"conditions on more than {MAX_FACTS} different facts",
                position=fact.position,
                remedy="name fewer zones and machines in `when`",
            )
        return fact

    # --- tokens ---------------------------------------------------------------------------------------

    def _position(self, element: Any) -> SourcePosition:
        """The position at which a token or tree begins."""
        meta: Any = element if isinstance(element, Token) else element.meta
        line, column = meta.line, meta.column
        excerpt = self._lines[line - 1][column - 1 : column - 1 + EXCERPT_LENGTH]
        return SourcePosition(line, column, excerpt)

    def _name(self, token: Token) -> str:
        """A name without its quotes."""
        name = str(token)[1:-1]
        if len(name) > MAX_NAME_LENGTH:
            raise PoolBoundError(
                f"a name of {len(name)} characters, at most {MAX_NAME_LENGTH}",
                position=self._position(token),
            )
        return name

    def _number(self, token: Token, minimum: int, maximum: int, quantity: str, unit: str = "") -> int:
        """A number within its range."""
        digits = str(token).removesuffix(unit).lstrip("0") or "0"
        if len(digits) > MAX_DIGITS or not minimum <= int(digits) <= maximum:
            raise PoolBoundError(
                f"{quantity} must be between {minimum} and {maximum}{unit}",
                position=self._position(token),
                remedy=f"give a number from {minimum} to {maximum}",
            )
        return int(digits)

    def _time_ms(self, token: Token) -> int:
        """A time in milliseconds."""
        unit = "ms" if token.endswith("ms") else "s"
        scale = 1 if unit == "ms" else MS_PER_S
        return scale * self._number(token, 1, MAX_RECALL_MS // scale, "a time", unit)

    def _raise_repeated(self, element: Any, name: str) -> NoReturn:
        raise PoolNameError(
            f"{name} is given twice", position=self._position(element), remedy="keep one of them"
        )
