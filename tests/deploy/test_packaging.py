"""What the project file says: all packages are shipped, and held to strict types."""

from __future__ import annotations

import tomllib
import unittest

from project_paths import ROOT


def project() -> dict:
    return tomllib.loads((ROOT / "pyproject.toml").read_text())


def packages() -> set[str]:
    """Every package in the tree."""
    found = (ROOT / "mallowbeam").rglob("__init__.py")
    return {".".join(path.parent.relative_to(ROOT).parts) for path in found}


class Packaging(unittest.TestCase):
    def test_every_package_is_shipped(self) -> None:
        self.assertEqual(set(project()["tool"]["setuptools"]["packages"]), packages())

    def test_every_package_is_held_to_strict_types(self) -> None:
        judged = {name.replace("/", ".") for name in project()["tool"]["mypy"]["files"]}
        self.assertTrue(project()["tool"]["mypy"]["strict"])
        left = {name for name in packages() if not any(f"{name}.".startswith(f"{one}.") for one in judged)}
        self.assertEqual(left, set())

    def test_no_module_is_exempt_from_type_errors(self) -> None:
        ignored = {
            name
            for override in project()["tool"]["mypy"]["overrides"]
            if override.get("ignore_errors")
            for name in override["module"]
        }
        self.assertEqual(ignored, set())

    def test_the_fleet_s_extra_is_what_its_build_installs(self) -> None:
        lines = (ROOT / "deploy" / "system-requirements.txt").read_text().splitlines()
        pins = [line for line in lines if line and not line.startswith("#")]
        self.assertEqual(project()["project"]["optional-dependencies"]["system"], pins)


if __name__ == "__main__":
    unittest.main()
