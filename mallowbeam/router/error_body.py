"""The JSON body of a rejected call to the control API, built by members and read by the command line.

The form is ``{"error": {"code", "where", "what", "remedy"}}``; members of the object beside ``error`` are the
sender's business. The pages fix the status of a response only; this form is the project's own.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

from mallowbeam.errors import MallowbeamError


@dataclass(frozen=True, slots=True)
class ErrorBody:
    """One error as it is sent to a caller."""

    code: str  # stable identifier for programs
    where: str  # path in the document, header or address at fault; empty where there is none
    what: str
    remedy: str  # one sentence for an operator

    @classmethod
    def from_error(cls, error: MallowbeamError) -> ErrorBody:
        """Describe an error of the project; one without a code is identified by its error name."""
        code = error.code or error.error_name
        return cls(code=code, where=error.where, what=error.what, remedy=error.remedy_text)

    @classmethod
    def parse(cls, body: bytes) -> ErrorBody | None:
        """Read a response body; None if it does not contain a complete error object."""
        try:
            error = json.loads(body)["error"]
            return cls(
                code=str(error["code"]),
                where=str(error["where"]),
                what=str(error["what"]),
                remedy=str(error["remedy"]),
            )
        except (ValueError, KeyError, TypeError):
            return None

    def fields(self) -> dict[str, str]:
        """The object that is sent under ``error``, in the order in which it is written."""
        return {"code": self.code, "where": self.where, "what": self.what, "remedy": self.remedy}

    @property
    def line(self) -> str:
        """All fields on one line, for a terminal or the log."""
        return f"{self.code} {self.where} {self.what} ({self.remedy})"
