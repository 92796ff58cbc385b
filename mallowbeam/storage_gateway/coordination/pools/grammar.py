"""A text of the pool language to its typed form: LALR by lark, then one walk that checks keys and numbers.

Total by its shape: no rule has a name, so nothing loops or recurs; classes name earlier classes only.
The parser keeps its stack in a list; the walk recurs, so it counts depth and stops at `MOST_DEPTH`.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import cache
from typing import Any, NoReturn

from lark import Lark, Token
from lark.exceptions import LarkError, UnexpectedInput

from mallowbeam.storage_gateway.coordination.pools import model as m
from mallowbeam.storage_gateway.coordination.pools.errors import PoolBound, PoolName, PoolSyntax
from mallowbeam.storage_gateway.coordination.pools.model import EVERY, Expr, Place

GRAMMAR = r"""
start: "pools" INT ";" (recall | class | budget | gateways | share | tenants)*
recall: "recall" TIME ";"
class: "class" NAME "is" expr ";"
budget: "budget" INT "for" "nodes" expr when? ";"
gateways: "gateways" expr at_nodes? when? ":" term+ ";"
share: "share" "gateways" expr at_nodes? when? ":" (term | turns | through)+ ";"
tenants: "tenants" expr at_nodes? at_gateways? when? ":" (term | lend | keep | within)+ ";"

at_nodes: "at" "nodes" expr
at_gateways: "at" "gateways" expr
when: "when" cond
term: TERM INT
turns: "in" "turns"
through: "through" NAME
lend: "lend" PERCENT ("to" expr)?
keep: "keep" INT
within: "recall" TIME

?expr: both | or
or: both ("or" both)+
?both: one | and
and: one ("and" one)+
?one: "all" -> every
    | KEY NAME ("," NAME)* -> is
    | "not" one -> not
    | "(" expr ")" -> nested
?cond: cboth | cor
cor: cboth ("or" cboth)+ -> or
?cboth: cone | cand
cand: cone ("and" cone)+ -> and
?cone: KEY NAME "is" "out" -> out
    | "machine" NAME "is" "in" "maintenance" -> maintenance
    | "not" cone -> not
    | "(" cond ")" -> nested

KEY: "name" | "zone" | "model" | "plan" | "class"
TERM: "weight" | "floor" | "ceiling"
NAME: /"[^"\x00-\x1f\x7f]+"/
TIME.2: /[0-9]+(ms|s)/
PERCENT.2: /[0-9]+%/
INT: /[0-9]+/
COMMENT: /#[^\n]*/
%ignore COMMENT
%ignore /[ \t\r\n]+/
"""
KEYS = {
    "nodes": ("name", "zone", "model"),
    "gateways": ("name", "zone"),
    "tenants": ("name", "plan", "class"),
}
EXCERPT = 40  # characters of the text that an error shows
EXPECTED = 8  # words that a syntax error offers; more say nothing
WORDS = {
    "NAME": 'a name in "quotes"',
    "INT": "a number",
    "TIME": "a time as 500ms or 2s",
    "PERCENT": "a part as 50%",
    "KEY": "`name`, `zone`, `model`, `plan` or `class`",
    "TERM": "`weight`, `floor` or `ceiling`",
    "SEMICOLON": "`;`",
    "COLON": "`:`",
    "COMMA": "`,`",
    "LPAR": "`(`",
    "RPAR": "`)`",
    "$END": "the end",
}

Branch = Any  # a tree of the parser's, whose children are trees and tokens


@cache
def parser() -> Lark:
    """The parser, made at the first text."""
    return Lark(
        GRAMMAR, parser="lalr", lexer="contextual", propagate_positions=True, maybe_placeholders=False
    )


def parse(text: str) -> m.Pools:
    """A text's meaning; raises a `PoolError`."""
    try:
        size = len(text.encode())
    except UnicodeEncodeError as error:
        place = Place(text.count("\n", 0, error.start) + 1, error.start - text.rfind("\n", 0, error.start))
        raise PoolSyntax("a character that is no text", place=place) from None
    if size > m.MOST_TEXT:
        raise PoolBound(
            f"a text of {size} bytes, at most {m.MOST_TEXT}", place=Place(1, 1, text[:EXCERPT].split("\n")[0])
        )
    lines = text.split("\n")
    try:
        tree = parser().parse(text)
    except UnexpectedInput as error:
        raise _syntax(error, lines) from None
    except LarkError as error:  # none is known to come; what may is still told our way
        raise PoolSyntax(str(error).split("\n")[0], place=Place(1, 1, lines[0][:EXCERPT])) from None
    return Walk(lines).pools(tree)


