"""Cycles of m slots: sizes, the earliest cycle with free slots, gaps, spans, idle nodes."""

from __future__ import annotations

import random
import unittest

from mallowbeam.scheduling.cycles import HORIZON_CYCLES, MAX_SLOTS, CycleBook, slots_per_cycle


def book_of(cycle_s: float = 1.0, slot_s: float = 0.25) -> CycleBook:
    """A `CycleBook` whose cycles have four slots by default."""
    book = CycleBook(cycle_s)
    book.set_slot_time(slot_s)
    return book


def take(book: CycleBook, booking: int, units: int, now: float) -> tuple[tuple[int, int], ...]:
    """Place and book units; returns their slots by cycle."""
    placement = book.place(units, now)
    assert placement is not None
    book.book(booking, placement)
    return placement.slots_by_cycle


class SlotsPerCycle(unittest.TestCase):
    def test_the_floor_of_cycle_over_slot_time(self) -> None:
        self.assertEqual(slots_per_cycle(1.0, 0.3), 3)
        self.assertEqual(slots_per_cycle(1.0, 0.25), 4)

    def test_at_least_one_and_at_most_32(self) -> None:
        self.assertEqual(slots_per_cycle(1.0, 5.0), 1)
        self.assertEqual(slots_per_cycle(1.0, 0.001), MAX_SLOTS)
        self.assertEqual(slots_per_cycle(1.0, 0.0), MAX_SLOTS)

    def test_bounds_of_the_caller(self) -> None:
        self.assertEqual(slots_per_cycle(1.0, 0.3, min_slots=6), 6)
        self.assertEqual(slots_per_cycle(1.0, 0.01, max_slots=10), 10)


class TheEarliestCycle(unittest.TestCase):
    def test_units_fill_the_first_cycle_and_then_the_next(self) -> None:
        book = book_of()
        self.assertEqual(take(book, 1, 3, 0.0), ((0, 3),))
        self.assertEqual(take(book, 2, 2, 0.0), ((1, 2),))
        self.assertEqual(take(book, 3, 1, 0.0), ((0, 1),))

    def test_a_later_cycle_starts_where_the_one_before_ends(self) -> None:
        book = book_of()
        take(book, 1, 4, 10.0)
        placement = book.place(1, 10.1)
        assert placement is not None
        self.assertEqual(placement.starts_at, 11.0)
        self.assertEqual(placement.ends_at, 11.25)

    def test_it_starts_at_once_in_the_present_cycle(self) -> None:
        book = book_of()
        take(book, 1, 2, 0.0)
        placement = book.place(1, 0.4)
        assert placement is not None
        self.assertEqual(placement.starts_at, 0.4)
        self.assertEqual(placement.ends_at, 0.75)

    def test_a_hole_is_filled(self) -> None:
        book = book_of()
        take(book, 1, 4, 0.0)
        take(book, 2, 4, 0.0)
        self.assertEqual(take(book, 3, 2, 0.0), ((2, 2),))
        book.release(2)
        self.assertEqual(take(book, 4, 2, 0.0), ((1, 2),))

    def test_work_that_was_done_leaves_no_hole(self) -> None:
        book = book_of()
        take(book, 1, 4, 0.0)
        book.forget(1)
        self.assertEqual(take(book, 2, 1, 0.0), ((1, 1),))

    def test_past_cycles_are_forgotten(self) -> None:
        book = book_of()
        for booking in range(5):
            take(book, booking, 4, 0.0)
        book.advance(3.0)
        self.assertEqual(len(book.cycles), 2)
        book.release(0)  # its cycle has passed
        self.assertEqual(take(book, 9, 1, 3.0), ((5, 1),))

    def test_the_first_cycle_begins_with_a_booking(self) -> None:
        book = book_of()
        take(book, 1, 4, 0.0)
        placement = book.place(4, 7.3)
        assert placement is not None
        self.assertEqual((placement.starts_at, placement.ends_at), (7.3, 8.3))

    def test_beyond_the_horizon_there_is_no_room(self) -> None:
        book = book_of()
        for booking in range(HORIZON_CYCLES):
            take(book, booking, 4, 0.0)
        self.assertIsNone(book.place(1, 0.0))
        self.assertIsNone(book.place(9, 0.0))
        self.assertIsNotNone(book.place(1, 1.0))


