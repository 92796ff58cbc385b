"""Pages for newcomers name only files that exist, so that a rename can't leave them behind."""

from __future__ import annotations

import re
import unittest

from project_paths import DOCS, ROOT

PAGES = ("README.md", "DEVELOPERS.md", "docs/README.md", "docs/architecture.md", "docs/glossary.md")
# A path in these pages may be written from the root or from one of the packages.
BASES = (
    ROOT,
    ROOT / "mallowbeam",
    ROOT / "mallowbeam" / "router",
    ROOT / "mallowbeam" / "storage_gateway",
    DOCS,
)
CODE_SPAN = re.compile(r"`([^`\n]+)`")
LINK = re.compile(r"\]\(([^)#\s]+)\)")
PATH = re.compile(r"^[\w.-]+(/[\w.*-]+)*(\.(py|md|toml|txt|proto|json|sh)|/)$")


def missing_paths(page: str) -> list[str]:
    """Paths in code spans and links of a page that no base folder has."""
    text = (ROOT / page).read_text()
    folder = (ROOT / page).parent
    named = [span for span in CODE_SPAN.findall(text) if PATH.match(span)]
    missing = [path for path in named if not any(list(base.glob(path.rstrip("/"))) for base in BASES)]
    linked = [link for link in LINK.findall(text) if "://" not in link]
    return missing + [link for link in linked if not (folder / link).exists()]


class PagesForNewcomers(unittest.TestCase):
    def test_every_path_exists(self) -> None:
        for page in PAGES:
            with self.subTest(page=page):
                self.assertEqual(missing_paths(page), [])

    def test_every_page_is_in_the_index(self) -> None:
        index = (DOCS / "README.md").read_text()
        pages = {path.relative_to(DOCS).as_posix() for path in DOCS.rglob("*.md")} - {"README.md"}
        self.assertEqual({page for page in pages if f"({page})" not in index}, set())


if __name__ == "__main__":
    unittest.main()
