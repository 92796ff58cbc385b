"""Folders of the checkout, so that tests and helpers need not derive them from their own paths."""

from __future__ import annotations

from pathlib import Path

SUPPORT = Path(__file__).resolve().parent
TESTS = SUPPORT.parent
ROOT = TESTS.parent
SCENARIOS = TESTS / "scenarios"
EXAMPLE = ROOT / "example"
DOCS = ROOT / "docs"
DEPLOY = ROOT / "deploy"
