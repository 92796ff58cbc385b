"""HTTP/1.1 over asyncio sockets, server and client sides; httptools parses, `framing.py` bounds and writes.

State: per connection its parser, read-ahead and response task; per server or pool the connection count and
the shared body budget.  Called by the storage gateway and by the router fleet, through `server.Server` with a
`handler.RequestHandler`, and through `client.connect` and `client.Pool`.
"""
