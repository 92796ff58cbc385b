"""Large configurations that do not compress, on the real store: the bounds of memory and disk hold."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import unittest

from project_paths import ROOT, SUPPORT

COUNT = 100  # by then, the file and the process have long stopped growing
BODY = 4 * 1024 * 1024
DISK_MB = 128
MOST_S = 300.0  # many times what it takes, so that a load which stands still fails
MEMORY_MIB = 296  # of a machine of the core


class LargeConfigurations(unittest.TestCase):
    def test_memory_and_disk_are_bounded(self) -> None:
        path = os.pathsep.join((str(ROOT), str(SUPPORT)))
        environment = {**os.environ, "PYTHONPATH": path, "PYTHONDONTWRITEBYTECODE": "1"}
        script = [sys.executable, str(SUPPORT / "snapshot_load.py"), str(COUNT), str(BODY), str(DISK_MB)]
        ended = subprocess.run(
            script, env=environment, capture_output=True, check=False, text=True, timeout=MOST_S
        )
        self.assertEqual(ended.returncode, 0, ended.stderr)
        seen = json.loads(ended.stdout.splitlines()[-1])
        self.assertGreaterEqual(seen["taken"], COUNT)
        self.assertEqual(seen["revision_read_back"], seen["taken"])
        self.assertLess(seen["peak_mib"], MEMORY_MIB)
        self.assertLessEqual(seen["file_mib"], DISK_MB // 2)


if __name__ == "__main__":
    unittest.main()
