"""Scenario files of the feed."""

from __future__ import annotations

import unittest

from registry_player import play_folder


class FeedScenarios(unittest.TestCase):
    def test_scenarios(self) -> None:
        play_folder(self, "feed")


if __name__ == "__main__":
    unittest.main()
