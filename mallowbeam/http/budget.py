"""Limits the body bytes that a server's connections buffer together; one large body at a time."""

from __future__ import annotations

from math import inf

TOO_MANY_BODIES = "too many bodies at once"
ANOTHER_LARGE_BODY = "another large body is under way"


class BodyBudget:
    """Limit on the body bytes that the connections of one server buffer together.

    With `large_threshold`, only one body larger than that many bytes is buffered at a time.  Its bytes past
    that size are not charged to the budget, so other bodies are not rejected because of it.
    """

    def __init__(self, limit_bytes: int, large_threshold: float = inf) -> None:
        self.configured_limit = self.limit = limit_bytes  # total; less while another process has a share
        self.used = 0
        self.large_body_from = large_threshold
        self.large_body_of: object | None = None  # the message whose body is the large one, if any


class BudgetReservation:
    """The bytes that one connection has reserved of a budget; without a budget there is no limit."""

    def __init__(self, budget: BodyBudget | None) -> None:
        self._budget = budget
        self._bytes = 0
        self._large_message: object | None = None  # set if this connection holds the large body

    def expect(self, message: object, size: int) -> str | None:
        """Announce a body of `size` bytes; return the reason if it must be rejected, else None."""
        budget = self._budget
        if budget is None or size <= budget.large_body_from or self._large_message is message:
            return None
        if budget.large_body_of is not None:
            return ANOTHER_LARGE_BODY
        budget.large_body_of = self._large_message = message
        return None

    def charge(self, message: object, received_bytes: int, count: int) -> str | None:
        """Charge `count` more bytes of a body that now has `received_bytes`; return as `expect` does."""
        refusal = self.expect(message, received_bytes)
        budget = self._budget
        if refusal is not None or budget is None or self._large_message is message:
            return refusal
        self._bytes += count
        budget.used += count
        return TOO_MANY_BODIES if budget.used > budget.limit else None

    def release(self) -> None:
        """Return all reserved bytes, once the bodies are answered or their connection has closed."""
        if self._budget is None:
            return
        self._budget.used -= self._bytes
        self._bytes = 0
        if self._large_message is not None:
            self._budget.large_body_of = self._large_message = None
