"""The paper's cycle mechanism: cycles of m slots, measured slot time, smoothed latencies.

A `CycleBook` owns the bookings of one node, a `SlotTimer` its units in flight; neither reads a clock.  The
router's pairing and admission and the storage gateway's scheduler use them.
"""
