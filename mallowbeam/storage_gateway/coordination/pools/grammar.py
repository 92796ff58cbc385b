"""Grammar of the pool language (docs/formats/pool-language.md) and the LALR parser that lark builds from it.

All keywords of the language are defined here; the rest of the package uses the names of `rules.py`.  A rule
of a text cannot refer to other rules, so there are no loops and no recursion; classes refer only to earlier
classes.
"""

from __future__ import annotations

from functools import cache

from lark import Lark

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
"""The keys by which each kind of subject can be selected."""

TERMINALS = {
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
"""Names of the grammar's terminals in errors; keywords are shown as they are."""


@cache
def parser() -> Lark:
    """The parser; built when the first text is parsed."""
    return Lark(
        GRAMMAR, parser="lalr", lexer="contextual", propagate_positions=True, maybe_placeholders=False
    )
