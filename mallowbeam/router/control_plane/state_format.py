"""Decodes replicated commands and snapshots, and rejects those that this program version does not fully know.

If a member of an earlier program version skipped unknown data, its state would differ from its peers'. It
stops instead, before it applies the entry or the snapshot, and keeps its store for a newer program.

A change that adds a command, a field or a kind of entry that must not be skipped increments `STATE_FORMAT`,
and sets `format` to it in the commands that use the addition and in snapshots whose state does.
"""

from __future__ import annotations

from google.protobuf.message import DecodeError, Message
from google.protobuf.unknown_fields import UnknownFieldSet

from mallowbeam.errors import MallowbeamError
from mallowbeam.router.rpc.messages_pb2 import (
    COMMAND,
    MEMBERSHIP,
    NO_OPERATION,
    Command,
    Entry,
    ReplicatedState,
)

STATE_FORMAT = 1  # the newest format that this program can apply
KNOWN_ENTRY_KINDS = frozenset((NO_OPERATION, COMMAND, MEMBERSHIP))


class UnsupportedFormatError(MallowbeamError):
    """A committed entry or a snapshot was written by a newer program version and can't be applied here."""

    code = "STATE_FORMAT_UNSUPPORTED"
    remedy = "start the newer program version on this machine; the store is kept and goes on from there"


def check_entry_kind(entry: Entry) -> None:
    """Raise `UnsupportedFormatError` for an entry of a kind that this program doesn't know."""
    if entry.kind not in KNOWN_ENTRY_KINDS:
        raise _unsupported(f"entry {entry.index} is of the unknown kind {entry.kind}", "apply")


def decode_command(index: int, payload: bytes) -> Command:
    """Decode the command of the entry at a log index; raises `UnsupportedFormatError`.

    An empty command has no body and is accepted: logs of earlier versions may contain one.
    """
    subject = f"the command of entry {index}"
    command = Command()
    _parse(command, payload, subject, "apply")
    _check_known(command, command.format, subject, "apply")
    body = command.WhichOneof("body")
    if body is not None:
        _check_known(getattr(command, body), 0, subject, "apply")
    return command


def decode_state(saved: bytes) -> ReplicatedState:
    """Decode the state of a snapshot; raises `UnsupportedFormatError`."""
    state = ReplicatedState()
    _parse(state, saved, "the snapshot", "restore")
    _check_known(state, state.format, "the snapshot", "restore")
    return state


def _parse(message: Message, encoded: bytes, subject: str, step: str) -> None:
    try:
        message.ParseFromString(encoded)
    except DecodeError as error:
        raise _unsupported(f"{subject} can't be decoded: {error}", step) from None


def _check_known(message: Message, written_format: int, subject: str, step: str) -> None:
    if written_format > STATE_FORMAT:
        raise _unsupported(f"{subject} has format {written_format}, this program knows {STATE_FORMAT}", step)
    if len(UnknownFieldSet(message)):
        raise _unsupported(f"{subject} has fields of a newer version", step)


def _unsupported(subject: str, step: str) -> UnsupportedFormatError:
    return UnsupportedFormatError(subject, step=step)
