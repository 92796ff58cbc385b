"""What stands before the gateway: the platform's protocol and an object API, neither knowing the other."""
