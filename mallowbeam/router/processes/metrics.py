"""A role's metrics in the exposition format of Prometheus, on a separate listener.

Off unless the settings file contains `metrics = "PORT/PATH"`.  Metrics are collected for each request and
not stored.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.framing import Message, write_head
from mallowbeam.http.handler import Response
from mallowbeam.http.server import Server
from mallowbeam.router.processes.settings import NodeSettings

MAX_CONNECTIONS = 4
MAX_BODY_BYTES = 1024
CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4")


@dataclass(frozen=True, slots=True)
class Metric:
    """One sample; the unit is part of the name, a label distinguishes several samples of one name."""

    name: str
    value: float
    help: str
    kind: str = "gauge"  # or counter
    label: tuple[str, str] | None = None


Collect = Callable[[], Iterable[Metric]]


def exposition(metrics: Iterable[Metric]) -> bytes:
    """Samples as text, grouped by name."""
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


class MetricsHandler:
    """The HTTP handler of the metrics page."""

    max_body = max_buffered_body = MAX_BODY_BYTES
    budget: BodyBudget | None = None
    idle_timeout_s = 30.0  # seconds after which an idle connection is closed

    def __init__(self, path: bytes, collect: Collect) -> None:
        """Serve the page at `path`, which starts with a slash; `collect` is called for each request."""
        self._path = path
        self._collect = collect

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Response:
        """Serve one request."""
        if request.target.partition(b"?")[0] != self._path:
            return _reply(404, b"no such page\n", closing())
        if request.method != b"GET":
            return _reply(405, b"GET only\n", closing())
        return _reply(200, exposition(self._collect()), closing())

    def error_response(self, status: int, text: str, close: bool = True) -> Response:
        """The response to a violation of HTTP."""
        return _reply(status, text.encode() + b"\n", close)

    def finished(self, request: Message, status: int, whole: bool) -> None:
        """Do nothing: requests for this page are not counted."""


def _reply(status: int, body: bytes, close: bool) -> Response:
    return Response(status, write_head(status, [CONTENT_TYPE], len(body), close) + body)


def metrics_server(settings: NodeSettings, collect: Collect) -> Server | None:
    """The listener that the settings configure; None if they configure none."""
    if settings.metrics is None:
        return None
    handler = MetricsHandler(settings.metrics.path.encode(), collect)
    address = (settings.ip, settings.metrics.port)
    return Server(address, handler, MAX_CONNECTIONS, name="metrics", shared=False)
