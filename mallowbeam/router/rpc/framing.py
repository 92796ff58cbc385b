"""Frames on a byte stream: a length of 4 bytes, big endian, and one protobuf message."""

from __future__ import annotations

import struct

from google.protobuf.message import Message

from mallowbeam.errors import MallowbeamError

HEADER = struct.Struct(">I")
MOST_BYTES = 16 * 1024 * 1024  # of one message


class FrameError(MallowbeamError):
    """What came in is no frame within the bound; the connection can't be used further."""

    code = "RPC_FRAME"
    remedy = "look for a process of another version, or for another program that connects to this port"


def encode_frame(message: Message) -> bytes:
    """A message as it goes out."""
    body = message.SerializeToString()
    return HEADER.pack(len(body)) + body


class FrameReader:
    """Cuts a byte stream into the bodies of frames."""

    def __init__(self, most_bytes: int = MOST_BYTES) -> None:
        self._most_bytes = most_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes | bytearray | memoryview) -> list[bytes]:
        """Take in bytes and return the frames that are whole; raises `FrameError` over the bound."""
        self._buffer += data
        frames: list[bytes] = []
        start = 0
        while len(self._buffer) - start >= HEADER.size:
            (length,) = HEADER.unpack_from(self._buffer, start)
            if length > self._most_bytes:
                raise FrameError(f"a frame of {length} bytes; {self._most_bytes} are allowed")
            end = start + HEADER.size + length
            if end > len(self._buffer):
                break
            frames.append(bytes(self._buffer[start + HEADER.size : end]))
            start = end
        del self._buffer[:start]
        return frames
