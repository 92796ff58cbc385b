"""Tests the list of tests known to fail: complete lines, exact test ids, no unknown tests."""

from __future__ import annotations

import unittest

from known_red import KnownRed, listed_tests, parse, read

LINE = "tests/test_a.py::A::test_b | a fault | 12"


class KnownRedList(unittest.TestCase):
    def test_lines_are_read(self) -> None:
        known = parse(f"# a remark\n\n{LINE}\n")
        self.assertEqual(known, [KnownRed("tests/test_a.py::A::test_b", "a fault", "12")])

    def test_a_line_without_a_cause_or_an_issue_is_refused(self) -> None:
        for line in (
            "tests/test_a.py::A::test_b",
            "tests/test_a.py::A::test_b | a fault",
            "a |  | 12",
            LINE + " | more",
        ):
            with self.subTest(line), self.assertRaisesRegex(ValueError, "line 2"):
                parse("# a remark\n" + line)

    def test_a_test_stands_once(self) -> None:
        with self.assertRaisesRegex(ValueError, "twice"):
            parse(f"{LINE}\n{LINE}\n")

    def test_a_line_hides_no_other_test(self) -> None:
        collected = ["tests/test_a.py::A::test_b", "tests/test_a.py::A::test_bc"]
        self.assertEqual(listed_tests(parse(LINE), collected), {"tests/test_a.py::A::test_b"})

    def test_what_is_no_test_is_refused(self) -> None:
        for listed in ("tests/test_a.py", "tests/test_a.py::A::test_", "tests/"):
            with self.subTest(listed), self.assertRaisesRegex(ValueError, "no test"):
                listed_tests([KnownRed(listed, "a fault", "12")], ["tests/test_a.py::A::test_b"])

    def test_the_list_in_the_tree_can_be_read(self) -> None:
        read()


if __name__ == "__main__":
    unittest.main()
