"""Event streams split into arbitrary packets: which events are forwarded, and where a stream resumes."""

from __future__ import annotations

import unittest
from collections.abc import Iterable, Iterator
from random import Random

from mallowbeam.router.streams.events import (
    MAX_EVENT_BYTES,
    MAX_ID_DIGITS,
    Event,
    EventParser,
    parse_id,
    read_id,
)
from mallowbeam.router.streams.progress import StreamProgress
from mallowbeam.router.streams.timeouts import client_timeout_s, resume_timeout_s

SEEDS = range(40)
RUNS = 5  # upper limit of the instances that produce one answer in the random tests


def event(number: int, newline: str = "\n", lines: int = 1) -> bytes:
    """Return one event with `lines` data lines; multiples of 5 have a version field before the id."""
    fields = [f"id: {number}"] + [f"data: token {number}.{line}" for line in range(lines)]
    if number % 5 == 0:
        fields.insert(0, "versions: 3")
    return (newline.join(fields) + newline * 2).encode()


def stream(first: int, last: int, newline: str = "\n") -> bytes:
    return b"".join(event(number, newline, 1 + number % 3) for number in range(first, last + 1))


def cut(data: bytes, random: Random) -> Iterator[bytes]:
    """Yield the bytes in packets of random sizes, including empty ones."""
    while data:
        size = random.choice((0, 1, 1, 2, 3, 7, 20, 60))
        yield data[:size]
        data = data[size:]


def parse(packets: Iterable[bytes]) -> tuple[list[Event], EventParser]:
    parser = EventParser()
    return [one for packet in packets for one in parser.feed(packet)], parser


def ids_in(data: bytes) -> list[int]:
    """Return the ids of the events that a client got, parsed independently of the code under test."""
    blocks = data.replace(b"\r\n", b"\n").split(b"\n\n")
    assert blocks[-1] == b"", "the client got part of an event"
    lines = [line for block in blocks[:-1] for line in block.split(b"\n") if line.startswith(b"id:")]
    return [int(line[3:]) for line in lines]


class Parsing(unittest.TestCase):
    def test_split_at_every_byte(self) -> None:
        for newline in ("\n", "\r\n"):
            data = stream(1, 6, newline)
            whole, _ = parse([data])
            self.assertEqual([one.id for one in whole], [1, 2, 3, 4, 5, 6])
            for position in range(len(data) + 1):
                found, parser = parse([data[:position], data[position:]])
                self.assertEqual((found, parser.partial), (whole, False), (newline, position))

    def test_byte_by_byte_and_in_random_packets(self) -> None:
        for newline in ("\n", "\r\n"):
            data = stream(1, 20, newline)
            whole, _ = parse([data])
            self.assertEqual(b"".join(one.raw for one in whole), data)
            self.assertEqual(parse(data[at : at + 1] for at in range(len(data)))[0], whole)
            for seed in SEEDS:
                self.assertEqual(parse(cut(data, Random(seed)))[0], whole, (newline, seed))

    def test_an_event_comes_with_its_last_byte_and_not_before(self) -> None:
        parser = EventParser()
        data = event(7)
        self.assertEqual(parser.feed(data[:-1]), [])
        self.assertTrue(parser.partial)
        self.assertEqual(parser.feed(data[-1:]), [Event(data, 7)])
        self.assertFalse(parser.partial)

    def test_dropping_a_part_keeps_nothing_of_it(self) -> None:
        parser = EventParser()
        parser.feed(event(1) + event(2)[:-1])
        parser.drop_partial()
        self.assertFalse(parser.partial)
        self.assertEqual(parser.feed(b"\n" + event(3)), [Event(b"\n" + event(3), 3)])

    def test_an_event_beyond_the_bound_is_noticed(self) -> None:
        parser = EventParser()
        parser.feed(b"data: " + b"x" * (MAX_EVENT_BYTES - 6))
        self.assertFalse(parser.oversized)
        parser.feed(b"x")
        self.assertTrue(parser.oversized)

    def test_ids(self) -> None:
        cases = {
            b"id: 5\ndata: x\n\n": 5,
            b"id:5\n\n": 5,
            b"versions: 2\nid: 5\n\n": 5,
            b"data: id: 5\n\n": None,
            b"data: x\n\n": None,
            b"id: x\n\n": None,
            b"id: -1\n\n": None,
            b"id:\n\n": None,
            b"id: 5\r\ndata: x\r\n\r\n": 5,
            b"idle: 5\n\n": None,
        }
        for raw, expected in cases.items():
            self.assertEqual(read_id(raw), expected, raw)
        self.assertEqual(parse_id(b"9" * MAX_ID_DIGITS), int("9" * MAX_ID_DIGITS))
        self.assertIsNone(parse_id(b"9" * (MAX_ID_DIGITS + 1)))


