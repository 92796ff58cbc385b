"""Raft as a core without I/O: elections, log replication, membership changes, linearizable reads.

Owns term, vote, log, commit index and membership of one control plane member; `storage` makes them durable.
Driven by `control_plane.raft_driver`, which passes in time, messages, proposals and executes each `Output`.
"""
