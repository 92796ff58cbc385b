"""Who may do what: keys with their secrets and rights, in a file that is read again while it changes.

The file is JSON: `{"keys": [{"id": ..., "secret": ..., "allow": [GRANT, ...]}, ...]}`, and a grant is
`{"bucket": ..., "prefix": ..., "do": [...]}` with `read`, `write`, `list`.  A version that can't be used
changes nothing, and is told once.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from loguru import logger
from msgspec import Meta

from mallowbeam.storage_gateway.frontends.object_api.errors import Error
from mallowbeam.storage_gateway.server.config import GatewayConfigError

MOST_FILE = 4 << 20  # bytes of the file
LOOK_AGAIN = 1.0  # seconds between looks whether it has changed


class Grant(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What may be done under a prefix of a bucket; `*` for every bucket."""

    bucket: Annotated[str, Meta(min_length=1)]
    do: list[Literal["read", "write", "list"]]
    prefix: str = ""


class Key(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An access key."""

    id: Annotated[str, Meta(min_length=3, max_length=128, pattern=r"^[^/, ]+$")]
    secret: Annotated[str, Meta(min_length=8, max_length=256)]
    allow: list[Grant]


class KeyFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    keys: list[Key]


def read_keys(data: bytes) -> dict[str, Key]:
    """The keys of a file by their ids; raises `GatewayConfigError`."""
    try:
        told = msgspec.json.decode(data, type=KeyFile)
    except msgspec.DecodeError as error:  # it names the place, and never a value
        raise GatewayConfigError(str(error)) from None
    keys = {key.id: key for key in told.keys}
    if len(keys) < len(told.keys):
        raise GatewayConfigError("an id stands there twice")
    return keys


def may(key: Key, what: str, bucket: str, name: bytes) -> bool:
    """Whether a key may do that to a name."""
    return any(
        grant.bucket in ("*", bucket) and what in grant.do and name.startswith(grant.prefix.encode())
        for grant in key.allow
    )


def require(key: Key | None, what: str, bucket: str, name: bytes) -> None:
    """Raises `Error` where a key may not do that; None is a caller who need not say who he is."""
    if key is not None and not may(key, what, bucket, name):
        raise Error("AccessDenied")


@dataclass(slots=True)
class Access:
    """The keys as the file has them now."""

    path: Path
    keys: dict[str, Key] = field(default_factory=dict)
    seen: tuple[int, int, int] = (0, 0, 0)  # the file's inode, size and time of change
    look_at: float = 0.0  # steady time of the next look
    trouble: str = ""  # what was last told of a file that can't be used

    def open(self) -> None:
        """Read the file for the first time; raises `GatewayConfigError`."""
        try:
            if self.path.stat().st_mode & 0o007:
                logger.warning("object API: others may read the keys in {path}", path=str(self.path))
            self._read()
        except (OSError, GatewayConfigError) as error:
            why = error.strerror if isinstance(error, OSError) else error
            raise GatewayConfigError(f"objects.keys: {self.path}: {why}") from None

    def _read(self) -> None:
        with open(self.path, "rb") as file:
            told = os.fstat(file.fileno())
            self.seen = told.st_ino, told.st_size, told.st_mtime_ns
            if told.st_size > MOST_FILE:
                raise GatewayConfigError("the file is too large")
            self.keys = read_keys(file.read(MOST_FILE))

    def look(self, now: float) -> None:
        """Read the file again if it has changed; `now` in steady seconds."""
        if now < self.look_at:
            return
        self.look_at = now + LOOK_AGAIN
        try:
            told = self.path.stat()
            if (told.st_ino, told.st_size, told.st_mtime_ns) != self.seen:
                self._read()
                self.trouble = ""
                logger.info("object API: {count} keys read", count=len(self.keys))
        except (OSError, GatewayConfigError) as error:
            if str(error) != self.trouble:
                logger.error("object API: the keys of before stay: {why}", why=str(error))
            self.trouble = str(error)
