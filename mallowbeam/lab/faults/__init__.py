"""Several gateway processes on loopback under faults from a seed, a history, and checkers that read it."""
