"""One simulated clock, network and set of machines on which cores and roles run; scenarios as text files.

Nothing here waits, opens a socket or reads a clock: a run depends on its seed alone.
"""
