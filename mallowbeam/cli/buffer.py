"""`mallowbeam buffer`: inspect, verify, export and flush the folder of a write-back buffer.

Exit status 2 means that the folder or a configuration file could not be read.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer
from rich.console import Console
from rich.progress import (
    BarColumn,
    DownloadColumn,
    MofNCompleteColumn,
    Progress,
    TextColumn,
    TimeRemainingColumn,
)
from rich.table import Table

from mallowbeam.storage_gateway.write_buffer import inspect
from mallowbeam.storage_gateway.write_buffer.disk import FolderLockedError
from mallowbeam.storage_gateway.write_buffer.errors import LogIOError
from mallowbeam.storage_gateway.write_buffer.records import UnsupportedFormatError

if TYPE_CHECKING:
    from mallowbeam.storage_gateway.write_buffer.service import Buffer

app = typer.Typer(
    no_args_is_help=True, help="Inspect, verify, export and flush a write-back buffer's folder."
)
Folder = Annotated[Path, typer.Argument(help="the buffer's folder", exists=True, file_okay=False)]
AsJson = Annotated[bool, typer.Option("--json", help="print JSON, for scripts")]
ERRORS = Console(stderr=True)
POLL_INTERVAL_S = 0.05  # seconds between two checks of how many writes are left to flush


@contextmanager
def plain_errors() -> Iterator[None]:
    """Report an unreadable folder as one line on standard error and exit with status 2."""
    try:
        yield
    except (UnsupportedFormatError, FolderLockedError, LogIOError, OSError) as error:
        typer.echo(f"mallowbeam: {getattr(error, 'line', error)}", err=True)
        raise typer.Exit(2) from None


@contextmanager
def progress(title: str, total: int) -> Iterator[Callable[[int], None]]:
    """Show a progress bar in bytes on standard error, if that is a terminal; yields its advance function."""
    columns = (TextColumn("{task.description}"), BarColumn(), DownloadColumn(), TimeRemainingColumn())
    with Progress(*columns, console=ERRORS, disable=not sys.stderr.isatty(), transient=True) as bar:
        task = bar.add_task(title, total=total)
        yield lambda size: bar.advance(task, size)


def print_result(fields: dict[str, object], text: str, as_json: bool) -> None:
    """Print one result: the fields as JSON, or the text."""
    typer.echo(json.dumps(fields) if as_json else text)


def report_table(report: inspect.Report) -> Table:
    """Format a report on a folder as a table of two columns, name and value."""
    rows = Table(show_header=False, box=None)
    rows.add_row("segments", f"{report.segments}, {report.bytes:,} bytes")
    rows.add_row(
        "writes to flush", f"{report.writes}, {report.write_bytes:,} bytes, oldest {report.oldest_s:.1f} s"
    )
    rows.add_row("of them in doubt", f"{report.in_doubt} (may have been sent)")
    rows.add_row("barriers pending", str(report.barriers))
    rows.add_row("by bucket", ", ".join(f"{name}: {n}" for name, n in sorted(report.buckets.items())) or "-")
    rows.add_row("records", ", ".join(f"{name}: {n}" for name, n in sorted(report.records.items())) or "-")
    for write in report.held:
        rows.add_row("held", f"{write['lsn']} {write['method']} {write['target']}: {write['reason']}")
    for damage in report.damage:
        rows.add_row(damage.kind, f"{damage.length} bytes in segment {damage.segment} at {damage.offset}")
    if report.missing:
        rows.add_row("missing", f"segments {report.missing}")
    if report.unreadable:
        rows.add_row("unreadable", f"writes {report.unreadable}")
    for name in report.apart:
        rows.add_row("set apart", name)
    return rows


@app.command()
def show(folder: Folder, as_json: AsJson = False) -> None:
    """Show the contents of the folder, which a running gateway may be using."""
    with plain_errors():
        report = inspect.inspect_folder(str(folder))
    if as_json:
        typer.echo(report.json())
    else:
        Console().print(report_table(report))


@app.command()
def verify(folder: Folder, as_json: AsJson = False) -> None:
    """Read and check every byte; exit status 1 if acknowledged data is damaged or missing."""
    with plain_errors(), progress("verifying", inspect.folder_bytes(str(folder))) as advance:
        report = inspect.inspect_folder(str(folder), chunks=True, progress=advance)
    if as_json:
        typer.echo(report.json())
    else:
        Console().print(report_table(report))
        typer.echo("whole" if report.is_intact else "NOT whole: something acknowledged is damaged or missing")
    raise typer.Exit(0 if report.is_intact else 1)


@app.command()
def export(
    folder: Folder,
    target: Annotated[Path, typer.Argument(help="a folder that does not exist yet")],
    as_json: AsJson = False,
) -> None:
    """Export every write that is not on the storage nodes yet as a file, with an index of the files."""
    if target.exists():
        typer.echo(f"mallowbeam: {target} exists already", err=True)
        raise typer.Exit(2)
    with plain_errors(), progress("exporting", inspect.inspect_folder(str(folder)).write_bytes) as advance:
        count = inspect.export_writes(str(folder), target, advance)
    print_result({"writes": count, "target": str(target)}, f"{count} writes in {target}", as_json)


@app.command()
def drain(
    fronts: Annotated[Path, typer.Option(help="the operators' file that names the folder")],
    balancer: Annotated[Path, typer.Option(help="the platform's configuration")],
    seconds: Annotated[float, typer.Option(help="time limit of the flush, in seconds")] = 600.0,
    send_held: Annotated[
        list[int] | None, typer.Option(help="log sequence number of a held write to send; may be given often")
    ] = None,
    drop_held: Annotated[
        list[int] | None, typer.Option(help="log sequence number of a held write to drop; may be given often")
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Flush the folder to the storage nodes while no gateway runs; exit status 1 if writes are left."""
    from mallowbeam.storage_gateway.server.config import GatewayConfigError

    try:
        release = ReleaseRequest(send=send_held or [], drop=drop_held or [])
        remaining = asyncio.run(flush_folder(fronts, balancer, seconds, release))
    except GatewayConfigError as error:
        typer.echo(f"mallowbeam: {error.line}", err=True)
        raise typer.Exit(2) from None
    print_result(
        {"left": remaining.writes, "held": remaining.suspended},
        f"{remaining.writes} writes left, {remaining.suspended} of them held",
        as_json,
    )
    raise typer.Exit(1 if remaining.writes else 0)


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """The held writes, by log sequence number, that the operator sends or drops before a flush."""

    send: list[int]
    drop: list[int]


