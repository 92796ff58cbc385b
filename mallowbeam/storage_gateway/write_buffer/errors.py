"""Errors of the segmented log."""

from __future__ import annotations

from mallowbeam.errors import MallowbeamError


class DiskFullError(MallowbeamError):
    """There was no disk space for a batch; none of it is in the log."""

    error_name = "DiskFull"
    remedy = "make room on the disk; the buffer goes on by itself"


class LogIOError(MallowbeamError):
    """A batch or a read failed for another reason; the file of a failed batch is no longer trusted."""

    error_name = "Failed"
    remedy = "look at the disk, then run mallowbeam buffer verify on the folder"
