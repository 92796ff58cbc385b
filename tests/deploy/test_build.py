"""The platform's build (`deploy/build.sh`): a .venv is whole or remade, and two builds take turns."""

from __future__ import annotations

import fcntl
import shutil
import subprocess
import time
from pathlib import Path

import pytest
from project_paths import ROOT

pytestmark = pytest.mark.skipif(shutil.which("flock") is None, reason="the build takes turns by flock(1)")


def checkout(tmp_path: Path) -> Path:
    """A root with the build script, a package to compile and no requirements: pip needs no network."""
    (tmp_path / "deploy").mkdir()
    shutil.copy(ROOT / "deploy" / "build.sh", tmp_path / "deploy" / "build.sh")
    (tmp_path / "mallowbeam").mkdir()
    (tmp_path / "mallowbeam" / "__init__.py").write_text("")
    (tmp_path / "requirements.txt").write_text("")
    return tmp_path


def build(root: Path) -> subprocess.Popen[bytes]:
    return subprocess.Popen(["sh", "deploy/build.sh"], cwd=root)


def usable(root: Path) -> bool:
    pip = subprocess.run(
        [root / ".venv/bin/python", "-m", "pip", "--version"], capture_output=True, check=False
    )
    return pip.returncode == 0


def test_a_half_made_venv_is_remade(tmp_path: Path) -> None:
    root = checkout(tmp_path)
    (root / ".venv" / "bin").mkdir(parents=True)  # as a build cut off after its first folder leaves it
    assert build(root).wait() == 0
    assert usable(root)
    assert list((root / "mallowbeam" / "__pycache__").glob("__init__.*.pyc"))


def test_a_whole_venv_is_kept(tmp_path: Path) -> None:
    root = checkout(tmp_path)
    assert build(root).wait() == 0
    before = (root / ".venv" / "pyvenv.cfg").stat().st_ino
    assert build(root).wait() == 0
    assert (root / ".venv" / "pyvenv.cfg").stat().st_ino == before


def test_a_second_build_waits_for_the_first(tmp_path: Path) -> None:
    root = checkout(tmp_path)
    with open(root / ".venv.lock", "a") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)  # a first build under way
        second = build(root)
        time.sleep(1.0)
        assert second.poll() is None and not (root / ".venv").exists()
        fcntl.flock(lock, fcntl.LOCK_UN)
    assert second.wait() == 0
    assert usable(root)
