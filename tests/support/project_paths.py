"""Folders of the checkout that tests and their helpers read, so that no file counts its own depth."""

from __future__ import annotations

from pathlib import Path

SUPPORT = Path(__file__).resolve().parent
TESTS = SUPPORT.parent
ROOT = TESTS.parent
SCENARIOS = TESTS / "scenarios"
EXAMPLE = ROOT / "example"
DOCS = ROOT / "docs"
DEPLOY = ROOT / "deploy"
