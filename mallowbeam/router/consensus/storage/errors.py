"""What can go wrong with a member's store."""

from __future__ import annotations

from mallowbeam.errors import MallowbeamError


class StoreError(MallowbeamError):
    """The base of the store's errors: a stable code, the step that failed, and the system's error number."""

    code = "STORE"
    remedy = "look at the step and the error number, then at the machine's disk"

    def __init__(self, what: str, where: str = "", *, step: str = "", errno: int = 0) -> None:
        """`step` is open, check, put, commit, seal, sync, ...; `errno` is 0 where no system call failed."""
        super().__init__(what, where, step=step)
        self.errno = errno


class StoreDamagedError(StoreError):
    """The store holds something that can't have been written: its member has lost its disk."""

    code = "STORE_DAMAGED"
    remedy = "none needed: the member discards the store and joins as a new one; look at the disk"


class StoreVersionError(StoreError):
    """The store was written by a newer program, which this one can't read."""

    code = "STORE_VERSION"
    remedy = "start the newer program again, or empty the data folder to let the member join as a new one"


class StoreFullError(StoreError):
    """There was no room on the disk or within the store's bound: nothing of the batch stands."""

    code = "STORE_FULL"
    remedy = "make room on the disk; within the bound, a snapshot makes room by itself"


class StoreFailedError(StoreError):
    """The disk refused a step: nothing of the batch is claimed, and it may be tried again."""

    code = "STORE_FAILED"
    remedy = "look at the machine's disk; the member goes on by itself once the disk takes writes again"


class StoreOrderError(StoreError):
    """A call does not fit what is stored, such as entries that leave a gap: a fault of the caller."""

    code = "STORE_ORDER"
    remedy = "restart the member and report the fault with its log"
