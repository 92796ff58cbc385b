"""A small language for scenarios on sockets, and the environment that runs them.

A line consists of a party, a verb and arguments; `wait SECONDS` stands alone.  Parties: clients `c1`, `c2`,
... (`o1`, ... at the object front, `q1`, ... at the admin endpoint, `h1`, ... at the health endpoint, `a1`,
... at the agent check), nodes `n0`, `n1`, ..., discovery `d`, and the gateway `g`.

    c1 send read shard=1 deadline=500   send a platform request; or `METHOD TARGET name:value body=TEXT`
                                        (`fill=N`: a body of N bytes), or `raw "BYTES"` (and `fill=N`)
    n0 expect GET x-request-id          the next request received there matches these patterns
    n0 expect nothing                   no further request was received there
    n0 send 200 x-meter:50 body=hello   send the response, or `raw "BYTES"`
    c1 expect 200 hello                 the next response's status and patterns; `end`: the connection ends
    n0 close                            reset the connection of the last request (`n0 close all`: also stop
                                        listening); `c1 close` resets a client's; `g close` stops the gateway
    n0 end                              shut down the sending side, without a reset
    n0 wait                             stop reading
    wait 0.1                            wait that many seconds
"""

from __future__ import annotations

import asyncio
import json
import re
import shlex
import socket

import uvloop
from project_paths import EXAMPLE

from mallowbeam.http.framing import REASON_PHRASES, Framer, Message
from mallowbeam.storage_gateway.application import open_servers
from mallowbeam.storage_gateway.server import config as configs
from mallowbeam.storage_gateway.server.admin import open_admin
from mallowbeam.storage_gateway.server.gateway import Gateway
from mallowbeam.storage_gateway.server.handover import take_over

TIMEOUT_S = 10.0  # seconds to wait for an expected event
MAX_BODY_BYTES = 1 << 26


def format_message(message: Message) -> str:
    """Format a message as text for pattern matching."""
    start = f"{message.method.decode()} {message.target.decode()}" if message.method else str(message.status)
    lines = [f"{name.decode()}: {value.decode()}" for name, value in message.headers]
    return "\n".join([start, *lines, "", bytes(message.body).decode("latin-1")])


def check(message: Message, patterns: list[str]) -> None:
    """Assert that the first pattern matches at the start of the message, the others anywhere."""
    text = format_message(message)
    for i, pattern in enumerate(patterns):
        assert (re.match if i == 0 else re.search)(pattern, text), f"{pattern!r} is not in:\n{text}"


