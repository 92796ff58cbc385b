"""Runs Python source code in a separate process."""

from __future__ import annotations

import os
import subprocess
import sys

from project_paths import ROOT

TIMEOUT_S = 30.0


def run_python(program: str, **environment: str) -> subprocess.CompletedProcess[str]:
    """Run a program in the repository's root until it ends; `environment` extends that of this process."""
    return subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1", **environment},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
