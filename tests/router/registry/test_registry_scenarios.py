"""Scenario files of the registry."""

from __future__ import annotations

import unittest

from registry_player import play_folder


class RegistryScenarios(unittest.TestCase):
    def test_scenarios(self) -> None:
        play_folder(self, "registry")


if __name__ == "__main__":
    unittest.main()