def _syntax(error: UnexpectedInput, lines: list[str]) -> PoolSyntax:
    """The parser's complaint in our words."""
    names = (
        getattr(error, "accepts", None) or getattr(error, "expected", None) or getattr(error, "allowed", ())
    )
    wanted = sorted({WORDS.get(name, f"`{name.strip('_').lower()}`") for name in names or ()})
    line, column = int(error.line or 0), int(error.column or 0)
    if line < 1 or getattr(getattr(error, "token", None), "type", "") == "$END":
        line, column, what = len(lines), len(lines[-1]) + 1, "the text ends too early"
    else:
        what = "this can't stand here"
    excerpt = lines[line - 1][column - 1 : column - 1 + EXCERPT]
    remedy = f"put {' or '.join(wanted)} there" if 0 < len(wanted) <= EXPECTED else ""
    return PoolSyntax(what, remedy=remedy, place=Place(line, column, excerpt))


class Walk:
    """One walk over the parser's tree."""

    def __init__(self, lines: list[str]) -> None:
        self.lines, self.classes, self.facts = lines, set[str](), set[tuple[str, str]]()

    def place(self, at: Any) -> Place:
        """Where a token or tree begins."""
        where: Any = at if isinstance(at, Token) else at.meta
        line, column = where.line, where.column
        return Place(line, column, self.lines[line - 1][column - 1 : column - 1 + EXCERPT])

    def pools(self, tree: Branch) -> m.Pools:
        """The whole text."""
        version, *rules = tree.children
        if self.number(version, 1, 10**9, "a version") > m.LANGUAGE:
            raise PoolSyntax(
                f"a text of version {version}, this program reads {m.LANGUAGE}",
                remedy="bring the gateways up to date first, or write it in the older version",
                place=self.place(version),
            )
        if len(rules) > m.MOST_RULES:
            raise PoolBound(
                f"{len(rules)} rules, at most {m.MOST_RULES}",
                remedy='put names that are treated alike into one rule: name "a", "b"',
                place=self.place(rules[m.MOST_RULES]),
            )
        kinds: dict[str, list[Any]] = {
            name: [] for name in ("class", "budget", "gateways", "share", "tenants")
        }
        recall: int | None = None
        for rule in rules:
            if rule.data == "recall":
                if recall is not None:
                    self.twice(rule, "recall")
                recall = self.time(rule.children[0])
            else:
                kinds[rule.data].append(getattr(self, f"rule_{rule.data}")(rule))
        return m.Pools(recall, *(tuple(kinds[name]) for name in kinds))

    # --- rules ------------------------------------------------------------------------------------

    def rule_class(self, rule: Branch) -> m.Class:
        """`class NAME is ...`."""
        name, of = rule.children
        if (label := self.name(name)) in self.classes:
            self.twice(name, f"class {label}")
        made = m.Class(label, self.expr(of, "tenants"), self.place(rule))
        self.classes.add(label)  # after its own words: a class can't name itself
        return made

    def rule_budget(self, rule: Branch) -> m.Budget:
        """`budget N for nodes ...`."""
        count, nodes, *rest = rule.children
        return m.Budget(
            self.number(count, 1, m.MOST_CONNECTIONS, "a budget"),
            self.expr(nodes, "nodes"),
            self.part(rest, "when"),
            self.place(rule),
        )

    def rule_gateways(self, rule: Branch) -> m.Gateways:
        """`gateways ...: terms`."""
        who, *rest = rule.children
        self.once(rest)
        return m.Gateways(
            self.expr(who, "gateways"),
            self.part(rest, "at_nodes"),
            self.part(rest, "when"),
            self.terms(rest),
            self.place(rule),
        )

    def rule_share(self, rule: Branch) -> m.Share:
        """`share gateways ...: in turns` or `through NAME`."""
        who, *rest = rule.children
        found = self.once(rest)
        if ("turns" in found) == ("through" in found):
            raise PoolSyntax(
                "must say one of `in turns` and `through`",
                place=self.place(rule),
                remedy='say `in turns` or `through "g1"`',
            )
        through = self.name(found["through"].children[0]) if "through" in found else None
        return m.Share(
            self.expr(who, "gateways"),
            self.part(rest, "at_nodes"),
            self.part(rest, "when"),
            self.terms(rest),
            through,
            self.place(rule),
        )

    def rule_tenants(self, rule: Branch) -> m.Tenants:
        """`tenants ...: terms and loans`."""
        who, *rest = rule.children
        found = self.once(rest)
        percent: int | None = None
        to: Expr = EVERY
        if "lend" in found:
            part, *whom = found["lend"].children
            percent = self.number(part, 0, 100, "a part", "%")
            to = self.expr(whom[0], "tenants") if whom else EVERY
        keep = (
            self.number(found["keep"].children[0], 0, m.MOST_CONNECTIONS, "what is kept")
            if "keep" in found
            else None
        )
        recall = self.time(found["within"].children[0]) if "within" in found else None
        return m.Tenants(
            self.expr(who, "tenants"),
            self.part(rest, "at_nodes"),
            self.part(rest, "at_gateways"),
            self.part(rest, "when"),
            self.terms(rest),
            m.Loan(percent, to, keep, recall),
            self.place(rule),
        )

    # --- parts of rules ---------------------------------------------------------------------------

    def part(self, rest: list[Branch], name: str) -> Expr:
        """The optional part of that name; everything where it is not there."""
        for tree in rest:
            if tree.data == name:
                return self.expr(tree.children[0], name.removeprefix("at_"))
        return EVERY

    def once(self, rest: list[Branch]) -> dict[str, Branch]:
        """A rule's parts by name; a second one of a name is an error."""
        found: dict[str, Branch] = {}
        for tree in rest:
            name = str(tree.children[0]) if tree.data == "term" else tree.data
            if name in found:
                self.twice(tree, {"within": "recall", "turns": "in turns"}.get(name, name))
            found[name] = tree
        return found

    def terms(self, rest: list[Branch]) -> m.Terms:
        """Weight, floor and ceiling."""
        values: dict[str, int] = {}
        for tree in rest:
            if tree.data == "term":
                word, value = tree.children
                most = m.MOST_WEIGHT if word == "weight" else m.MOST_CONNECTIONS
                values[str(word)] = self.number(value, 0, most, f"a {word}")
        return m.Terms(**values)

    def expr(self, tree: Branch, sort: str, depth: int = 0) -> Expr:
        """Which ones, or when."""
        if depth > m.MOST_DEPTH:
            raise PoolBound(
                f"nested deeper than {m.MOST_DEPTH}",
                place=self.place(tree),
                remedy="give the tenants a class, or use two rules",
            )
        if tree.data == "every":
            return EVERY
        if tree.data == "is":
            return self.is_(tree, sort)
        if tree.data == "out":
            key, name = tree.children
            if key != "zone":
                raise PoolSyntax(
                    "only a zone can be out", place=self.place(tree), remedy='say zone "a" is out'
                )
            return self.fact(m.ZoneOut(self.name(name), self.place(tree)))
        if tree.data == "maintenance":
            return self.fact(m.InMaintenance(self.name(tree.children[0]), self.place(tree)))
        if tree.data == "nested":
            return self.expr(tree.children[0], sort, depth + 1)
        if tree.data == "not":
            return m.Not(self.expr(tree.children[0], sort, depth + 1))
        make: Callable[[tuple[Expr, ...]], Expr] = m.And if tree.data == "and" else m.Or
        return make(tuple(self.expr(child, sort, depth) for child in tree.children))

    def is_(self, tree: Branch, sort: str) -> Expr:
        """A key and its names."""
        key, *names = tree.children
        if key not in KEYS[sort]:
            raise PoolSyntax(
                f"{sort} have no {key}",
                place=self.place(key),
                remedy=f"choose them by {', '.join(KEYS[sort])}",
            )
        found = tuple(self.name(name) for name in names)
        return m.Is(str(key), found, self.place(tree))

    def fact(self, fact: m.ZoneOut | m.InMaintenance) -> Expr:
        """A fact; so many different ones at most."""
        self.facts.add(("zone", fact.zone) if isinstance(fact, m.ZoneOut) else ("machine", fact.machine))
        if len(self.facts) > m.MOST_FACTS:
            raise PoolBound(
                f"conditions on more than {m.MOST_FACTS} different facts",
                place=fact.at,
                remedy="name fewer zones and machines in `when`",
            )
        return fact

    # --- words ------------------------------------------------------------------------------------

    def name(self, token: Token) -> str:
        """A name without its quotes."""
        if len(token) - 2 > m.MOST_NAME:
            raise PoolBound(
                f"a name of {len(token) - 2} characters, at most {m.MOST_NAME}", place=self.place(token)
            )
        return str(token)[1:-1]

    def number(self, token: Token, least: int, most: int, what: str, unit: str = "") -> int:
        """A number within its range."""
        digits = str(token).removesuffix(unit).lstrip("0") or "0"
        if len(digits) > 10 or not least <= int(digits) <= most:
            raise PoolBound(
                f"{what} must be between {least} and {most}{unit}",
                place=self.place(token),
                remedy=f"give a number from {least} to {most}",
            )
        return int(digits)

    def time(self, token: Token) -> int:
        """A time in milliseconds."""
        unit = "ms" if token.endswith("ms") else "s"
        scale = 1 if unit == "ms" else 1000
        return scale * self.number(token, 1, m.MOST_RECALL // scale, "a time", unit)

    def twice(self, at: Any, what: str) -> NoReturn:
        """It was said before."""
        raise PoolName(f"{what} is given twice", place=self.place(at), remedy="keep one of them")
