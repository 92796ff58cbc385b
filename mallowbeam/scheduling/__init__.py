"""The cycle mechanism, shared by the gateway in service and the router fleet."""
