"""Whether a request is taken, and into which cycle of its node, or refused at once."""
