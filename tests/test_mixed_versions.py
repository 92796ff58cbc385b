"""Runs the mixed-version trials in short form, with one version on both sides, to test the trials themselves.

The full trials compare two work trees and take minutes: see the docstrings of
`tests/support/mixed_fleet.py` and `tests/support/mixed_storage_gateways.py`.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys

import pytest
from project_paths import ROOT

TIMEOUT_S = 240.0  # each trial takes about 10 s alone; only a failure comes near the limit


@pytest.mark.parametrize(
    "script",
    [("mixed_fleet.py", "--leader", "new"), ("mixed_storage_gateways.py", "--buffer", "off")],
    ids=lambda command: command[0],
)
def test_a_short_trial_ends_without_a_violation(script):
    name, *options = script
    completed = subprocess.run(
        [sys.executable, str(ROOT / "tests" / "support" / name), str(ROOT), str(ROOT), "--quick", *options],
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    results = json.loads(completed.stdout.splitlines()[-1])
    assert results and not any(result["violations"] for result in results)
