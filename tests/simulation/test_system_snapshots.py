"""A member that was away for many or large changes comes back over slow links: the real member, simulated."""

from __future__ import annotations

import unittest

from project_paths import SCENARIOS as SCENARIO_FOLDER
from system_bulk import BulkPlayer

from mallowbeam.simulation.scenario import scenario_tests

FOLDER = SCENARIO_FOLDER / "system_bulk"

BulkScenarios = scenario_tests(FOLDER, BulkPlayer)


if __name__ == "__main__":
    unittest.main()
