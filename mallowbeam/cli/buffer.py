"""`mallowbeam buffer`: a write-back buffer's folder shown, verified, exported, and brought to the nodes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

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

app = typer.Typer(no_args_is_help=True, help="Look at and empty a write-back buffer's folder.")
Folder = Annotated[Path, typer.Argument(help="the buffer's folder", exists=True, file_okay=False)]
AsJson = Annotated[bool, typer.Option("--json", help="print JSON, for scripts")]
ERRORS = Console(stderr=True)


@contextmanager
def plain_errors() -> Iterator[None]:
    """One line and exit status 2 for what can't be read."""
    try:
        yield
    except (UnsupportedFormatError, FolderLockedError, LogIOError, OSError) as error:
        typer.echo(f"mallowbeam: {getattr(error, 'line', error)}", err=True)
        raise typer.Exit(2) from None


@contextmanager
def progress(what: str, total: int) -> Iterator[Callable[[int], None]]:
    """A bar for long work, on standard error and only where that is a terminal."""
    columns = (TextColumn("{task.description}"), BarColumn(), DownloadColumn(), TimeRemainingColumn())
    with Progress(*columns, console=ERRORS, disable=not sys.stderr.isatty(), transient=True) as bar:
        task = bar.add_task(what, total=total)
        yield lambda size: bar.advance(task, size)


def say(fields: dict[str, object], text: str, as_json: bool) -> None:
    """One result, for scripts or for people."""
    typer.echo(json.dumps(fields) if as_json else text)


def table(report: inspect.Report) -> Table:
    """A report for people."""
    rows = Table(show_header=False, box=None)
    rows.add_row("segments", f"{report.segments}, {report.bytes:,} bytes")
    rows.add_row(
        "writes to flush", f"{report.writes}, {report.write_bytes:,} bytes, oldest {report.oldest_s:.1f} s"
    )
    rows.add_row("of them in doubt", f"{report.in_doubt} (may have been sent)")
    rows.add_row("barriers pending", str(report.barriers))
    rows.add_row("by bucket", ", ".join(f"{name}: {n}" for name, n in sorted(report.buckets.items())) or "-")
    rows.add_row("records", ", ".join(f"{name}: {n}" for name, n in sorted(report.records.items())) or "-")
    for held in report.held:
        rows.add_row("held", f"{held['lsn']} {held['method']} {held['target']}: {held['reason']}")
    for bad in report.damage:
        rows.add_row(bad.kind, f"{bad.length} bytes in segment {bad.segment} at {bad.offset}")
    if report.missing:
        rows.add_row("missing", f"segments {report.missing}")
    if report.unreadable:
        rows.add_row("unreadable", f"writes {report.unreadable}")
    for name in report.apart:
        rows.add_row("set apart", name)
    return rows


@app.command()
def show(folder: Folder, as_json: AsJson = False) -> None:
    """What the folder holds; it may be in use."""
    with plain_errors():
        report = inspect.inspect_folder(str(folder))
    if as_json:
        typer.echo(report.json())
    else:
        Console().print(table(report))


@app.command()
def verify(folder: Folder, as_json: AsJson = False) -> None:
    """Read every byte again; exit status 1 where something acknowledged is damaged or missing."""
    with plain_errors(), progress("verifying", inspect.folder_bytes(str(folder))) as told:
        report = inspect.inspect_folder(str(folder), chunks=True, progress=told)
    if as_json:
        typer.echo(report.json())
    else:
        Console().print(table(report))
        typer.echo("whole" if report.is_intact else "NOT whole: something acknowledged is damaged or missing")
    raise typer.Exit(0 if report.is_intact else 1)


@app.command()
def export(
    folder: Folder,
    target: Annotated[Path, typer.Argument(help="a folder that does not exist yet")],
    as_json: AsJson = False,
) -> None:
    """Write all that is not on the nodes yet as files, with an index."""
    if target.exists():
        typer.echo(f"mallowbeam: {target} exists already", err=True)
        raise typer.Exit(2)
    with plain_errors(), progress("exporting", inspect.inspect_folder(str(folder)).write_bytes) as told:
        count = inspect.export_writes(str(folder), target, told)
    say({"writes": count, "target": str(target)}, f"{count} writes in {target}", as_json)


@app.command()
def drain(
    fronts: Annotated[Path, typer.Option(help="the operators' file that names the folder")],
    balancer: Annotated[Path, typer.Option(help="the platform's configuration")],
    seconds: Annotated[float, typer.Option(help="give up after so long")] = 600.0,
    send_held: Annotated[list[int] | None, typer.Option(help="let a held write go, by its number")] = None,
    drop_held: Annotated[list[int] | None, typer.Option(help="drop a held write, by its number")] = None,
    as_json: AsJson = False,
) -> None:
    """Bring all that the folder holds to the nodes, with no gateway running; status 1 where some is left."""
    from mallowbeam.storage_gateway.server.config import GatewayConfigError

    try:
        left, held = asyncio.run(drained(fronts, balancer, seconds, send_held or [], drop_held or []))
    except GatewayConfigError as error:
        typer.echo(f"mallowbeam: {error.line}", err=True)
        raise typer.Exit(2) from None
    say({"left": left, "held": held}, f"{left} writes left, {held} of them held", as_json)
    raise typer.Exit(1 if left else 0)


async def drained(
    fronts: Path, balancer: Path, seconds: float, send: list[int], drop: list[int]
) -> tuple[int, int]:
    """Run a gateway without doors until its buffer is empty; how many writes are left, and how many held."""
    from mallowbeam.storage_gateway.application import open_buffered
    from mallowbeam.storage_gateway.server.config import read_config, read_file
    from mallowbeam.storage_gateway.server.gateway import Gateway

    config = read_config({**os.environ, "BALANCER_CONFIG": str(balancer)})
    gateway = Gateway(config)
    front = open_buffered(gateway, read_file(str(fronts)), upgrade=False)
    buffer = front.buffer
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, gateway.stop)
    run = asyncio.create_task(gateway.run([]))
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=ERRORS, disable=not sys.stderr.isatty(), transient=True) as bar:
        try:
            async with asyncio.timeout(seconds):
                await buffer.opened.wait()
                now, total = buffer.clock(), len(buffer.core.entries)
                for lsn, dropped in [*((n, False) for n in send), *((n, True) for n in drop)]:
                    if not buffer.core.release(now, lsn, dropped):
                        typer.echo(f"mallowbeam: no write {lsn} is held", err=True)
                buffer.wake()
                task = bar.add_task("writes", total=total)
                while len(buffer.core.entries) > buffer.core.suspended and not run.done():
                    await asyncio.sleep(0.05)
                    bar.update(task, completed=total - len(buffer.core.entries))
        except TimeoutError:
            pass
    left = len(buffer.core.entries), buffer.core.suspended
    run.cancel()
    await asyncio.gather(run, return_exceptions=True)
    await buffer.stop()
    return left
