"""Messages between the router fleet's own processes: protobuf, length-prefixed frames, TCP connections.

It holds no state beyond each connection's buffers; `messages.proto` defines the messages.
Used by `control_plane` (peer links, feeds, calls) and by `data_plane` (feed link).
"""
