"""A bound on the bytes of bodies that a server's connections buffer together; one large body at a time."""

from __future__ import annotations

from math import inf

TOO_MANY_BODIES = "too many bodies at once"
ANOTHER_LARGE_BODY = "another large body is under way"


class BodyBudget:
    """Bytes of bodies that the connections of one server may hold together.

    With `large_from`, only one body of more bytes than that is held at a time, and what comes of it from then
    on does not count among the others: none of them is refused for its sake.
    """

    def __init__(self, most: int, large_from: float = inf) -> None:
        self.configured_limit = self.limit = most  # in all, and while another process has its part
        self.used = 0
        self.large_body_from = large_from
        self.large_body_of: object | None = None  # the message whose body is the large one


class BudgetReservation:
    """What one connection holds of a budget; without a budget all is allowed."""

    def __init__(self, budget: BodyBudget | None) -> None:
        self._budget = budget
        self._bytes = 0
        self._large: object | None = None  # the budget's large one, where it is held here

    def expect(self, message: object, size: int) -> str | None:
        """A message has, or will have, a body of so many bytes; why it can't be taken, None where it can."""
        budget = self._budget
        if budget is None or size <= budget.large_body_from or self._large is message:
            return None
        if budget.large_body_of is not None:
            return ANOTHER_LARGE_BODY
        budget.large_body_of = self._large = message
        return None

    def charge(self, message: object, came: int, count: int) -> str | None:
        """`count` more bytes of a body came, which has `came` of them now; as `expect`."""
        refusal = self.expect(message, came)
        budget = self._budget
        if refusal is not None or budget is None or self._large is message:
            return refusal
        self._bytes += count
        budget.used += count
        return TOO_MANY_BODIES if budget.used > budget.limit else None

    def release(self) -> None:
        """Give all back: the bodies are answered, or their connection is over."""
        if self._budget is None:
            return
        self._budget.used -= self._bytes
        self._bytes = 0
        if self._large is not None:
            self._budget.large_body_of = self._large = None