class Party:
    """One end of scripted connections: a client, a node or discovery."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[tuple[Message, asyncio.StreamWriter] | None] = asyncio.Queue()
        self.writer: asyncio.StreamWriter | None = None
        self.seen: list[Message] = []
        self.reading_stopped = False

    async def read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answers: bool) -> None:
        """Queue the messages received on a connection, then None for its end."""
        framer = Framer(answers, MAX_BODY_BYTES)
        try:
            while not self.reading_stopped and (data := await reader.read(65536)):
                framer.feed(memoryview(data))
                assert framer.error is None, framer.error
                while framer.ready:
                    self.received.put_nowait((framer.ready.popleft(), writer))
            if self.reading_stopped:
                await asyncio.Event().wait()
        except (OSError, asyncio.CancelledError):
            pass
        if framer.incoming is not None and framer.incoming.until_close:
            self.received.put_nowait((framer.incoming, writer))
        self.received.put_nowait(None)

    async def expect(self, patterns: list[str]) -> None:
        """Wait for the next message, or the end, and check it."""
        if patterns == ["nothing"]:
            return self._expect_nothing()
        async with asyncio.timeout(TIMEOUT_S):
            received = await self.received.get()
            while received is None and patterns != ["end"]:
                received = await self.received.get()
        if patterns == ["end"]:
            assert received is None, f"expected the end, received:\n{format_message(received[0])}"
            return None
        message, self.writer = received
        self.seen.append(message)
        check(message, patterns)
        return None

    def _expect_nothing(self) -> None:
        rest = [
            received
            for received in iter(lambda: self.received.empty() or self.received.get_nowait(), True)
            if received
        ]
        assert not rest, f"unexpected:\n{format_message(rest[0][0])}"

    def write(self, start: str, rest: list[str]) -> None:
        """Write a message of a start line, `name:value` headers and `body=TEXT` or `fill=N`."""
        given = {word[:5]: word[5:] for word in rest if word.startswith(("body=", "fill="))}
        body = given["body="].encode() if "body=" in given else b"x" * int(given.get("fill=", 0))
        headers = [word.replace(":", ": ", 1) for word in rest if word[:5] not in given]
        if not any(header.lower().startswith(("content-length", "transfer-encoding")) for header in headers):
            headers.append(f"content-length: {len(body)}")
        self.writer.write("\r\n".join([start, *headers, "", ""]).encode() + body)

    def raw(self, text: str, *rest: str) -> None:
        """Write bytes given with escapes; `fill=N` appends N more bytes."""
        fill = int(rest[0].removeprefix("fill=")) if rest else 0
        self.writer.write(text.encode().decode("unicode_escape").encode("latin-1") + b"x" * fill)

    def reset(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


class ScriptedServer(Party):
    """A scripted server: a node or discovery."""

    async def start(self) -> None:
        """Listen on a port that the kernel assigns."""
        self.server = await asyncio.start_server(lambda r, w: self.read(r, w, answers=False), "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    async def send(self, first: str, rest: list[str]) -> None:
        """Send the response to the last expected request."""
        if first == "raw":
            return self.raw(*rest)
        self.write(f"HTTP/1.1 {first} {REASON_PHRASES[int(first)]}", rest)
        return None


class Client(Party):
    """A scripted client; reuses one connection until it ends."""

    def __init__(self, address: tuple[str, int], number: int) -> None:
        super().__init__()
        self.address, self.number, self.count = address, number, 0
        self.task: asyncio.Task | None = None

    async def send(self, first: str, rest: list[str]) -> None:
        """Send a request, on a new connection if none is open."""
        if self.writer is None or self.writer.is_closing() or self.task.done():
            reader, self.writer = await asyncio.open_connection(*self.address)
            self.task = asyncio.create_task(self.read(reader, self.writer, answers=True))
        if first == "raw":
            return self.raw(*rest)
        if first not in ("read", "write"):
            return self.write(f"{first} {rest[0]} HTTP/1.1", ["host:test", *rest[1:]])
        self.count += 1
        cls, method = {"read": ("read", "GET"), "write": ("new-write", "PUT")}[first]
        values = {
            "id": f"{self.number:08x}{self.count:08x}",
            "cls": cls,
            "plan": "silver",
            "volume": f"{0xaa:016x}",
            "key": f"{self.count:016x}",
            "deadline": "1200",
            "units": "1",
            "shard": "0",
            "hosts": "1",
        }
        own = [word for word in rest if word.startswith("body=") or ":" in word]
        values.update(word.split("=", 1) for word in rest if word not in own)
        headers = [
            "host:test",
            f"x-request-id:{values['id']}",
            f"x-class:{values['cls']}",
            f"x-storage-class:{values['plan']}",
            f"x-deadline-ms:{values['deadline']}",
            f"x-extent:units={values['units']},shard={values['shard']},hosts={values['hosts']}",
        ]
        if first == "write":
            headers.append(f"idempotency-key:key-{values['key']}")
        self.write(f"{method} /{cls}/{values['volume']}/{values['key']} HTTP/1.1", headers + own)
        return None


class World:
    """A gateway between scripted parties; `servers` are node addresses that replace the scripted nodes."""

    def __init__(
        self,
        nodes: int = 1,
        servers: list[str] | None = None,
        sockets: int = 1024,
        before: World | None = None,
        meet: bool = False,
        buffer: dict | None = None,
        keys: str | None = None,
        pushed: bool = False,
        **settings: dict,
    ) -> None:
        self.nodes, self.servers, self.sockets, self.settings = nodes, servers, sockets, settings
        self.pushed = pushed  # whether the gateway receives member lists by push
        self.keys = keys  # file of the object front's access keys; None: authentication off
        self.buffer = buffer  # settings of the write-back buffer; None: off
        self.before, self.meet = before, meet  # the predecessor process; whether to hand over to a successor
        self.parties: dict[str, Party] = {}

    async def __aenter__(self) -> World:
        if self.before is None:
            self.config = configs.decode_config(await self.configuration(), {})
            takeover = None
        else:
            self.config, self.parties = self.before.config, dict(self.before.parties)
            self.parties.pop("q1", None)  # each process has an admin endpoint of its own
            takeover = await asyncio.to_thread(take_over, self.config)
        fronts = json.loads((EXAMPLE / "fronts.json").read_text())
        fronts["objects"].update(
            {"authentication": "off", "keys": None} if self.keys is None else {"keys": self.keys}
        )
        for name in ("objects", "health", "agent_check"):
            fronts[name]["listen"] = "127.0.0.1:0"
        if self.buffer:
            fronts["buffer"] = self.buffer
        self.gateway = Gateway(takeover.config(self.config) if takeover else self.config)
        servers = open_servers(self.gateway, fronts, takeover)
        self.health, self.agent, self.objects, self.platform = (s.address for s in servers)
        admin = open_admin(self.gateway)
        self.admin = admin.address
        self.task = asyncio.create_task(self.gateway.run(servers, admin, takeover, self.meet))
        while not self.gateway.ready:
            await asyncio.sleep(0)
        return self

    async def configuration(self) -> dict:
        """Return the example's configuration, changed to use scripted nodes and discovery."""
        for name in ["d", *(f"n{i}" for i in range(self.nodes))]:
            self.parties[name] = ScriptedServer()
            await self.parties[name].start()
        addresses = self.servers or [self.parties[f"n{i}"].address for i in range(self.nodes)]
        raw = json.loads((EXAMPLE / "config.json").read_text())
        for name, values in self.settings.items():
            part = raw["settings"][name]  # in lists (classes, plans), the entries named by `values` change
            for place in [part] if isinstance(part, dict) else part:
                place.update(values if place is part else values.get(place["Name"], {}))
        raw["settings"]["FamilyInfo"]["SlotsTotal"] = len(addresses)
        if self.pushed:
            raw["settings"]["Discovery"] = "pushed"
        member = raw["known"]["members"][0]
        raw["known"]["members"] = [
            member | {"id": f"n{i}", "cell": i, "host_port": address} for i, address in enumerate(addresses)
        ]
        raw |= {"listen": "127.0.0.1:0", "admin_addr": "127.0.0.1:0", "discovery": self.parties["d"].address}
        raw["limits"]["sockets"] = self.sockets
        return raw

    async def __aexit__(self, *_: object) -> None:
        self.task.cancel()
        for party in self.parties.values():
            if isinstance(party, ScriptedServer):
                party.server.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def hold_connecting(self) -> asyncio.Event:
        """Block new connections to nodes until the returned event is set."""
        gate, take = asyncio.Event(), self.gateway.pool.take
        self.connect_blocked = asyncio.Event()  # a connection attempt is blocked

        async def slow(address: str):
            self.connect_blocked.set()
            await gate.wait()
            return await take(address)

        self.gateway.pool.take = slow
        return gate

    def party(self, name: str) -> Party:
        """Return a party by its name; clients are created when first named."""
        if name not in self.parties:
            assert name[0] in "cohaq", f"no party {name}"
            address = {
                "c": self.platform,
                "o": self.objects,
                "h": self.health,
                "a": self.agent,
                "q": self.admin,
            }[name[0]]
            self.parties[name] = Client(address, len(self.parties))
        return self.parties[name]

    async def play(self, scenario: str) -> None:
        """Run a scenario line by line; `$n0` is replaced by that party's address."""
        for line in filter(None, (line.strip() for line in scenario.splitlines())):
            text = re.sub(r"\$(\w+)", lambda m: self.parties[m[1]].address, line)
            try:
                await self._line(shlex.split(text))
            except (AssertionError, TimeoutError) as error:
                raise AssertionError(f"at `{line}`: {error or 'timed out'}") from None

    async def _line(self, parts: list[str]) -> None:
        match parts:
            case ["wait", seconds]:
                await asyncio.sleep(float(seconds))
            case ["g", "close"]:
                self.gateway.stop()
            case ["g", "expect", "end"]:
                async with asyncio.timeout(TIMEOUT_S):
                    await self.task
            case [name, "send", first, *rest]:
                await self.party(name).send(first, rest)
            case [name, "expect", *patterns]:
                await self.party(name).expect(patterns)
            case [name, "close", "all"]:
                self.party(name).server.close()
                self.party(name).reset()
            case [name, "close"]:
                self.party(name).reset()
            case [name, "end"]:
                self.party(name).writer.write_eof()
            case [name, "wait"]:
                self.party(name).reading_stopped = True
            case _:
                raise ValueError(f"no such line: {parts}")


def play(scenario: str, **world: object) -> None:
    """Run one scenario in a new environment."""

    async def run() -> None:
        async with World(**world) as here:
            await here.play(scenario)

    uvloop.run(run())


def free_port() -> int:
    """Return a free port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
