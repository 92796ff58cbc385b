"""The control API: the operator's configuration, instances' heartbeats, and the member's status."""

from __future__ import annotations

import re
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from mallowbeam.errors import MallowbeamError
from mallowbeam.http.budget import ANOTHER_LARGE_BODY, BodyBudget
from mallowbeam.http.framing import Message
from mallowbeam.http.handler import Response
from mallowbeam.router.configuration.errors import ConfigurationError
from mallowbeam.router.configuration.parsing import ConfigurationParser
from mallowbeam.router.configuration.patch import parse_patch
from mallowbeam.router.configuration.versions import ConfigurationVersions, patch_command, put_command
from mallowbeam.router.control_plane.api_errors import (
    CallError,
    InvalidOutcomeError,
    LargeBodyError,
    OutcomeUnknownError,
    RevisionNotAboveError,
    VersionMismatchError,
)
from mallowbeam.router.control_plane.api_responses import SERVICE_UNAVAILABLE, body_reply, error_reply
from mallowbeam.router.control_plane.body_admission import (
    LARGE_BODY_BYTES,
    JobRunner,
    LargeBodyAdmission,
    run_in_thread,
)
from mallowbeam.router.control_plane.command_forwarder import CommandForwarder
from mallowbeam.router.control_plane.instance_service import InstanceService
from mallowbeam.router.control_plane.response_gate import (
    AppliedEntry,
    ConfirmedRead,
    ResponseGate,
    ResponseKind,
)
from mallowbeam.router.control_plane.status_page import StatusPage
from mallowbeam.router.registry.errors import HeartbeatError
from mallowbeam.router.registry.parse import check_id, parse_heartbeat
from mallowbeam.router.rpc.messages_pb2 import (
    ALREADY_DONE,
    DONE,
    INVALID_OUTCOME,
    REVISION_NOT_ABOVE,
    VERSION_MISMATCH,
    Command,
    PutConfiguration,
)

MAX_BODY_BYTES = 4 * 1024 * 1024  # of a configuration
MAX_SMALL_BODIES_BYTES = 24 * 1024 * 1024  # held in memory at once; further calls are rejected
CONFIG_PATH = b"/mallowbeam/config"
STATUS_PATH = b"/mallowbeam/status"
INSTANCES_PATH = b"/mallowbeam/instances/"
IF_MATCH = re.compile(rb'(?:W/)?"?(\d{1,19})"?\Z')
EMPTY_OBJECT = b"{}"
OK = 200
BAD_REQUEST = 400

REJECTIONS: dict[int, Callable[[], CallError]] = {
    VERSION_MISMATCH: lambda: VersionMismatchError("another version is current", "If-Match"),
    REVISION_NOT_ABOVE: lambda: RevisionNotAboveError("not above the current revision", "revision"),
    INVALID_OUTCOME: lambda: InvalidOutcomeError("the patch leads to no valid configuration", "upsert"),
}

Endpoint = Callable[[Message, float], Awaitable[tuple[int, bytes]]]


@dataclass(frozen=True, slots=True)
class ApiServices:
    """The parts of a member that serve the API's calls."""

    versions: ConfigurationVersions
    commands: CommandForwarder
    instances: InstanceService
    status: StatusPage
    gate: ResponseGate


