"""The storage gateway, in service: clients on one side, storage nodes on the other.

`application` joins what the configuration switches on: `server` (sockets, attempts, discovery), `scheduler`
(all decisions), `frontends` (protocols), `write_buffer` and `coordination` (agreement among gateways).
Callers: `mallowbeam.__main__` starts it; `cli`, `lab` and `standins` use its packages.
"""
