"""The base of the project's error types: what went wrong, where, and what an operator can do.

The command line, the pages' JSON answers and the log show the same through `line` and `told`.  A class
states a `remedy` that holds for all of its errors, and the router fleet's classes a `code` that stays the
same; an error that knows better is given its own.
"""

from __future__ import annotations

from typing import ClassVar


class MallowbeamError(Exception):
    """An error of the project; `remedy` is one sentence that tells an operator what to do."""

    error_name: ClassVar[str] = "MallowbeamError"
    """How answers and the on-call page name the type; it stays when the class is renamed."""
    remedy: ClassVar[str] = ""
    code: str = ""
    """A name for programs and for the table of errors; empty for types from before there was one."""
    step: str = ""
    """What was being done, in a word or two."""
    peer: int | str | None = None
    """The process at which it arose: a member's id, or an address."""

    def __init_subclass__(cls, **more: object) -> None:
        """A type that states no `error_name` goes by its class's name."""
        super().__init_subclass__(**more)
        if "error_name" not in vars(cls):
            cls.error_name = cls.__name__

    def __init__(
        self,
        what: str = "",
        where: str = "",
        remedy: str = "",
        *,
        code: str = "",
        step: str = "",
        peer: int | str | None = None,
    ) -> None:
        """Tell what is wrong; `where` is a place in a file or message, the peer where none is given."""
        super().__init__(what)
        self.what = what
        self.where = where or _name_of(peer)
        self.cure = remedy or self.remedy
        self.code = code or self.code
        self.step = step or self.step
        self.peer = peer

    def __str__(self) -> str:
        """Where and what."""
        return f"{self.where}: {self.what}" if self.where else self.what

    @property
    def line(self) -> str:
        """All of it on one line."""
        return f"{self} ({self.cure})" if self.cure else str(self)

    def told(self) -> dict[str, str]:
        """The same for a JSON answer, with the code and the step where they are known."""
        told = {"error": self.error_name, "what": self.what, "where": self.where, "remedy": self.cure}
        if self.code:
            told["code"] = self.code
        if self.step:
            told["step"] = self.step
        return told


def _name_of(peer: int | str | None) -> str:
    """A peer as an operator reads it."""
    if peer is None:
        return ""
    return f"member {peer}" if isinstance(peer, int) else peer
