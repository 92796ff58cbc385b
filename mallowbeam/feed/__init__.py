"""What members tell gateways: snapshot, changes, heartbeats; the decisions of both ends."""
