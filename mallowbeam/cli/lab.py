"""`mallowbeam lab`: long trials that stay out of CI."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

app = typer.Typer(no_args_is_help=True, help="Trials and measurements on stand-ins.")
AsJson = Annotated[bool, typer.Option("--json", help="print JSON, for scripts")]


@app.command()
def stores(
    seconds: Annotated[float, typer.Option(help="of each load")] = 3.0,
    rounds: Annotated[int, typer.Option(help="turns of all loads")] = 3,
    folder: Annotated[Path | None, typer.Option(help="on the disk to be measured")] = None,
    as_json: AsJson = False,
) -> None:
    """Our log, LMDB and SQLite on the same work: acknowledgements a second, bytes written, recovery."""
    from mallowbeam.lab import stores as trial
    with tempfile.TemporaryDirectory(dir=folder) as place:
        results = trial.compare(Path(place), seconds, rounds)
    if as_json:
        return typer.echo(trial.as_json(results))
    table = Table("store", "writers", "acks/s", "p50 ms", "p99 ms", "batch", "written/taken", "recover s",
                  "records")
    for row in results:
        table.add_row(row.store, str(row.writers), f"{row.acks_per_s:,.0f}", str(row.p50_ms), str(row.p99_ms),
                      str(row.batch), str(row.written_per_taken), str(row.recover_s), f"{row.records:,}")
    Console().print(table)
