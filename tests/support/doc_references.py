"""Finds references in the documentation to files, tests and symbols that the tree does not have.

These count as references, always in backticks: a path with a known file extension; a test id
(`module::Class::test`, also without `test_` and `.py`); part of a test's name between ellipses
(`..._part_of_a_name_...`); a symbol directly after a path (`` `path.py` `symbol` ``).
"""

from __future__ import annotations

import re
import subprocess
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cached_property
from pathlib import Path

from project_paths import ROOT

PATH = re.compile(r"`([\w./-]+\.(?:py|txt|sh|toml|proto|md|json))`(?: `(\w[\w.]*)(?:\([^`]*\))?`)?")
TEST_ID = re.compile(r"`((?:[\w/.]+)?(?:\.\.\.)?)::(\w+)(?:::(\w+))?[^`]*`")
PART_OF_NAME = re.compile(r"`(?:[\w/]*test_\w+)?\.\.\._?(\w+?)_?(?:\.\.\.)?(?:\[[^`]*\])?`")
DEFINED = re.compile(r"^\s*(?:async )?(?:def|class) (\w+)|^\s*(\w+)(?:: [^=\n]+)? = ", re.MULTILINE)
HISTORY = ("CHANGELOG.md", "docs/readers-tests.md", "docs/readers.md")  # may name removed files and symbols
FILES_OF_A_RUN = frozenset(
    ("config.json", "fronts.json", "settings.toml", "log.txt", "/etc/mallowbeam/settings.toml", "LATER.md")
)


@dataclass(frozen=True, slots=True)
class StaleReference:
    """A reference to a file, test or symbol that the tree does not have."""

    page: str
    line: int
    reference: str

    def __str__(self) -> str:
        """Return ``page:line: reference``, which editors can open."""
        return f"{self.page}:{self.line}: {self.reference}"


@dataclass
class Tree:
    """The tracked files of a checkout, and the names that they define."""

    files: tuple[str, ...]
    root: Path = ROOT
    _definitions: dict[str, frozenset[str]] = field(default_factory=dict)

    @classmethod
    def of_checkout(cls) -> Tree:
        """Return the tree of all files that git tracks."""
        return cls(tuple(subprocess.check_output(["git", "ls-files"], cwd=ROOT, text=True).split()))

    @cached_property
    def by_tail(self) -> dict[str, list[str]]:
        """Files by each trailing part of their paths."""
        found: dict[str, list[str]] = {}
        for path in self.files:
            parts = path.split("/")
            for start in range(len(parts)):
                found.setdefault("/".join(parts[start:]), []).append(path)
        return found

    @cached_property
    def test_names(self) -> str:
        """All names defined in the modules below `tests/`, one per line."""
        modules = [path for path in self.files if path.startswith("tests/") and path.endswith(".py")]
        return "\n".join(name for path in modules for name in self.definitions(path))

    def pages(self) -> list[str]:
        """Return the pages whose references must exist."""
        pages = [path for path in self.files if path.endswith(".md") and not path.startswith("journal/")]
        return [page for page in pages if page not in HISTORY]

    def definitions(self, path: str) -> frozenset[str]:
        """Return the functions, classes and assigned names of a module."""
        if path not in self._definitions:
            text = (self.root / path).read_text()
            self._definitions[path] = frozenset(
                name for match in DEFINED.finditer(text) for name in match.groups() if name
            )
        return self._definitions[path]

    def stale(self, page: str, text: str) -> Iterator[StaleReference]:
        """Yield the references of a page's text that the tree does not have."""
        module = ""
        for number, line in enumerate(text.splitlines(), 1):
            for match in PATH.finditer(line):
                if not self._has_path(match[1], match[2]):
                    yield StaleReference(page, number, match[0])
            for match in TEST_ID.finditer(line):
                module = module if match[1].endswith("...") else match[1]
                if not self._has_test(module, match[2], match[3]):
                    yield StaleReference(page, number, match[0])
            for match in PART_OF_NAME.finditer(line):
                if match[1] not in self.test_names:
                    yield StaleReference(page, number, match[0])

    def _has_path(self, path: str, symbol: str | None) -> bool:
        if path in FILES_OF_A_RUN or path.startswith("../"):
            return True
        found = self.by_tail.get(path.lstrip("./"), [])
        if not found or symbol is None or not path.endswith(".py"):
            return bool(found)
        name = symbol.rpartition(".")[2]
        return any(name in self.definitions(path) for path in found)

    def _has_test(self, module: str, name: str, member: str | None) -> bool:
        stem = module.removesuffix(".py")
        folder, _, base = stem.rpartition("/")
        prefix = f"{folder}/" if folder else ""
        found = [
            path
            for tail in (f"{prefix}test_{base}.py", f"{prefix}{base}.py")
            for path in self.by_tail.get(tail, [])
        ]
        names = [self.definitions(path) for path in found]
        return any(name in defined and (member is None or member in defined) for defined in names)
