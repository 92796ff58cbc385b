"""Instances from their heartbeats: incarnations, drains, expiry, gossip among members."""
