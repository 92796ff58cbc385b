"""Error codes: each belongs to one type and has a row on the on-call page."""

from __future__ import annotations

import pkgutil
import unittest
from importlib import import_module

from project_paths import DOCS

import mallowbeam
from mallowbeam.errors import MallowbeamError
from mallowbeam.router.processes.error_codes import code_table, codes_of, error_types

PAGE = DOCS / "on-call.md"
SECTION = "## The router fleet"
NEW_PARTS = ("router", "cli.system", "scheduling", "simulation")
CODE = r"^[A-Z][A-Z0-9]*(_[A-Z0-9]+)*$"


def in_new_parts(module: str) -> bool:
    return any(module.removeprefix("mallowbeam.").startswith(part) for part in NEW_PARTS)


def load_new_parts() -> None:
    for module in pkgutil.walk_packages(mallowbeam.__path__, "mallowbeam."):
        if in_new_parts(module.name):
            import_module(module.name)


def fleet_section() -> list[str]:
    _, _, rest = PAGE.read_text().partition(SECTION + "\n")
    return rest.partition("\n## ")[0].splitlines()


class Codes(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        load_new_parts()

    def test_each_code_has_one_type_and_the_usual_form(self):
        for code in code_table():  # raises if two types share one
            self.assertRegex(code, CODE)

    def test_each_error_of_the_new_parts_has_a_code(self):
        without_code = [
            error_type.__name__
            for error_type in error_types()
            if in_new_parts(error_type.__module__)
            and not any(codes_of(one) for one in error_type.__mro__ if issubclass(one, MallowbeamError))
            and not error_type.__subclasses__()
        ]
        self.assertEqual(without_code, [])

    def test_each_code_has_a_row_on_the_page(self):
        rows = fleet_section()
        missing = [
            code
            for code, error_type in code_table().items()
            if in_new_parts(error_type.__module__)
            and not any(f"| `{error_type.error_name}` | `{code}` |" in row for row in rows)
        ]
        self.assertEqual(missing, [])

    def test_codes_of_a_class_are_its_own(self):
        class One(MallowbeamError):
            code = "ONE"
            remedy = "none"

        class Two(One):
            codes = ("TWO_A", "TWO_B")

        self.assertEqual((codes_of(One), codes_of(Two)), (("ONE",), ("TWO_A", "TWO_B")))

    def test_a_shared_code_is_refused(self):
        first = type("First", (MallowbeamError,), {"code": "SHARED_BY_TWO", "remedy": "none"})
        second = type("Second", (MallowbeamError,), {"code": "SHARED_BY_TWO", "remedy": "none"})
        with self.assertRaisesRegex(ValueError, "SHARED_BY_TWO"):
            code_table()
        first.code, second.code = "SHARED_FIRST", "SHARED_SECOND"
        code_table()


if __name__ == "__main__":
    unittest.main()