@dataclass(frozen=True, slots=True)
class RemainingWrites:
    """How many writes a flush left in the folder, and how many of them are held."""

    writes: int
    suspended: int


async def flush_folder(
    fronts: Path, balancer: Path, timeout_s: float, release: ReleaseRequest
) -> RemainingWrites:
    """Run a gateway without listeners until its buffer is empty, for at most `timeout_s` seconds.

    Raises `GatewayConfigError` if one of the two files is invalid.
    """
    from mallowbeam.storage_gateway.application import open_buffered
    from mallowbeam.storage_gateway.server.config import read_config, read_file
    from mallowbeam.storage_gateway.server.gateway import Gateway

    config = read_config({**os.environ, "BALANCER_CONFIG": str(balancer)})
    gateway = Gateway(config)
    front = open_buffered(gateway, read_file(str(fronts)), upgrade=False)
    buffer = front.buffer
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, gateway.stop)
    run = asyncio.create_task(gateway.run([]))
    with suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await buffer.opened.wait()
            total = len(buffer.core.entries)
            _release_held(buffer, release)
            await _wait_until_flushed(buffer, run, total)
    remaining = RemainingWrites(len(buffer.core.entries), buffer.core.suspended)
    run.cancel()
    await asyncio.gather(run, return_exceptions=True)
    await buffer.stop()
    return remaining


def _release_held(buffer: Buffer, release: ReleaseRequest) -> None:
    """Send or drop the held writes that the operator named; reports and skips numbers not held."""
    now = buffer.clock()
    for lsn, dropped in [*((lsn, False) for lsn in release.send), *((lsn, True) for lsn in release.drop)]:
        if not buffer.core.release(now, lsn, dropped):
            typer.echo(f"mallowbeam: no write {lsn} is held", err=True)
    buffer.wake()


async def _wait_until_flushed(buffer: Buffer, gateway_task: asyncio.Task[None], total: int) -> None:
    """Show progress until only held writes are left or the gateway's task ends."""
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=ERRORS, disable=not sys.stderr.isatty(), transient=True) as bar:
        task = bar.add_task("writes", total=total)
        while len(buffer.core.entries) > buffer.core.suspended and not gateway_task.done():
            await asyncio.sleep(POLL_INTERVAL_S)
            bar.update(task, completed=total - len(buffer.core.entries))
