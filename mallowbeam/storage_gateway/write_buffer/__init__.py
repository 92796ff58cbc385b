"""The write-back buffer: writes acknowledged once they are durable here, and taken to the nodes later.

`core` decides (no I/O), `records` and `log` are the file format, `disk` is where bytes go, `store` runs the
log off the event loop, `service` joins them with the gateway.  `docs/buffer.md` says why it is built so.
"""
