"""The storage gateway: forwards the requests of clients to storage nodes.

`application` assembles what the configuration enables: `server` (sockets, attempts, discovery), `scheduler`
(all decisions), `frontends` (protocols), `write_buffer` and `coordination` (agreement among gateways).
Callers: `mallowbeam.__main__` starts it; `cli`, `lab` and `standins` use its packages.
"""
