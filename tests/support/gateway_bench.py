"""A gateway's client endpoint on loopback with stand-in instances, and a raw client."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from mallowbeam.http.server import Server
from mallowbeam.router.configuration.model import Backend, Configuration, Engine, Route, WeightedBackend
from mallowbeam.router.data_plane.client_frontend import ClientFrontend
from mallowbeam.router.data_plane.gateway import Gateway
from mallowbeam.router.data_plane.link_pool import LinkPool
from mallowbeam.router.data_plane.planner_interface import LeastLoadedPlanner, Planner
from mallowbeam.router.data_plane.retry_budget import BudgetSettings, RetryBudgets
from mallowbeam.router.feed.instance_replica import InstanceChanges
from mallowbeam.router.rpc.messages_pb2 import DRAINS, READY, Instance
from mallowbeam.standins.model_server import ModelServer

HOST = "host.example"
PLAIN, ENGINE = "plain", "engine"
BUDGET = BudgetSettings(ratio=0.2, window_s=10.0, min_retries=20)


def route(prefix: str, route_type: str, backend: str = PLAIN, **more: object) -> Route:
    fields: dict[str, object] = {"timeout_ms": 2000, "target_latency_ms": 300, "max_retries": 3}
    fields.update(more)
    return Route(
        hostname=HOST,
        path_prefix=prefix,
        route_type=route_type,
        name=prefix,
        backends=(WeightedBackend(backend, 1),),
        **fields,
    )  # type: ignore[arg-type]


def configuration(*routes: Route, revision: int = 1) -> Configuration:
    engine = Engine(
        slots=8,
        kv_capacity=100000,
        kv_token_bytes=1000,
        link_mbps=1000.0,
        stride=1,
        handle_ttl_s=5.0,
        switch_s=1.0,
        models=("m",),
    )
    backends = (Backend(PLAIN, max_connections=10), Backend(ENGINE, max_connections=10, engine=engine))
    return Configuration(
        revision=revision,
        routes={one.key: one for one in routes},
        backends={one.name: one for one in backends},
    )


DEFAULT = configuration(
    route("/safe/", "safe"),
    route("/unsafe/", "unsafe"),
    route("/once/", "unsafe", max_retries=1),
    route("/stream/", "stream", ENGINE, priority=1, gap_aim_ms=100),
    route("/resume/", "stream", ENGINE, resumable=True, gap_aim_ms=100),
)


@dataclass
class Answer:
    """A client's answer; `complete` if it is complete by its framing."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    chunks: list[bytes] = field(default_factory=list)


class Bench:
    """A gateway with instances and clients; use as `async with Bench() as bench`."""

    def __init__(
        self,
        config: Configuration | None = DEFAULT,
        planner: Planner | None = None,
        budget: BudgetSettings = BUDGET,
    ) -> None:
        self.instances: dict[str, ModelServer] = {}
        self._table: dict[str, Instance] = {}
        self._config, self._planner, self._budget = config, planner, budget
        self._clients: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> Bench:
        self.gateway = Gateway(
            "z1", LinkPool(100), RetryBudgets(self._budget), self._planner or LeastLoadedPlanner()
        )
        self.gateway.view.instances = self._table
        self.front = ClientFrontend(self.gateway, 300)
        if self._config is not None:
            self.gateway.set_configuration(self._config, 0.0)
            self.front.set_limits(self._config.limits)
        self.server = Server(("127.0.0.1", 0), self.front, 64)
        self.server.start()
        return self

    def close_clients(self) -> None:
        """Close all client connections."""
        for client in self._clients:
            client.close()

    async def __aexit__(self, *_: object) -> None:
        self.close_clients()
        await self.server.drain(0.2)
        await self.gateway.handles.finish()
        self.gateway.pool.close()
        for instance in self.instances.values():
            await instance.stop()

    async def add(
        self, id: str, backend: str = PLAIN, stage: str = "", zone: str = "z1", **more: object
    ) -> ModelServer:
        instance = ModelServer(id, stage, **more)  # type: ignore[arg-type]
        await instance.start()
        self.instances[id] = instance
        for other in self.instances.values():
            other.peers.update({one.address: one for one in self.instances.values()})
        row = Instance(
            id=id, backend=backend, address=instance.address, zone=zone, slots=8, state=READY, stage=stage
        )
        row.models.add(name="m", revision=1)
        self.update_instances(row)
        return instance

    def update_instances(self, *rows: Instance, ended: tuple[str, ...] = ()) -> None:
        """Change the instance table as the feed does."""
        for row in rows:
            self._table[row.id] = row
        for id in ended:
            self._table.pop(id, None)
        self.gateway.instances_changed(InstanceChanges(rows, ended), 0.0)

    def drain(self, id: str) -> None:
        row = Instance()
        row.CopyFrom(self._table[id])
        row.state = DRAINS
        self.update_instances(row)

    async def client(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(*self.server.address)
        self._clients.append(writer)
        return reader, writer

    async def ask(
        self,
        target: str,
        method: str = "POST",
        body: bytes = b"question",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        reader, writer = await self.client()
        writer.write(request_bytes(target, method, body, headers))
        return await read_answer(reader)


def request_bytes(
    target: str, method: str = "POST", body: bytes = b"question", headers: dict[str, str] | None = None
) -> bytes:
    named = {
        "Host": HOST,
        "Request-Id": "9c41d07be2a35f68",
        "Deadline-Ms": "1500",
        "Token-Usage": "1460,80",
        **(headers or {}),
    }
    lines = [
        f"{method} {target} HTTP/1.1",
        *(f"{name}: {value}" for name, value in named.items()),
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_head(reader: asyncio.StreamReader) -> Answer:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:] if line)
    }
    return Answer(int(lines[0].split(" ")[1]), headers, b"", False)


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    answer = await read_head(reader)
    try:
        if "transfer-encoding" in answer.headers:
            while size := int(await reader.readline(), 16):
                answer.chunks.append((await reader.readexactly(size + 2))[:-2])
            await reader.readline()
        else:
            answer.chunks.append(await reader.readexactly(int(answer.headers["content-length"])))
        answer.complete = True
    except (asyncio.IncompleteReadError, ValueError, ConnectionResetError):
        pass
    answer.body = b"".join(answer.chunks)
    return answer


def events(first: int = 1, last: int = 5) -> bytes:
    return b"".join(b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(first, last + 1))
