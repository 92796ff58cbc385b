"""A member that missed many or large changes catches up over slow links: the real member on simulated I/O."""

from __future__ import annotations

import unittest

from project_paths import SCENARIOS as SCENARIO_FOLDER
from system_bulk import BulkPlayer

from mallowbeam.simulation.scenario import scenario_tests

FOLDER = SCENARIO_FOLDER / "system_bulk"

BulkScenarios = scenario_tests(FOLDER, BulkPlayer)


if __name__ == "__main__":
    unittest.main()
