"""Memory and disk usage stay within their limits under large incompressible configurations."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import unittest

from project_paths import ROOT, SUPPORT

CONFIGURATIONS = 100  # enough for the sizes of file and process to have stopped growing
BODY_BYTES = 4 * 1024 * 1024
DISK_MB = 128
TIMEOUT_S = 300.0  # many times the usual duration; a stalled load fails
MEMORY_MIB = 296  # memory of a control plane machine


class LargeConfigurations(unittest.TestCase):
    def test_memory_and_disk_are_bounded(self) -> None:
        path = os.pathsep.join((str(ROOT), str(SUPPORT)))
        environment = {**os.environ, "PYTHONPATH": path, "PYTHONDONTWRITEBYTECODE": "1"}
        script = [
            sys.executable,
            str(SUPPORT / "snapshot_load.py"),
            str(CONFIGURATIONS),
            str(BODY_BYTES),
            str(DISK_MB),
        ]
        process = subprocess.run(
            script, env=environment, capture_output=True, check=False, text=True, timeout=TIMEOUT_S
        )
        self.assertEqual(process.returncode, 0, process.stderr)
        report = json.loads(process.stdout.splitlines()[-1])
        self.assertGreaterEqual(report["taken"], CONFIGURATIONS)
        self.assertEqual(report["revision_read_back"], report["taken"])
        self.assertLess(report["peak_mib"], MEMORY_MIB)
        self.assertLessEqual(report["file_mib"], DISK_MB // 2)


if __name__ == "__main__":
    unittest.main()
