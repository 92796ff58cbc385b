"""Every page names only files, tests and symbols that exist."""

from __future__ import annotations

import unittest

from doc_references import Tree
from project_paths import ROOT


class Pages(unittest.TestCase):
    def test_no_page_refers_to_what_is_not_there(self) -> None:
        tree = Tree.of_checkout()
        pages = tree.pages()
        self.assertGreater(len(pages), 25)
        stale = [str(one) for page in pages for one in tree.stale(page, (ROOT / page).read_text())]
        self.assertEqual(stale, [], "\n".join(stale))


class Checker(unittest.TestCase):
    def stale(self, text: str) -> list[str]:
        return [one.reference for one in Tree.of_checkout().stale("page.md", text)]

    def test_what_is_there(self) -> None:
        text = """`mallowbeam/errors.py`, `tests/test_layers.py`, `http/client.py` `Link`
`layers::Layers`, `tests/support/doc_references.py` `Tree.of_checkout`, `..._refers_to_what_is_not_there`"""
        self.assertEqual(self.stale(text.replace("`layers::Layers`, ", "")), [])
        self.assertEqual(self.stale("`doc_references::Pages::test_no_page_refers_to_what_is_not_there`"), [])
        self.assertEqual(
            self.stale("`test_doc_references.py::Pages`, `...::Checker::test_what_is_there`"), []
        )

    def test_each_kind_of_reference_that_leads_nowhere(self) -> None:
        for text in (
            "`dp/outcomes.py`",
            "`mallowbeam/error.py`",
            "`scenarios/system/never_written.txt`",
            "`http/client.py` `Lnk`",
            "`doc_references::Page`",
            "`doc_references::Pages::test_something_else`",
            "`never_written::Pages`",
            "`..._no_test_has_this_name_...`",
        ):
            with self.subTest(text):
                self.assertEqual(self.stale(text), [text])

    def test_a_stale_reference_is_told_with_page_and_line(self) -> None:
        (one,) = Tree.of_checkout().stale("docs/page.md", "first\n`dp/outcomes.py`\n")
        self.assertEqual(str(one), "docs/page.md:2: `dp/outcomes.py`")


if __name__ == "__main__":
    unittest.main()
