"""Checks imports between modules: no cycles; `server/` and `http/` import only what is below them."""

from __future__ import annotations

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest
from project_paths import ROOT

SERVER = "mallowbeam.storage_gateway.server"
BELOW_SERVER = {
    "mallowbeam",
    "mallowbeam.storage_gateway.scheduler",
    "mallowbeam.storage_gateway.scheduler.gateway_host",
    "mallowbeam.storage_gateway.scheduler.interface",
    "mallowbeam.storage_gateway.scheduler.settings",
    "mallowbeam.errors",
}


def name_of(path: Path) -> str:
    """Return the module name of a file."""
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


MODULES = {name_of(path): ast.parse(path.read_text()) for path in (ROOT / "mallowbeam").rglob("*.py")}


def imported(tree: ast.AST) -> set[str]:
    """Return the project's modules that a file imports, also in functions and for type checking."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found |= {
                f"{node.module}.{alias.name}" if f"{node.module}.{alias.name}" in MODULES else node.module
                for alias in node.names
            }
    return found & MODULES.keys()


def check(graph: dict[str, set[str]]) -> None:
    """Raise AssertionError with an import cycle, if there is one."""
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        raise AssertionError(" -> ".join(error.args[1])) from None


def test_no_module_imports_itself_by_way_of_others():
    graph = {name: imported(tree) for name, tree in MODULES.items()}
    assert "mallowbeam.storage_gateway.server.handover" in graph["mallowbeam.storage_gateway.server.gateway"]
    check(graph)


def test_a_circle_is_found():
    with pytest.raises(AssertionError, match="a -> b -> a|b -> a -> b"):
        check({"a": {"b"}, "b": {"a"}})


@pytest.mark.parametrize("name", sorted(name for name in MODULES if name.startswith(f"{SERVER}.")))
def test_net_imports_only_what_is_below_it(name):
    assert {
        other for other in imported(MODULES[name]) if not other.startswith((SERVER, "mallowbeam.http"))
    } <= BELOW_SERVER


@pytest.mark.parametrize("name", sorted(name for name in MODULES if name.startswith("mallowbeam.http.")))
def test_http_imports_only_the_errors_below_it(name):
    assert {other for other in imported(MODULES[name]) if not other.startswith("mallowbeam.http")} <= {
        "mallowbeam",
        "mallowbeam.errors",
    }
