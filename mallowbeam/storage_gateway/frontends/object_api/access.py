"""Access control: keys with their secrets and grants, from a file that is reloaded when it changes.

The file is JSON: `{"keys": [{"id": ..., "secret": ..., "allow": [GRANT, ...]}, ...]}`, and a grant is
`{"bucket": ..., "prefix": ..., "do": [...]}` with `read`, `write`, `list`.  An invalid version of the file
leaves the previous keys in place and is logged once.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from loguru import logger
from msgspec import Meta

from mallowbeam.storage_gateway.frontends.object_api.errors import S3Error
from mallowbeam.storage_gateway.server.config import GatewayConfigError

MAX_FILE_BYTES = 4 << 20
CHECK_INTERVAL_S = 1.0  # between checks whether the file has changed


class Grant(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Actions allowed under a prefix of a bucket; the bucket `*` stands for every bucket."""

    bucket: Annotated[str, Meta(min_length=1)]
    do: list[Literal["read", "write", "list"]]
    prefix: str = ""


class Key(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An access key with its secret and grants."""

    id: Annotated[str, Meta(min_length=3, max_length=128, pattern=r"^[^/, ]+$")]
    secret: Annotated[str, Meta(min_length=8, max_length=256)]
    allow: list[Grant]


class KeyFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Contents of the key file."""

    keys: list[Key]


def read_keys(data: bytes) -> dict[str, Key]:
    """Parse a key file and return its keys by id; raises `GatewayConfigError`."""
    try:
        key_file = msgspec.json.decode(data, type=KeyFile)
    except msgspec.DecodeError as error:  # its text names the position but no values, such as secrets
        raise GatewayConfigError(str(error)) from None
    keys = {key.id: key for key in key_file.keys}
    if len(keys) < len(key_file.keys):
        raise GatewayConfigError("an access key id appears twice")
    return keys


def is_allowed(key: Key, action: str, bucket: str, name: bytes) -> bool:
    """Whether a key allows an action on an object name or prefix."""
    return any(
        grant.bucket in ("*", bucket) and action in grant.do and name.startswith(grant.prefix.encode())
        for grant in key.allow
    )


def authorize(key: Key | None, action: str, bucket: str, name: bytes) -> None:
    """Raise `S3Error` unless a key allows an action; a key of None means that authentication is off."""
    if key is not None and not is_allowed(key, action, bucket, name):
        raise S3Error("AccessDenied")


@dataclass(slots=True)
class Access:
    """The current access keys, reloaded from their file."""

    path: Path
    keys: dict[str, Key] = field(default_factory=dict)
    # Inode, size and modification time (ns) of the loaded file.
    file_identity: tuple[int, int, int] = (0, 0, 0)
    next_check: float = 0.0  # monotonic time of the next check, in seconds
    last_error: str = ""  # the last error logged for an invalid file; empty if the file is valid

    def open(self) -> None:
        """Load the file at startup; raises `GatewayConfigError`."""
        try:
            if self.path.stat().st_mode & 0o007:
                logger.warning(
                    "object API: the key file {path} is readable by other users", path=str(self.path)
                )
            self._read()
        except (OSError, GatewayConfigError) as error:
            why = error.strerror if isinstance(error, OSError) else error
            raise GatewayConfigError(f"objects.keys: {self.path}: {why}") from None

    def _read(self) -> None:
        with open(self.path, "rb") as file:
            stat = os.fstat(file.fileno())
            self.file_identity = stat.st_ino, stat.st_size, stat.st_mtime_ns
            if stat.st_size > MAX_FILE_BYTES:
                raise GatewayConfigError("the file is too large")
            self.keys = read_keys(file.read(MAX_FILE_BYTES))

    def reload_if_changed(self, now: float) -> None:
        """Reload the file if it has changed; `now` is monotonic, in seconds."""
        if now < self.next_check:
            return
        self.next_check = now + CHECK_INTERVAL_S
        try:
            stat = self.path.stat()
            if (stat.st_ino, stat.st_size, stat.st_mtime_ns) != self.file_identity:
                self._read()
                self.last_error = ""
                logger.info("object API: reloaded {count} access keys", count=len(self.keys))
        except (OSError, GatewayConfigError) as error:
            if str(error) != self.last_error:
                logger.error(
                    "object API: cannot reload the key file; keeping the previous keys: {why}", why=str(error)
                )
            self.last_error = str(error)
