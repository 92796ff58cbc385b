"""A role's own figures as text, in the exposition format of Prometheus, on a listener of their own.

Off unless the settings file has `metrics = "PORT/PATH"`.  Figures are read when they are asked for; nothing
is kept for them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.framing import Message, write_head
from mallowbeam.http.handler import Response
from mallowbeam.http.server import Server
from mallowbeam.router.processes.settings import NodeSettings

CONNECTIONS = 4
MOST_BODY = 1024
TEXT = (b"content-type", b"text/plain; version=0.0.4")


@dataclass(frozen=True, slots=True)
class Metric:
    """One figure; the unit is in the name, a label tells several of one name apart."""

    name: str
    value: float
    help: str
    kind: str = "gauge"  # or counter
    label: tuple[str, str] | None = None


Collect = Callable[[], Iterable[Metric]]


def exposition(metrics: Iterable[Metric]) -> bytes:
    """The figures as text; those of one name stand together."""
    families: dict[str, list[Metric]] = {}
    for metric in metrics:
        families.setdefault(metric.name, []).append(metric)
    lines: list[str] = []
    for name, family in families.items():
        lines += [f"# HELP {name} {family[0].help}", f"# TYPE {name} {family[0].kind}"]
        lines += [f"{name}{_label(metric)} {metric.value:g}" for metric in family]
    return "".join(f"{line}\n" for line in lines).encode()


def _label(metric: Metric) -> str:
    if metric.label is None:
        return ""
    name, value = metric.label
    escaped = value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
    return f'{{{name}="{escaped}"}}'


class MetricsFront:
    """Answers the one page."""

    max_body = whole = MOST_BODY
    budget: BodyBudget | None = None
    idle = 30.0  # seconds that a caller's connection may rest

    def __init__(self, path: bytes, collect: Collect) -> None:
        self._path, self._collect = path, collect

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Response:
        """One question to its answer."""
        if request.target.partition(b"?")[0] != self._path:
            return _reply(404, b"no such page\n", closing())
        if request.method != b"GET":
            return _reply(405, b"GET only\n", closing())
        return _reply(200, exposition(self._collect()), closing())

    def error_response(self, status: int, text: str) -> Response:
        """The answer to what breaks HTTP."""
        return _reply(status, text.encode() + b"\n", True)

    def ended(self, request: Message, status: int, whole: bool) -> None:
        """Nothing is counted here."""


def _reply(status: int, body: bytes, close: bool) -> Response:
    return Response(status, write_head(status, [TEXT], len(body), close) + body)


def metrics_server(settings: NodeSettings, collect: Collect) -> Server | None:
    """The listener that the settings ask for; None where they ask for none."""
    if settings.metrics is None:
        return None
    front = MetricsFront(settings.metrics.path.encode(), collect)
    address = (settings.ip, settings.metrics.port)
    return Server(address, front, CONNECTIONS, name="metrics", shared=False)
