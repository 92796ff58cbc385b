"""The write-back buffer: writes are acknowledged once durable here, and sent to the storage nodes later.

Owns the folder with the segmented log and, in memory, the state of every write that is not on its node yet.
The buffered object front (`frontends/object_api/buffered.py`) calls it and is its way to the nodes.

`core` decides (no I/O), `records` and `log` are the file format, `disk` is the file system, `store` runs the
log off the event loop with group commit, `service` joins them with the gateway.  See docs/buffer.md.
"""
