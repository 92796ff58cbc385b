"""Two programs in one tree: a router fleet for language models (`router`) and a storage gateway."""
