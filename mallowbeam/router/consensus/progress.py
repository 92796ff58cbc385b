"""What a leader knows of one other member, and what it may send to it next."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

from mallowbeam.router.consensus.transfer import Transfer


class Mode(Enum):
    """How entries go to a member."""

    PROBE = "probe"  # one message at a time, until the logs are known to meet
    REPLICATE = "replicate"  # a stream of messages without waiting for answers
    TRANSFER = "transfer"  # a snapshot or a large entry is under way, nothing else


@dataclass(frozen=True, slots=True)
class AppendInFlight:
    """An append with entries that is not answered yet."""

    last_index: int
    payload_bytes: int


class Progress:
    """A leader's view of one other member."""

    def __init__(self, next_index: int, now: float) -> None:
        self.mode = Mode.PROBE
        self.match_index = 0  # known to be equal and durable there
        self.next_index = next_index  # the next entry to send
        self.commit_told = 0  # the highest commit index sent
        self.acknowledged_round = 0
        self.last_heard = now  # at first, when it was taken in
        self.probe_sent = False
        self.transfer: Transfer | None = None  # what is under way in chunks
        self._in_flight: deque[AppendInFlight] = deque()
        self._bytes_in_flight = 0

    @property
    def knows_match(self) -> bool:
        """Whether the member has all before the next entry, and nothing is on its way."""
        return self.mode is Mode.REPLICATE and self.match_index == self.next_index - 1

    def may_send(self, messages_in_flight: int, bytes_in_flight: int) -> bool:
        """Whether entries may be sent now."""
        if self.mode is Mode.PROBE:
            return not self.probe_sent
        if self.mode is Mode.TRANSFER:
            return False
        return len(self._in_flight) < messages_in_flight and self._bytes_in_flight < bytes_in_flight

    def entries_sent(self, last_index: int, payload_bytes: int) -> None:
        """Note that entries up to `last_index` were sent."""
        if self.mode is Mode.PROBE:
            self.probe_sent = True
        else:
            self.next_index = last_index + 1
            self._in_flight.append(AppendInFlight(last_index, payload_bytes))
            self._bytes_in_flight += payload_bytes

    def begin_transfer(self, transfer: Transfer) -> None:
        """Note that a snapshot or an entry is being sent in chunks."""
        self.mode = Mode.TRANSFER
        self.transfer = transfer
        self._forget_in_flight()

    def give_up_transfer(self) -> None:
        """End a transfer that gets no answer; entries are tried next."""
        self.mode = Mode.PROBE
        self.transfer = None
        self.probe_sent = True  # until the member is heard again

    def heard(self, round_number: int, now: float) -> None:
        """Note an answer, whatever it says."""
        self.last_heard = now
        self.acknowledged_round = max(self.acknowledged_round, round_number)

    def in_touch(self, since: float) -> bool:
        """Whether the member has answered, and has done so since then."""
        return self.acknowledged_round > 0 and self.last_heard >= since

    def matched(self, index: int) -> bool:
        """Note that the logs are equal up to `index`; whether that is more than was known."""
        advanced = index > self.match_index
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self._in_flight and self._in_flight[0].last_index <= self.match_index:
            self._bytes_in_flight -= self._in_flight.popleft().payload_bytes
        if self.transfer is not None and self.match_index < self.transfer.index:
            return advanced
        self.mode = Mode.REPLICATE
        self.transfer = None
        self.probe_sent = False
        return advanced

    def rejected(self, hint_index: int) -> None:
        """Back off after a refusal; one that tells nothing new is left to the next heartbeat."""
        if self.mode is Mode.TRANSFER or hint_index + 1 >= self.next_index:
            return
        next_index = max(self.match_index, hint_index) + 1
        probe_again = next_index < self.next_index or self.mode is Mode.REPLICATE
        self.next_index = next_index
        self.mode = Mode.PROBE
        self.probe_sent = not probe_again
        self._forget_in_flight()

    def _forget_in_flight(self) -> None:
        self._in_flight.clear()
        self._bytes_in_flight = 0
