"""Frames on a byte stream: a length of 4 bytes, big endian, and one protobuf message."""

from __future__ import annotations

import struct

from google.protobuf.message import Message

from mallowbeam.errors import MallowbeamError

HEADER = struct.Struct(">I")  # bytes of the message
MAX_MESSAGE_BYTES = 16 * 1024 * 1024


class FrameError(MallowbeamError):
    """A frame exceeds the size limit; the connection can no longer be used."""

    code = "RPC_FRAME"
    remedy = "look for a process of another version, or for another program that connects to this port"


def encode_frame(message: Message) -> bytes:
    """Return the frame of a message."""
    body = message.SerializeToString()
    return HEADER.pack(len(body)) + body


class FrameReader:
    """Splits a byte stream into the bodies of frames."""

    def __init__(self, max_bytes: int = MAX_MESSAGE_BYTES) -> None:
        """Create an empty reader; `max_bytes` limits the body of a frame."""
        self._max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes | bytearray | memoryview) -> list[bytes]:
        """Add received bytes and return the bodies of the frames that are complete.

        Raises:
            FrameError: a frame exceeds the limit.
        """
        self._buffer += data
        frames: list[bytes] = []
        start = 0
        while len(self._buffer) - start >= HEADER.size:
            (length,) = HEADER.unpack_from(self._buffer, start)
            if length > self._max_bytes:
                raise FrameError(f"a frame of {length} bytes; {self._max_bytes} are allowed")
            end = start + HEADER.size + length
            if end > len(self._buffer):
                break
            frames.append(bytes(self._buffer[start + HEADER.size : end]))
            start = end
        del self._buffer[:start]
        return frames
