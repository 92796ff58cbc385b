"""Errors of a member's store."""

from __future__ import annotations

from mallowbeam.errors import MallowbeamError


class StoreError(MallowbeamError):
    """Base of the store's errors: a stable code, the failed step and the system's error number."""

    code = "STORE"
    remedy = "look at the step and the error number, then at the machine's disk"

    def __init__(self, what: str, where: str = "", *, step: str = "", errno: int = 0) -> None:
        """`step` is open, check, put, commit, seal, sync, ...; `errno` is 0 if no system call failed."""
        super().__init__(what, where, step=step)
        self.errno = errno


class StoreDamagedError(StoreError):
    """The store contains data that no crash or power loss can leave: the disk is faulty."""

    code = "STORE_DAMAGED"
    remedy = "none needed: the member discards the store and joins as a new one; look at the disk"


class StoreVersionError(StoreError):
    """The store was written in a newer format version than this program can read."""

    code = "STORE_VERSION"
    remedy = "start the newer program again, or empty the data folder to let the member join as a new one"


class StoreFullError(StoreError):
    """The disk is full or the store's size limit is reached; the batch was not written."""

    code = "STORE_FULL"
    remedy = "make room on the disk; within the bound, a snapshot makes room by itself"


class StoreFailedError(StoreError):
    """A system call failed; the batch was not acknowledged and may be retried."""

    code = "STORE_FAILED"
    remedy = "look at the machine's disk; the member goes on by itself once the disk takes writes again"


class StoreOrderError(StoreError):
    """A call does not fit the stored state, such as entries that leave a gap: a bug in the caller."""

    code = "STORE_ORDER"
    remedy = "restart the member and report the fault with its log"
