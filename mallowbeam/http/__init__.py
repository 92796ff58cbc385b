"""HTTP/1.1 on httptools, server and client sides, shared by the gateway in service and the router fleet."""
