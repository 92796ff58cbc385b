"""Every error type of the project says what an operator can do, and the page for who is on call lists it."""

from __future__ import annotations

import pkgutil
from importlib import import_module

import pytest
from project_paths import DOCS

import mallowbeam
from mallowbeam.errors import MallowbeamError

PAGE = DOCS / "on-call.md"


def all_types() -> list[type[MallowbeamError]]:
    """Every type, all modules loaded."""
    for module in pkgutil.walk_packages(mallowbeam.__path__, "mallowbeam."):
        if not module.name.endswith("__main__"):
            import_module(module.name)
    found, left = [], [MallowbeamError]
    while left:
        below = left.pop().__subclasses__()
        found += below
        left += below
    ours = (kind for kind in found if kind.__module__.startswith("mallowbeam."))
    return sorted(ours, key=lambda kind: kind.__name__)


@pytest.mark.parametrize("kind", all_types(), ids=lambda kind: kind.__name__)
def test_an_error_carries_a_remedy_and_the_page_lists_it(kind):
    assert kind.remedy.strip() and "\n" not in kind.remedy
    assert f"| `{kind.error_name}` |" in PAGE.read_text()


def test_no_error_type_of_the_project_stands_outside():
    """Guards the one base: an error that an operator meets without a word of what to do."""
    all_types()
    bases = (Exception, ValueError, OSError, RuntimeError)
    outside = [
        kind
        for base in bases
        for kind in base.__subclasses__()
        if kind.__module__.startswith("mallowbeam.") and not issubclass(kind, MallowbeamError)
    ]
    assert [kind.__name__ for kind in outside] == [
        "PowerLossError"
    ]  # of the simulated disk: no operator meets it


def test_what_where_and_remedy_are_shown_alike():
    class Odd(MallowbeamError):
        remedy = "turn it"

    error = Odd("it is off", "knob")
    assert error.line == "knob: it is off (turn it)"
    assert error.as_dict() == {"error": "Odd", "what": "it is off", "where": "knob", "remedy": "turn it"}
    assert Odd("it is off", remedy="leave it").line == "it is off (leave it)"


def test_code_step_and_peer_are_carried_and_told():
    class Coded(MallowbeamError):
        code = "CODED"
        step = "read"
        remedy = "turn it"

    error = Coded("it is off")
    assert (error.code, error.step, error.peer, error.where) == ("CODED", "read", None, "")
    assert error.as_dict() == {
        "error": "Coded",
        "what": "it is off",
        "where": "",
        "remedy": "turn it",
        "code": "CODED",
        "step": "read",
    }
    own = Coded("it is off", code="OWN", step="write", peer=7)
    assert (own.code, own.step, own.peer, str(own)) == ("OWN", "write", 7, "member 7: it is off")
    assert str(Coded("it is off", peer="127.0.0.1:7660")) == "127.0.0.1:7660: it is off"
    assert str(Coded("it is off", "page 3", peer=7)) == "page 3: it is off"
