"""The router fleet's build: each command that it runs comes from a package that deploy/system.toml lists."""

from __future__ import annotations

import re
import tomllib
import unittest

from project_paths import DEPLOY

SYSTEM = tomllib.loads((DEPLOY / "system.toml").read_text())
SHELL_PACKAGE = "dash"
SHELL_BUILT_INS = frozenset({"[", ":", "cd", "exit", "set"})
PACKAGE_OF_COMMAND = {
    "cut": "coreutils",
    "dirname": "coreutils",
    "mkdir": "coreutils",
    "mv": "coreutils",
    "python3": "python3",
    "rm": "coreutils",
    "sh": SHELL_PACKAGE,
    "sha256sum": "coreutils",
}
PACKAGE_OF_MODULE = {"compileall": "python3", "mallowbeam": "python3", "pip": "python3-pip"}
LINKED_LIBRARIES = ("libc6", "libgcc-s1", "libstdc++6")  # by the compiled modules of the libraries
COMMAND = re.compile(r"(?:^|[;&|(`])[ \t]*([^\s;&|()`\"'<>]+)", re.MULTILINE)
ASSIGNMENT = re.compile(r"\w+=")
MODULE = re.compile(r"python3 -m (\S+)")


def without_comments(script: str) -> str:
    return "\n".join(line for line in script.splitlines() if not line.lstrip().startswith("#"))


def commands_of(script: str) -> set[str]:
    """The words in the place of a command, in substitutions too."""
    words = set(COMMAND.findall(without_comments(script)))
    return {word for word in words if not ASSIGNMENT.match(word)}


def unlisted(script: str, packages: list[str]) -> set[str]:
    """Commands and Python modules of a script that no listed package is known to bring."""
    missing = set()
    for command in commands_of(script) - SHELL_BUILT_INS:
        if PACKAGE_OF_COMMAND.get(command) not in packages:
            missing.add(command)
    for module in MODULE.findall(without_comments(script)):
        if PACKAGE_OF_MODULE.get(module) not in packages:
            missing.add(module)
    return missing


class Packages(unittest.TestCase):
    packages = SYSTEM["packages"]

    def test_the_list_is_not_empty_and_names_each_package_once(self):
        self.assertTrue(self.packages)
        self.assertEqual(len(self.packages), len(set(self.packages)))
        for package in self.packages:
            self.assertRegex(package, r"^[a-z0-9][a-z0-9+.-]+$")

    def test_the_build_uses_no_command_without_a_package(self):
        script = (DEPLOY / "build-system.sh").read_text()
        self.assertEqual(unlisted(script, self.packages), set())
        self.assertEqual(unlisted(SYSTEM["build"], self.packages), set())

    def test_the_roles_use_no_command_without_a_package(self):
        for role in SYSTEM["roles"].values():
            self.assertEqual(unlisted(role["run"], self.packages), set())

    def test_the_shell_and_the_libraries_that_wheels_are_linked_against_are_listed(self):
        self.assertLessEqual({SHELL_PACKAGE, *LINKED_LIBRARIES, "ca-certificates"}, set(self.packages))


class Check(unittest.TestCase):
    """The check itself finds what is missing."""

    def test_commands_are_found_wherever_they_stand(self):
        script = 'stamp="$(sha256sum a | cut -c1)"\n[ -f b ] && exit 0\n# curl c\nd; e || f\n: > g\n`h i`\n'
        self.assertEqual(commands_of(script), {"sha256sum", "cut", "[", "exit", "d", "e", "f", ":", "h"})

    def test_an_unknown_command_and_an_unlisted_package_are_caught(self):
        packages = SYSTEM["packages"]
        script = (DEPLOY / "build-system.sh").read_text()
        self.assertEqual(unlisted(script + "curl -O x\n", packages), {"curl"})
        self.assertEqual(unlisted(script + "python3 -m venv x\n", packages), {"venv"})
        self.assertEqual(unlisted(script, [name for name in packages if name != "python3-pip"]), {"pip"})
        self.assertLessEqual({"python3", "mkdir", "pip"}, unlisted(script, []))


if __name__ == "__main__":
    unittest.main()
