"""One simulated clock and network for all cores; scenarios and checkers."""
