"""Raft without I/O: elections, replication, membership changes, reads."""
