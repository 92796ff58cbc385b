"""Runs a program text in a Python process of its own."""

from __future__ import annotations

import os
import subprocess
import sys

from project_paths import ROOT

TIMEOUT_S = 30.0


def run_python(program: str, **environment: str) -> subprocess.CompletedProcess[str]:
    """Run a program from the repository's root until it ends; `environment` adds to this process's own."""
    return subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1", **environment},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
