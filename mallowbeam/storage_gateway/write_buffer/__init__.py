"""The write-back buffer: writes are acknowledged once durable here, and sent to the storage nodes later.

Owns the folder with the segmented log and, in memory, the state of every write that is not on its node yet.
The buffered object front end (`frontends/object_api/buffered.py`) calls it and sends its writes to the nodes.

`core` makes the decisions (no I/O), `records` and `log` are the file format, `disk` is the file system,
`store` runs the log off the event loop with group commit, `service` connects them to the gateway.
See docs/buffer.md.
"""
