"""Runs the mixed-version trials in short form, with one version on both sides, to test the trials themselves.

The full trials compare two work trees and take minutes: see the docstrings of
`tests/support/mixed_fleet.py` and `tests/support/mixed_storage_gateways.py`.
"""

from __future__ import annotations

import pytest
from project_paths import ROOT
from run_python import run_script

TIMEOUT_S = 240.0  # each trial takes about 10 s alone; only a failure comes near the limit


@pytest.mark.parametrize(
    "script",
    [("mixed_fleet.py", "--leader", "new"), ("mixed_storage_gateways.py", "--buffer", "off")],
    ids=lambda command: command[0],
)
def test_a_short_trial_ends_without_a_violation(script):
    name, *options = script
    results = run_script(name, str(ROOT), str(ROOT), "--quick", *options, timeout_s=TIMEOUT_S)
    assert results and not any(result["violations"] for result in results)