class Spans(unittest.TestCase):
    def test_more_units_than_m_span_cycles(self) -> None:
        self.assertEqual(take(book_of(), 1, 10, 0.0), ((0, 4), (1, 4), (2, 2)))

    def test_a_span_uses_free_slots_between_bookings(self) -> None:
        book = book_of()
        take(book, 1, 3, 0.0)
        take(book, 2, 4, 0.0)
        self.assertEqual(take(book, 3, 6, 0.0), ((0, 1), (2, 4), (3, 1)))

    def test_a_released_span_frees_slots_in_all_of_its_cycles(self) -> None:
        book = book_of()
        take(book, 1, 10, 0.0)
        book.release(1)
        self.assertEqual([book.free_slots(ahead, 0.0) for ahead in range(3)], [4, 4, 4])

    def test_the_end_of_a_span_is_in_its_last_cycle(self) -> None:
        placement = book_of().place(10, 0.0)
        assert placement is not None
        self.assertEqual(placement.ends_at, 2.5)


class SlotTimes(unittest.TestCase):
    def test_slower_slots_leave_less_room_in_cycles_already_booked(self) -> None:
        book = book_of()
        take(book, 1, 2, 0.0)
        book.set_slot_time(0.5)
        self.assertEqual(book.slots, 2)
        self.assertEqual(take(book, 2, 1, 0.0), ((1, 1),))

    def test_faster_slots_give_more(self) -> None:
        book = book_of()
        take(book, 1, 4, 0.0)
        book.set_slot_time(0.125)
        self.assertEqual(take(book, 2, 4, 0.0), ((0, 4),))

    def test_a_fast_node_gets_shorter_cycles(self) -> None:
        """At most 32 slots in a long cycle would bound the rate of a node with short units."""
        book = book_of(cycle_s=1.0, slot_s=0.001)
        take(book, 1, 32, 0.0)
        placement = book.place(1, 0.0)
        assert placement is not None
        self.assertAlmostEqual(placement.starts_at, 0.032)


class IdleNodes(unittest.TestCase):
    def test_bookings_go_in_at_once_whatever_the_cycle_holds(self) -> None:
        book = book_of()
        take(book, 1, 4, 0.0)
        book.forget(1)
        placement = book.place_now(3, 0.2)
        self.assertEqual((placement.slots_by_cycle, placement.starts_at), (((0, 3),), 0.2))
        book.book(2, placement)
        self.assertEqual(book.free_slots(0, 0.2), 0)
        self.assertEqual(book.free_slots(1, 0.2), 4)


class ManyBookings(unittest.TestCase):
    def test_no_cycle_holds_more_than_m_and_all_is_released(self) -> None:
        draw = random.Random(7)
        book = book_of(slot_s=0.1)
        booked_units: dict[int, int] = {}
        now = 0.0
        for booking in range(3000):
            now += draw.expovariate(0.6)
            units = draw.randint(1, 25)
            placement = book.place(units, now)
            assert placement is not None
            self.assertEqual(sum(count for _, count in placement.slots_by_cycle), units)
            book.book(booking, placement)
            booked_units[booking] = units
            for cycle in book.cycles:
                self.assertLessEqual(cycle.used, 10)
            if len(booked_units) > 5:
                ended = draw.choice(sorted(booked_units))
                del booked_units[ended]
                (book.release if draw.random() < 0.5 else book.forget)(ended)
        for booking in list(booked_units):
            book.release(booking)
        self.assertEqual(book.bookings, {})

    def test_a_length_must_be_above_zero(self) -> None:
        with self.assertRaises(ValueError):
            CycleBook(0.0)


if __name__ == "__main__":
    unittest.main()
