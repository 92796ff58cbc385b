"""The trials of mixed versions, short and with one version twice: what they play and check works.

The trials proper have two work trees and take minutes: see the heads of `tests/support/mixed_fleet.py` and
`tests/support/mixed_storage_gateways.py`.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys

import pytest
from project_paths import ROOT

PATIENCE_S = 240.0  # each takes about ten seconds alone: only a failure comes near it


@pytest.mark.parametrize(
    "script",
    [("mixed_fleet.py", "--leader", "new"), ("mixed_storage_gateways.py", "--buffer", "off")],
    ids=lambda one: one[0],
)
def test_a_short_trial_ends_without_a_violation(script):
    name, *more = script
    ended = subprocess.run(
        [sys.executable, str(ROOT / "tests" / "support" / name), str(ROOT), str(ROOT), "--quick", *more],
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=PATIENCE_S,
        check=False,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
    results = json.loads(ended.stdout.splitlines()[-1])
    assert results and not any(result["violations"] for result in results)
