"""A stream that another instance may resume has a stall time-out; another one is only cut at its deadline."""

from __future__ import annotations

import time
import unittest
from types import SimpleNamespace

from mallowbeam.router.data_plane.outcomes import AttemptEnd
from mallowbeam.router.data_plane.relay import Relay
from mallowbeam.router.data_plane.send_policy import SendPolicy
from mallowbeam.router.streams.timeouts import resume_timeout_s

TARGET_S, GAP_S, TIME_S = 0.25, 0.3, 60.0
TOLERANCE_S = 0.1  # what building the objects takes
MAX_INSTANCES = 2  # to which a request may be sent


def stall_timeout_after(sends: int, resumable: bool = True, time_s: float = TIME_S) -> float:
    """Return the stall time-out of a stream after this number of sends."""
    policy = SendPolicy(SimpleNamespace(take=lambda now, gateways: True), True, MAX_INSTANCES)
    for number in range(sends):
        ticket = policy.send(f"i-{number}", 0.0, 1)
        assert ticket is not None
        if number + 1 < sends:
            policy.ended(ticket, AttemptEnd.TIMED_OUT, 0.0)
    exchange = SimpleNamespace(
        route=SimpleNamespace(gap_aim_ms=int(GAP_S * 1000), target_latency_ms=int(TARGET_S * 1000)),
        progress=SimpleNamespace(may_resume=resumable),
        may_send_again=policy.may_continue(),
        deadlines=SimpleNamespace(truncate_at=time.monotonic() + time_s),
    )
    return Relay(exchange, None, lambda: False)._stall_timeout_s()


class SilenceTimeouts(unittest.TestCase):
    def test_resumable_stream_with_instances_left(self) -> None:
        self.assertEqual(stall_timeout_after(1), resume_timeout_s(GAP_S))

    def test_stream_at_its_last_instance(self) -> None:
        """Cutting the stream before its deadline would lose the answer needlessly."""
        self.assertAlmostEqual(stall_timeout_after(MAX_INSTANCES), TIME_S, delta=TOLERANCE_S)

    def test_a_stream_that_may_not_be_resumed(self) -> None:
        self.assertAlmostEqual(stall_timeout_after(1, resumable=False), TIME_S, delta=TOLERANCE_S)

    def test_no_stream_is_waited_for_beyond_its_deadline(self) -> None:
        self.assertAlmostEqual(stall_timeout_after(1, time_s=0.2), 0.2, delta=TOLERANCE_S)


if __name__ == "__main__":
    unittest.main()