class ControlApi:
    """The HTTP handler of the control address."""

    max_body = max_buffered_body = unread_body = MAX_BODY_BYTES

    def __init__(
        self, services: ApiServices, parser: ConfigurationParser, run_job: JobRunner = run_in_thread
    ) -> None:
        """`run_job` processes large bodies outside the event loop."""
        self.budget: BodyBudget | None = BodyBudget(MAX_SMALL_BODIES_BYTES, LARGE_BODY_BYTES)
        self._large_bodies = LargeBodyAdmission(parser, run_job)
        self._parser = parser
        self._versions = services.versions
        self._commands = services.commands
        self._instances = services.instances
        self._status = services.status
        self._gate = services.gate
        self._endpoints: dict[tuple[bytes, bytes], Endpoint] = {
            (CONFIG_PATH, b"PUT"): self._put_config,
            (CONFIG_PATH, b"PATCH"): self._patch_config,
            (CONFIG_PATH, b"GET"): self._get_config,
            (STATUS_PATH, b"GET"): self._get_status,
            (INSTANCES_PATH, b"PUT"): self._put_instance,
            (INSTANCES_PATH, b"DELETE"): self._delete_instance,
        }

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Response:
        """Serve one call; an error of the project becomes an error response."""
        since = request.completed_at or time.monotonic()
        try:
            status, body = await self._endpoint(request)(request, since)
        except CallError as error:
            return error_reply(error.status, error, closing(), self._status.other_controls())
        except ConfigurationError as error:
            return error_reply(error.status, error, closing())
        except HeartbeatError as error:
            return error_reply(BAD_REQUEST, error, closing())
        except MallowbeamError as error:
            return error_reply(SERVICE_UNAVAILABLE, error, closing(), self._status.other_controls())
        return body_reply(status, body, closing())

    def error_response(self, status: int, text: str, close: bool = True) -> Response:
        """Return the response to a violation of HTTP or of a limit, or to a call on a closing connection."""
        if text == ANOTHER_LARGE_BODY:
            return error_reply(status, LargeBodyError(text, "body"), close, self._status.other_controls())
        return error_reply(status, CallError(text, status=status), close)

    def finished(self, request: Message, status: int, whole: bool) -> None:
        """Do nothing: calls of the control API are not counted."""

    def _endpoint(self, request: Message) -> Endpoint:
        path = request.target.partition(b"?")[0]
        if path.startswith(INSTANCES_PATH):
            path = INSTANCES_PATH
        endpoint = self._endpoints.get((path, request.method))
        if endpoint is not None:
            return endpoint
        if any(known_path == path for known_path, _ in self._endpoints):
            raise CallError("method not allowed", path.decode("latin-1"), status=405)
        raise CallError("no such call", path.decode("latin-1"), status=404)

    # ------------------------------------------------------------ the operator's configuration

    async def _put_config(self, request: Message, since: float) -> tuple[int, bytes]:
        return await self._submit(await self._document_command(request, _base_revision(request)), since)

    async def _patch_config(self, request: Message, since: float) -> tuple[int, bytes]:
        return await self._submit(await self._patch_command(request, _base_revision(request)), since)

    async def _submit(self, change: PutConfiguration, since: float) -> tuple[int, bytes]:
        """Have a change committed, and return the status and body of the response."""
        self._gate.check_reachable()
        revision = change.revision
        command = Command(put_configuration=change)
        del change
        outcome = await self._commands.submit(command, since)
        evidence = AppliedEntry(outcome.index)
        if outcome.result in REJECTIONS:
            self._gate.check(ResponseKind.CHANGE_REFUSED, evidence)
            raise REJECTIONS[outcome.result]()
        if outcome.result not in (DONE, ALREADY_DONE):
            raise OutcomeUnknownError(
                "a copy of this call may have been committed, or may still be", "revision"
            )
        self._gate.check(ResponseKind.CHANGE_ACKNOWLEDGED, evidence)
        return 200, b'{"revision":%d}' % revision

    async def _document_command(self, request: Message, based_on: int) -> PutConfiguration:
        """Build the command for a full document; takes the request's body, to free its memory early."""
        body = request.take()
        if len(body) > LARGE_BODY_BYTES:
            return await self._large_bodies.command(body, based_on)
        return put_command(self._parser.parse(bytes(body)), based_on)

    async def _patch_command(self, request: Message, based_on: int) -> PutConfiguration:
        """Build the command for a patch; takes the request's body, to free its memory early."""
        body = request.take()
        if len(body) > LARGE_BODY_BYTES:
            return await self._large_bodies.patch(body, based_on)
        patch = parse_patch(bytes(body))
        self._versions.check_patch(patch, based_on)
        return patch_command(patch, based_on)

    async def _get_config(self, request: Message, since: float) -> tuple[int, bytes]:
        self._gate.check_reachable()
        await self._commands.read_barrier(since)
        self._gate.check(ResponseKind.CONFIGURATION_READ, ConfirmedRead(since))
        body = self._versions.current_body()
        if not body:
            raise CallError("no configuration has been accepted yet", status=404)
        return 200, body

    # ------------------------------------------------------------ instances

    async def _put_instance(self, request: Message, since: float) -> tuple[int, bytes]:
        instance = parse_heartbeat(_instance_id(request), bytes(request.body))
        await self._instances.heartbeat(instance, since)
        return 200, EMPTY_OBJECT

    async def _delete_instance(self, request: Message, since: float) -> tuple[int, bytes]:
        id = _instance_id(request)
        check_id(id)
        await self._instances.delete(id, since)
        return 200, EMPTY_OBJECT

    # ------------------------------------------------------------ the member

    async def _get_status(self, request: Message, since: float) -> tuple[int, bytes]:
        return 200, self._status.write()


def _base_revision(request: Message) -> int:
    """Return the revision that a change is based on, from the If-Match header.

    Raises:
        CallError: the header is missing or not a whole number.
    """
    value = request.get(b"if-match")
    match = IF_MATCH.match(value) if value is not None else None
    if match is None:
        raise CallError("is missing or not a whole number", "If-Match")
    return int(match.group(1))


def _instance_id(request: Message) -> str:
    """Return the instance id in a call's path."""
    return request.target.partition(b"?")[0][len(INSTANCES_PATH) :].decode("latin-1")
