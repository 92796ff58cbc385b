"""What a way loses, in one unit: shares of the request's worth, by time to the first token and by prices.

Time is lost by the request itself and by those that it keeps waiting: a resource that is taken for `s`
seconds while `a` requests a second come to it delays about `a * s` of them, by half of `s` on average.
Their worth and target latency are taken to be like the request's own.
"""

from __future__ import annotations

from mallowbeam.router.pairing.instances import InstanceBook, InstanceTable
from mallowbeam.router.pairing.load import FleetLoad
from mallowbeam.router.pairing.prompt import Prompt
from mallowbeam.router.pairing.settings import PairingSettings
from mallowbeam.router.pairing.stages import DECODE

REJECTED_LOSS, NO_ROOM_LOSS = 5.0, 10.0  # so that such instances come after all others
LEAST_TARGET_S = 1e-3


class Losses:
    """The terms of a way's loss."""

    def __init__(self, settings: PairingSettings, table: InstanceTable, load: FleetLoad) -> None:
        self._settings, self._table, self._load = settings, table, load

    def late(self, first_token_s: float, prompt: Prompt) -> float:
        """By the request's own first token."""
        share = first_token_s / max(prompt.target_latency_s, LEAST_TARGET_S)
        half = self._settings.late_loss / 2
        return half * share**3 if share <= 1.0 else half * share

    def waiting(self, prompt: Prompt, book: InstanceBook, busy_s: float, now: float) -> float:
        """By requests that come to an instance while it is busy for `busy_s` more."""
        arrivals = self._load.arrivals(book.backend, book.stage, self._size(book), now)
        delayed_s = arrivals * busy_s * busy_s / 2
        return self._settings.wait_loss * delayed_s / max(prompt.target_latency_s, LEAST_TARGET_S)

    def interruption(self, book: InstanceBook, reading_s: float) -> float:
        """By reading between the tokens of the requests that a decode instance runs."""
        if book.stage != DECODE:
            return 0.0
        return self._settings.interruption_loss_per_s * (1 + self.running(book)) * reading_s

    def reread(self, prompt: Prompt, book: InstanceBook, home: InstanceBook | None) -> float:
        """Shared parts read away from home are read again; at home, others may have had them read."""
        if book is home or len(prompt.parts) < 2:
            return 0.0
        shared = prompt.parts[:-1]
        again = sum(part.tokens for part in shared) - book.kept.kept(shared)
        settings = self._settings
        return min(settings.reread_loss_most, settings.reread_loss_per_1000 * again / 1000.0)

    def crowd(self, book: InstanceBook) -> float:
        """Requests that run at a decode instance slow one another, and take its memory."""
        crowd = self.running(book) / book.slots
        return self._settings.crowd_loss * crowd * crowd

    def full(self, prompt: Prompt, book: InstanceBook, now: float) -> float:
        """An instance without room comes after all that have some."""
        loss = self.rejected(book, now)
        return loss if book.has_room(prompt.tokens + prompt.answer_tokens) else loss + NO_ROOM_LOSS

    def hand_over(self, reader: InstanceBook, decoder: InstanceBook, now: float) -> float:
        """By memory that is handed over: a move between zones has a price, and some fail."""
        settings = self._settings
        far = 0.0 if reader.zone == decoder.zone else settings.zone_move_loss
        return far + settings.hand_over_loss * reader.failures.value(0.0, 1.0, now)

    @staticmethod
    def rejected(book: InstanceBook, now: float) -> float:
        """An instance that rejected a request a moment ago comes after all others."""
        return REJECTED_LOSS if now < book.rejected_until else 0.0

    def running(self, book: InstanceBook) -> int:
        """Requests of all gateways at an instance, if the others have as many there as this one."""
        return book.places * self._load.gateways

    def _size(self, book: InstanceBook) -> int:
        return self._table.size(book.backend, book.stage)
