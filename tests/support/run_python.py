"""Runs Python source code, or a script of `tests/support`, in a separate process."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

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


def start_python(program: str, **environment: str) -> subprocess.Popen[str]:
    """Start a program in the repository's root, with its output in a pipe."""
    return subprocess.Popen(
        [sys.executable, "-c", program],
        cwd=ROOT,
        env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1", **environment},
        stdout=subprocess.PIPE,
        text=True,
    )


def run_script(name: str, *arguments: str, timeout_s: float) -> Any:
    """Run a script of `tests/support` that must succeed; return its last line of output, read as JSON."""
    completed = subprocess.run(
        [sys.executable, str(ROOT / "tests" / "support" / name), *arguments],
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=timeout_s,
        check=False,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    return json.loads(completed.stdout.splitlines()[-1])
