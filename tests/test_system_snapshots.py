"""A member that was away for many or large changes comes back over slow links: the real member, simulated."""

from __future__ import annotations

import unittest
from pathlib import Path

from system_bulk import BulkPlayer

from mallowbeam.simulation.scenario import scenario_tests

FOLDER = Path(__file__).parent / "scenarios" / "system_bulk"

BulkScenarios = scenario_tests(FOLDER, BulkPlayer)


if __name__ == "__main__":
    unittest.main()
