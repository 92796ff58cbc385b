"""HTTP/1.1 over asyncio sockets, server and client sides; httptools parses, `framing.py` limits and writes.

State: per connection the parser, read-ahead and response task; per server or pool the connection count and
the shared body budget.  The storage gateway and the router fleet use it through `server.Server` with a
`handler.RequestHandler`, and through `client.connect` and `client.Pool`.
"""
