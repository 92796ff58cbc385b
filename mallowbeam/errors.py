"""The base of the project's error types: what went wrong, where, and what an operator can do.

The command line, the pages' JSON answers and the log show the same three through `line` and `told`.  A class
states a `remedy` that holds for all of its errors; one that knows better is given its own.
"""

from __future__ import annotations

from typing import ClassVar


class MallowbeamError(Exception):
    """An error of the project; `remedy` is one sentence that tells an operator what to do."""

    remedy: ClassVar[str] = ""

    def __init__(self, what: str = "", where: str = "", remedy: str = "") -> None:
        super().__init__(what)
        self.what, self.where, self.cure = what, where, remedy or self.remedy

    def __str__(self) -> str:
        """Where and what."""
        return f"{self.where}: {self.what}" if self.where else self.what

    @property
    def line(self) -> str:
        """All of it on one line."""
        return f"{self} ({self.cure})" if self.cure else str(self)

    def told(self) -> dict[str, str]:
        """The same for a JSON answer."""
        return {"error": type(self).__name__, "what": self.what, "where": self.where, "remedy": self.cure}