class Forwarding(unittest.TestCase):
    def test_only_complete_events_wherever_the_stream_is_truncated(self) -> None:
        data = stream(1, 6)
        ends = [len(stream(1, last)) for last in range(7)]
        for position in range(len(data) + 1):
            progress = StreamProgress(resumable=True)
            forwarded = progress.feed(data[:position])
            whole = max(index for index, end in enumerate(ends) if end <= position)
            self.assertEqual(forwarded, data[: ends[whole]])
            self.assertEqual((progress.events, progress.partial), (whole, position not in ends))
            self.assertEqual(progress.last_event_id, b"%d" % whole if whole else None)

    def test_cut_at_every_byte_and_resumed_there(self) -> None:
        data = stream(1, 8)
        for position in range(len(data) + 1):
            progress = StreamProgress(resumable=True)
            forwarded = progress.feed(data[:position])
            progress.broken()
            last_id = int(progress.last_event_id or b"0")
            forwarded += progress.feed(stream(last_id + 1, 8))
            self.assertEqual((forwarded, progress.fault, progress.events), (data, "", 8), position)

    def test_any_number_of_breaks_leaves_no_gap_and_no_repeat(self) -> None:
        for seed in SEEDS:
            random = Random(seed)
            last = random.randrange(5, 40)
            progress = StreamProgress(resumable=True)
            forwarded = b""
            for _ in range(random.randrange(RUNS)):
                rest = stream(int(progress.last_event_id or b"0") + 1, last)
                part = rest[: random.randrange(len(rest) + 1)]
                forwarded += b"".join(progress.feed(packet) for packet in cut(part, random))
                progress.broken()
            forwarded += progress.feed(stream(int(progress.last_event_id or b"0") + 1, last))
            self.assertEqual(ids_in(forwarded), list(range(1, last + 1)), seed)
            self.assertEqual((progress.fault, progress.partial), ("", False))

    def test_client_resumption_continues_after_its_event(self) -> None:
        progress = StreamProgress(resumable=True, last_event_id=b"12")
        self.assertEqual(progress.last_event_id, b"12")
        self.assertEqual(progress.feed(event(12)), b"")
        self.assertNotEqual(progress.fault, "")
        progress.broken()
        self.assertEqual(ids_in(progress.feed(stream(13, 15))), [13, 14, 15])
        self.assertEqual(progress.last_event_id, b"15")

    def test_non_ascending_id_ends_forwarding(self) -> None:
        for wrong in (3, 2, 1):
            progress = StreamProgress(resumable=True)
            forwarded = progress.feed(stream(1, 3) + event(wrong) + event(4))
            self.assertEqual(ids_in(forwarded), [1, 2, 3])
            self.assertIn(str(wrong), progress.fault)
            self.assertEqual(progress.feed(event(5)), b"")  # nothing more of this instance is forwarded
            self.assertEqual(progress.last_event_id, b"3")

    def test_ids_may_skip_numbers(self) -> None:
        progress = StreamProgress(resumable=True)
        forwarded = progress.feed(event(4) + event(9) + event(10))
        self.assertEqual((ids_in(forwarded), progress.last_event_id), ([4, 9, 10], b"10"))

    def test_oversized_event_ends_forwarding(self) -> None:
        progress = StreamProgress(resumable=True)
        self.assertEqual(progress.feed(event(1) + b"data: " + b"x" * MAX_EVENT_BYTES), event(1))
        self.assertNotEqual(progress.fault, "")

    def test_non_resumable_stream_is_forwarded_byte_by_byte(self) -> None:
        data = stream(1, 6) + b"id: 2\ndata: again\n\nhalf an ev"
        for size in (1, 2, 5, len(data)):
            progress = StreamProgress(resumable=False)
            forwarded = [progress.feed(data[at : at + size]) for at in range(0, len(data), size)]
            self.assertEqual(b"".join(forwarded), data)
            self.assertTrue(all(forwarded))
            self.assertEqual((progress.fault, progress.partial), ("", False))


class Fork(unittest.TestCase):
    def test_a_fork_continues_after_the_last_event_and_leaves_the_other_progress_as_it_is(self) -> None:
        progress = StreamProgress(resumable=True)
        third = stream(3, 3)
        progress.feed(stream(1, 2) + third[:8])
        forked = progress.fork()
        self.assertEqual((forked.last_event_id, forked.events, forked.partial), (b"2", 2, False))
        self.assertEqual(forked.feed(stream(3, 4)), stream(3, 4))
        self.assertEqual((progress.last_event_id, progress.events, progress.partial), (b"2", 2, True))
        self.assertEqual(progress.feed(third[8:]), third)

    def test_a_fork_of_a_stream_whose_last_event_has_no_id_may_not_resume(self) -> None:
        progress = StreamProgress(resumable=True)
        progress.feed(b"data: token\n\n")
        self.assertFalse(progress.fork().may_resume)


class Silence(unittest.TestCase):
    def test_clients_wait_for_the_longest_of_three(self) -> None:
        self.assertEqual(client_timeout_s(0.1, 0.05), 2.0)
        self.assertEqual(client_timeout_s(1.0, 0.05), 4.0)
        self.assertEqual(client_timeout_s(0.1, 0.5), 4.0)

    def test_resume_timeout_is_shorter_than_client_timeout(self) -> None:
        for gap_s in (0.0, 0.05, 0.25, 1.0, 10.0):
            for objective_s in (0.0, 0.3, 5.0):
                self.assertLess(resume_timeout_s(gap_s), client_timeout_s(objective_s, gap_s))


if __name__ == "__main__":
    unittest.main()
