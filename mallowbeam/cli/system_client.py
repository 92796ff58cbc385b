"""An HTTP client of the control plane: each call is retried at the members in turn, with exponential backoff.

Every call must be idempotent: a member that has already executed a call acknowledges it again.
"""

from __future__ import annotations

import http.client
import json
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import urlsplit

from mallowbeam.cli.system_errors import (
    BadAnswerError,
    CallOutcomeUnknownError,
    CallRefusedError,
    ControlAddressError,
    NoAnswerError,
)
from mallowbeam.router.error_body import ErrorBody

CONNECT_TIMEOUT_S = 1.0  # for opening a connection
ANSWER_TIMEOUT_S = 3.0  # for an answer
MIN_BYTES_PER_S = 1_000_000  # extends the answer's timeout by the request body's length
CALL_TIMEOUT_S = 15.0  # for a call with all its retries
INITIAL_BACKOFF_S = 0.1  # between two rounds over the members; doubles up to MAX_BACKOFF_S
MAX_BACKOFF_S = 1.0
MAX_REDIRECTS = 2
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_ERROR_TEXT_BYTES = 200  # shown of an error body that does not follow the control API
RETRYABLE_CLIENT_ERRORS = frozenset(  # 4xx statuses that do not reject the call itself
    (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS)
)
NOT_EXECUTED = frozenset(  # statuses which guarantee that nothing was changed
    (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
REDIRECTS = frozenset((HTTPStatus.TEMPORARY_REDIRECT, HTTPStatus.PERMANENT_REDIRECT))
SUCCESS = 2  # first digit of an HTTP status
CLIENT_ERROR = 4  # likewise
MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Call:
    """One call to the control API."""

    method: str
    path: str
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer and the address of the member that gave it."""

    status: int
    body: bytes
    address: str
    location: str = ""  # of a redirect

    def document(self) -> dict[str, object]:
        """Parse the body as a JSON object; raises :class:`BadAnswerError`."""
        try:
            document = json.loads(self.body)
        except ValueError:
            raise BadAnswerError("the body is not JSON", self.address) from None
        if not isinstance(document, dict):
            raise BadAnswerError("the body is not a JSON object", self.address)
        return document


@dataclass(frozen=True, slots=True)
class Failure:
    """An attempt without a conclusive answer."""

    reason: str
    may_have_executed: bool  # False: the call certainly changed nothing


def read_addresses(text: str) -> tuple[str, ...]:
    """Parse the members' addresses from HOST:PORT,HOST:PORT; raises :class:`ControlAddressError`."""
    addresses = tuple(item.strip() for item in text.split(",") if item.strip())
    for address in addresses:
        if not _is_address(address):
            raise ControlAddressError("not HOST:PORT", address)
    if not addresses:
        raise ControlAddressError("no address given")
    return addresses


class ControlClient:
    """Calls the members in turn until one answers conclusively or `timeout_s` seconds have passed."""

    def __init__(
        self,
        addresses: Sequence[str],
        timeout_s: float = CALL_TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.addresses = tuple(addresses)
        self._timeout_s = timeout_s
        self._clock = clock
        self._sleep = sleep

    def call(self, call: Call) -> Answer:
        """Return a conclusive answer: a 2xx or a 404.

        Raises :class:`CallRefusedError` for any other conclusive answer, :class:`NoAnswerError` if no member
        executed the call, :class:`CallOutcomeUnknownError` if one may have.
        """
        deadline = self._clock() + self._timeout_s
        backoff = INITIAL_BACKOFF_S
        may_have_executed = False
        reasons = dict.fromkeys(self.addresses, "not asked")
        while True:
            for address in self.addresses:
                outcome = conclusive_answer(ask_member(address, call))
                if isinstance(outcome, Answer):
                    return outcome
                reasons[address] = outcome.reason
                may_have_executed = may_have_executed or outcome.may_have_executed
                if self._clock() >= deadline:
                    break
            if self._clock() + backoff >= deadline:
                break
            self._sleep(backoff)
            backoff = min(2 * backoff, MAX_BACKOFF_S)
        what = "; ".join(f"{address}: {reason}" for address, reason in reasons.items())
        where = f"{call.method} {call.path}"
        if may_have_executed and call.method != "GET":
            raise CallOutcomeUnknownError(what, where)
        raise NoAnswerError(what, where)


def ask_member(address: str, call: Call) -> Answer | Failure:
    """Send the call to a member once and follow at most `MAX_REDIRECTS` redirects."""
    path = call.path
    for _ in range(MAX_REDIRECTS + 1):
        outcome = _exchange(address, path, call)
        if isinstance(outcome, Failure) or outcome.status not in REDIRECTS:
            return outcome
        target = urlsplit(outcome.location)
        if target.scheme != "http" or not _is_address(target.netloc):
            return Failure(f"redirect to {outcome.location!r}", False)
        address, path = target.netloc, target.path or "/"
    return Failure("too many redirects", False)


def conclusive_answer(outcome: Answer | Failure) -> Answer | Failure:
    """Return a 2xx or 404 as it is, and any other answer that permits a retry as a failure.

    Raises :class:`CallRefusedError` if the answer refuses the call and a retry is useless.
    """
    if isinstance(outcome, Failure):
        return outcome
    status_class = outcome.status // 100
    if status_class == SUCCESS or outcome.status == HTTPStatus.NOT_FOUND:
        return outcome
    reason = f"{outcome.status}: {_error_text(outcome)}"
    if status_class == CLIENT_ERROR and outcome.status not in RETRYABLE_CLIENT_ERRORS:
        raise CallRefusedError(reason, outcome.address)
    return Failure(reason, outcome.status not in NOT_EXECUTED)


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _is_address(text: str) -> bool:
    """Whether a text is HOST:PORT."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT


def _exchange(address: str, path: str, call: Call) -> Answer | Failure:
    """Send one request on a new connection and read the answer."""
    connection = http.client.HTTPConnection(*_split_address(address), timeout=CONNECT_TIMEOUT_S)
    try:
        connection.connect()
    except OSError as error:
        return Failure(_reason(error), False)
    try:
        connection.sock.settimeout(ANSWER_TIMEOUT_S + len(call.body) / MIN_BYTES_PER_S)
        connection.request(call.method, path, call.body or None, dict(call.headers))
        response = connection.getresponse()
        body = response.read(MAX_ANSWER_BYTES + 1)
    except (OSError, http.client.HTTPException) as error:
        return Failure(_reason(error), True)
    finally:
        connection.close()
    if len(body) > MAX_ANSWER_BYTES:
        return Failure("the answer is too long", True)
    return Answer(response.status, body, address, response.getheader("Location", ""))


def _reason(error: Exception) -> str:
    return str(error) or type(error).__name__


def _error_text(answer: Answer) -> str:
    """The error text of an answer, on one line."""
    error = ErrorBody.parse(answer.body)
    if error is not None:
        return error.line
    return answer.body[:MAX_ERROR_TEXT_BYTES].decode(errors="replace").replace("\n", " ")
