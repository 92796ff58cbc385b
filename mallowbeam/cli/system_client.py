"""Calls to the control plane: any member may be asked, and the next one is after a failure.

A call that is repeated must be one that a member acknowledges again where it was taken before.
"""

from __future__ import annotations

import http.client
import json
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from urllib.parse import urlsplit

from mallowbeam.cli.system_errors import (
    BadAnswerError,
    CallOutcomeUnknownError,
    CallRefusedError,
    ControlAddressError,
    NoAnswerError,
)
from mallowbeam.router.error_body import ErrorBody

CONNECT_S = 1.0  # seconds for a connection to come up
ANSWER_S = 3.0  # seconds for an answer
BYTES_PER_S = 1_000_000  # a body's length adds to the time for an answer
WAIT_S = 15.0  # seconds for a call with all its repeats
FIRST_PAUSE_S = 0.1  # between two rounds over the members; doubles up to the longest
LONGEST_PAUSE_S = 1.0
MOST_REDIRECTS = 2
MOST_ANSWER_BYTES = 64 * 1024 * 1024
MOST_ERROR_TEXT = 200  # bytes shown of an error that is not in the control API's form
ASK_ANOTHER = frozenset((408, 429))  # of the 4xx: they say nothing of the call itself
NOT_EXECUTED = frozenset((408, 429, 503))  # answers which promise that nothing was changed
REDIRECTS = frozenset((307, 308))


@dataclass(frozen=True, slots=True)
class Call:
    """One call to the control API."""

    method: str
    path: str
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Answer:
    """A clear answer, and the member that gave it."""

    status: int
    body: bytes
    address: str
    location: str = ""  # of a redirect

    def document(self) -> dict[str, object]:
        """The body as a JSON object; raises :class:`BadAnswerError`."""
        try:
            document = json.loads(self.body)
        except ValueError:
            raise BadAnswerError("no JSON", self.address) from None
        if not isinstance(document, dict):
            raise BadAnswerError("no JSON object", self.address)
        return document


@dataclass(frozen=True, slots=True)
class Failure:
    """One attempt that brought no clear answer."""

    reason: str
    perhaps_taken: bool


def read_addresses(text: str) -> tuple[str, ...]:
    """The members' addresses from HOST:PORT,HOST:PORT; raises :class:`ControlAddressError`."""
    addresses = tuple(part.strip() for part in text.split(",") if part.strip())
    for address in addresses:
        if not _is_address(address):
            raise ControlAddressError("no HOST:PORT", address)
    if not addresses:
        raise ControlAddressError("no address")
    return addresses


class ControlClient:
    """Asks the members one after another until one gives a clear answer."""

    def __init__(
        self,
        addresses: Sequence[str],
        wait_s: float = WAIT_S,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.addresses = tuple(addresses)
        self._wait_s, self._clock, self._sleep = wait_s, clock, sleep

    def call(self, call: Call) -> Answer:
        """A 2xx or 404; raises a :class:`FleetCommandError` for all else."""
        deadline = self._clock() + self._wait_s
        pause, perhaps_taken, reasons = FIRST_PAUSE_S, False, dict.fromkeys(self.addresses, "not asked")
        while True:
            for address in self.addresses:
                outcome = clear_answer(ask_member(address, call))
                if isinstance(outcome, Answer):
                    return outcome
                reasons[address] = outcome.reason
                perhaps_taken = perhaps_taken or outcome.perhaps_taken
                if self._clock() >= deadline:
                    break
            if self._clock() + pause >= deadline:
                break
            self._sleep(pause)
            pause = min(2 * pause, LONGEST_PAUSE_S)
        what = "; ".join(f"{address}: {reason}" for address, reason in reasons.items())
        where = f"{call.method} {call.path}"
        if perhaps_taken and call.method != "GET":
            raise CallOutcomeUnknownError(what, where)
        raise NoAnswerError(what, where)


def ask_member(address: str, call: Call) -> Answer | Failure:
    """One attempt at a member, with its redirects."""
    path = call.path
    for _ in range(MOST_REDIRECTS + 1):
        outcome = _exchange(address, path, call)
        if isinstance(outcome, Failure) or outcome.status not in REDIRECTS:
            return outcome
        target = urlsplit(outcome.location)
        if target.scheme != "http" or not _is_address(target.netloc):
            return Failure(f"redirect to {outcome.location!r}", False)
        address, path = target.netloc, target.path or "/"
    return Failure("too many redirects", False)


def clear_answer(outcome: Answer | Failure) -> Answer | Failure:
    """The answer where it is a clear one; raises :class:`CallRefusedError` where it refuses the call."""
    if isinstance(outcome, Failure) or 200 <= outcome.status < 300 or outcome.status == 404:
        return outcome
    told = f"{outcome.status}: {_told(outcome)}"
    if 400 <= outcome.status < 500 and outcome.status not in ASK_ANOTHER:
        raise CallRefusedError(told, outcome.address)
    return Failure(told, outcome.status not in NOT_EXECUTED)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _is_address(text: str) -> bool:
    """Whether a text is HOST:PORT."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and 0 < int(port) < 65536


def _exchange(address: str, path: str, call: Call) -> Answer | Failure:
    """One request and its answer on a connection of its own."""
    connection = http.client.HTTPConnection(*_split(address), timeout=CONNECT_S)
    try:
        connection.connect()
    except OSError as error:
        return Failure(_reason(error), False)
    try:
        connection.sock.settimeout(ANSWER_S + len(call.body) / BYTES_PER_S)
        connection.request(call.method, path, call.body or None, dict(call.headers))
        response = connection.getresponse()
        body = response.read(MOST_ANSWER_BYTES + 1)
    except (OSError, http.client.HTTPException) as error:
        return Failure(_reason(error), True)
    finally:
        connection.close()
    if len(body) > MOST_ANSWER_BYTES:
        return Failure("the answer is too long", True)
    return Answer(response.status, body, address, response.getheader("Location", ""))


def _reason(error: Exception) -> str:
    return str(error) or type(error).__name__


def _told(answer: Answer) -> str:
    """What an answer says of its error, on one line."""
    error = ErrorBody.parse(answer.body)
    if error is not None:
        return error.line
    return answer.body[:MOST_ERROR_TEXT].decode(errors="replace").replace("\n", " ")
