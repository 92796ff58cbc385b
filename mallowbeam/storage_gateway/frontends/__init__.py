"""Client-facing protocols of the gateway: the platform's and an object API, independent of each other."""
