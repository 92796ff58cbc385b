"""After a frame connection ends, frames received in the same read or later are not delivered."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable

from mallowbeam.router.rpc.connection import FrameConnection
from mallowbeam.router.rpc.framing import HEADER, MAX_MESSAGE_BYTES


class FakeTransport(asyncio.Transport):
    """Records written bytes; like a real transport, `abort` does not call the protocol at once."""

    def __init__(self) -> None:
        super().__init__()
        self.written, self.closing = b"", False

    def get_extra_info(self, name: str, default: object = None) -> object:
        return default

    def is_closing(self) -> bool:
        return self.closing

    def abort(self) -> None:
        self.closing = True

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return 0


def encoded(*bodies: bytes) -> bytes:
    return b"".join(HEADER.pack(len(body)) + body for body in bodies)


class Ends(unittest.IsolatedAsyncioTestCase):
    def open_connection(self, received: Callable[[FrameConnection, bytes], None]) -> FrameConnection:
        connection = FrameConnection(received, lambda _: None)
        connection.connection_made(FakeTransport())
        return connection

    async def test_frames_received_with_the_one_that_ends_it_are_not_delivered(self) -> None:
        for ends_at in range(3):
            delivered: list[bytes] = []

            def received(
                connection: FrameConnection, body: bytes, ends_at=ends_at, delivered=delivered
            ) -> None:
                delivered.append(body)
                if len(delivered) > ends_at:
                    connection.abort()

            connection = self.open_connection(received)
            connection.data_received(encoded(b"0", b"1", b"2"))
            self.assertEqual(delivered, [b"0", b"1", b"2"][: ends_at + 1])

    async def test_a_read_after_the_end_is_not_delivered(self) -> None:
        delivered: list[bytes] = []
        connection = self.open_connection(lambda _, body: delivered.append(body))
        connection.data_received(encoded(b"0", b"1")[:-1])
        connection.abort()
        connection.data_received(encoded(b"0", b"1")[-1:])
        connection.data_received(encoded(b"2"))
        self.assertEqual(delivered, [b"0"])

    async def test_nothing_is_delivered_after_an_invalid_frame(self) -> None:
        delivered: list[bytes] = []
        connection = self.open_connection(lambda _, body: delivered.append(body))
        connection.data_received(encoded(b"0"))
        connection.data_received(HEADER.pack(MAX_MESSAGE_BYTES + 1))
        connection.data_received(encoded(b"1"))
        self.assertEqual((delivered, connection.open), ([b"0"], False))

    async def test_nothing_is_sent_after_the_end(self) -> None:
        connection = self.open_connection(lambda _, body: None)
        connection.abort()
        self.assertFalse(connection.send_encoded(encoded(b"0")))


if __name__ == "__main__":
    unittest.main()
