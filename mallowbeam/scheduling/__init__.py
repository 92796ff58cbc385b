"""The paper's cycle mechanism: cycles of m slots, measured slot time, smoothed latencies.

A `CycleBook` owns the bookings of one node, a `SlotTimer` its units in flight; neither reads a clock.
Used by the router's pairing and admission, and by the storage gateway's scheduler.
"""
