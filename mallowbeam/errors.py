"""The base class of the project's errors: what failed, where, and what an operator can do about it.

The command line, the JSON responses and the log render an error through `line` and `as_dict`.  A class sets a
default `remedy`, and the router fleet's classes a stable `code`; a raised error can override both.
"""

from __future__ import annotations

from typing import ClassVar


class MallowbeamError(Exception):
    """Base class of the project's errors; `remedy` is one sentence that tells an operator what to do."""

    error_name: ClassVar[str] = "MallowbeamError"
    """The type's name in responses and on the on-call page; it stays the same when the class is renamed."""
    remedy: ClassVar[str] = ""
    code: str = ""
    """Stable identifier for programs and the table of errors; empty for types that predate error codes."""
    step: str = ""
    """The operation that failed, in a word or two."""
    peer: int | str | None = None
    """The process where the error arose: a member's id, or an address."""

    def __init_subclass__(cls, **more: object) -> None:
        """Use the class name as `error_name` where the class sets none."""
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
        """Create the error.

        Args:
            what: Description of the failure.
            where: Position in a file or message; defaults to the peer.
            remedy: Overrides the class's remedy.
            code: Overrides the class's code.
            step: Overrides the class's step.
            peer: The process where the error arose: a member's id, or an address.
        """
        super().__init__(what)
        self.what = what
        self.where = where or _format_peer(peer)
        self.remedy_text = remedy or self.remedy
        self.code = code or self.code
        self.step = step or self.step
        self.peer = peer

    def __str__(self) -> str:
        """Return the position and the description."""
        return f"{self.where}: {self.what}" if self.where else self.what

    @property
    def line(self) -> str:
        """The position, the description and the remedy on one line."""
        return f"{self} ({self.remedy_text})" if self.remedy_text else str(self)

    def as_dict(self) -> dict[str, str]:
        """Return the error as the fields of a JSON response; code and step only where they are set."""
        fields = {
            "error": self.error_name,
            "what": self.what,
            "where": self.where,
            "remedy": self.remedy_text,
        }
        if self.code:
            fields["code"] = self.code
        if self.step:
            fields["step"] = self.step
        return fields


def _format_peer(peer: int | str | None) -> str:
    """Format a peer for an operator."""
    if peer is None:
        return ""
    return f"member {peer}" if isinstance(peer, int) else peer
