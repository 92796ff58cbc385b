"""How long a connection to an instance may be idle, by the instance's Keep-Alive header."""

from __future__ import annotations

import unittest

from mallowbeam.http.framing import Message
from mallowbeam.router.data_plane.link_pool import (
    DEFAULT_IDLE_S,
    IDLE_TIMEOUT_FRACTION,
    MAX_IDLE_S,
    idle_time_s,
)


def idle_s(*keep_alive: bytes) -> float:
    answer = Message()
    answer.headers = [(b"keep-alive", value) for value in keep_alive]
    return idle_time_s(answer)


class IdleTime(unittest.TestCase):
    def test_a_share_of_what_is_stated(self) -> None:
        for value in (b"timeout=5", b"Timeout=5", b"max=9, timeout=5", b"timeout=5, max=9", b"timeout=05"):
            self.assertEqual(idle_s(value), 5 * IDLE_TIMEOUT_FRACTION, value)

    def test_it_ends_before_the_instance_closes(self) -> None:
        for seconds in range(1, 200):
            self.assertLess(idle_s(b"timeout=%d" % seconds), seconds)

    def test_zero_timeout_allows_no_idle_time(self) -> None:
        self.assertEqual(idle_s(b"timeout=0"), 0.0)

    def test_long_ones_are_bounded(self) -> None:
        for value in (b"timeout=61", b"timeout=99999999"):
            self.assertEqual(idle_s(value), MAX_IDLE_S * IDLE_TIMEOUT_FRACTION, value)

    def test_short_default_for_missing_or_malformed_values(self) -> None:
        for values in (
            (),
            (b"",),
            (b"max=5",),
            (b"timeout=",),
            (b"timeout=-5",),
            (b"timeout=1.5",),
            (b"timeout=x",),
            (b"timeout=999999999",),
            (b"timeout",),
        ):
            self.assertEqual(idle_s(*values), DEFAULT_IDLE_S * IDLE_TIMEOUT_FRACTION, values)


if __name__ == "__main__":
    unittest.main()
