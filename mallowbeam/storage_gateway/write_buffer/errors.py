"""What can go wrong with a batch of the log."""

from __future__ import annotations

from mallowbeam.errors import MallowbeamError


class DiskFull(MallowbeamError):
    """There was no room for a batch: nothing of it stands."""

    error_name = "DiskFull"
    remedy = "make room on the disk; the buffer goes on by itself"


class Failed(MallowbeamError):
    """A batch failed for another reason: its file is trusted no more, its bytes may stand there."""

    error_name = "Failed"
    remedy = "look at the disk, then run mallowbeam buffer verify on the folder"
