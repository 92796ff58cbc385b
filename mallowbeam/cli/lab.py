"""`mallowbeam lab`: run long trials and measurements, which CI does not run, and print their results."""

from __future__ import annotations

import asyncio
import json
import shutil
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

app = typer.Typer(no_args_is_help=True, help="Trials and measurements against stand-in servers.")
AsJson = Annotated[bool, typer.Option("--json", help="print JSON, for scripts")]
FAULT_TRIALS = {"policy": "trial", "maintenance": "work"}  # --kind to module of mallowbeam.lab.faults
MAX_FAILURES_SHOWN = 20
PROGRESS_INTERVAL_S = 0.2  # seconds between two updates of a progress bar


@contextmanager
def progress_bar(title: str, total: int) -> Iterator[Callable[[int], None]]:
    """Show a progress bar on standard error, if that is a terminal; yields its advance function."""
    with Progress(console=Console(stderr=True), disable=not sys.stderr.isatty(), transient=True) as progress:
        task = progress.add_task(title, total=total)
        yield lambda count: progress.advance(task, count)


def print_results(results: Sequence[Any], as_json: bool) -> None:
    """Print dataclasses of one type as JSON, or as a table with a row for each."""
    documents = [asdict(result) for result in results]
    if as_json:
        typer.echo(json.dumps(documents, indent=1))
        return
    table = Table(*(name.replace("_", " ") for name in documents[0]))
    for document in documents:
        table.add_row(*(_format(value) for value in document.values()))
    Console().print(table)


def _format(value: object) -> str:
    """Format a number with thousands separators; any other value as text."""
    return f"{value:,}" if isinstance(value, int | float) else str(value)


@app.command()
def stores(
    seconds: Annotated[float, typer.Option(help="duration of each load")] = 3.0,
    rounds: Annotated[int, typer.Option(help="rounds over all loads")] = 3,
    folder: Annotated[Path | None, typer.Option(help="a folder on the disk to measure")] = None,
    as_json: AsJson = False,
) -> None:
    """Compare our log, LMDB and SQLite under one load: acknowledgements a second, bytes written, recovery."""
    from mallowbeam.lab import stores as trial

    with tempfile.TemporaryDirectory(dir=folder) as directory:
        results = trial.compare(Path(directory), seconds, rounds)
    print_results(results, as_json)


@app.command()
def starts(
    count: Annotated[int, typer.Option(help="gateways started at once")] = 40,
    hosts: Annotated[int, typer.Option(help="storage nodes in each gateway's list")] = 200,
    as_json: AsJson = False,
) -> None:
    """Time many concurrent starts, exec to ready, while discovery rejects every call; slowest start last."""
    from mallowbeam.lab import starts as trial

    print_results(trial.run(count, hosts), as_json)


@app.command()
def faults(
    runs: Annotated[int, typer.Option(help="number of trials; each has its own seed")] = 200,
    seed: Annotated[int, typer.Option(help="seed of the first trial")] = 1,
    lanes: Annotated[int, typer.Option(help="concurrent trials, of five gateways each")] = 3,
    kind: Annotated[str, typer.Option(help="kind of trial: policy or maintenance")] = "policy",
    as_json: AsJson = False,
) -> None:
    """Test policy changes or machine maintenance under seeded faults; exit status 1 on a violation."""
    from importlib import import_module

    from mallowbeam.lab.faults.lanes import in_lanes

    if kind not in FAULT_TRIALS:
        raise typer.BadParameter(" or ".join(FAULT_TRIALS), param_hint="--kind")
    trial = import_module(f"mallowbeam.lab.faults.{FAULT_TRIALS[kind]}")
    results = []
    with progress_bar("trials", runs) as step:
        for result in in_lanes(trial.run, range(seed, seed + runs), lanes):
            results.append(result)
            # Printed immediately because a long run may be interrupted.
            for line in (*result.wrong, *result.look_at):
                typer.echo(f"seed {result.seed}: {line}", err=True)
            step(1)
    print_results([trial.summary(results)], as_json)
    if any(result.wrong for result in results):
        raise typer.Exit(1)


BufferTrial = Callable[
    [Path, int, int, int, "asyncio.Queue[int]"], Coroutine[Any, Any, tuple[Counter[str], list[str]]]
]


@app.command("crash-buffer")
def crash_buffer(
    runs: Annotated[int, typer.Option(help="number of gateways to kill")] = 2000,
    lanes: Annotated[int, typer.Option(help="concurrent gateways")] = 6,
    seed: Annotated[int, typer.Option()] = 1,
    folder: Annotated[
        Path | None, typer.Option(help="parent of the trial's folder, which is kept on failure")
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Kill gateways with a write-back buffer under load, then check that acknowledged writes survived."""
    from mallowbeam.lab import crash as trial

    _run_buffer_trial(trial.crash, "gateways killed", runs, lanes, seed, folder, as_json)


@app.command("hand-over-buffer")
def hand_over_buffer(
    runs: Annotated[int, typer.Option(help="number of hand-overs")] = 200,
    lanes: Annotated[int, typer.Option(help="concurrent gateways")] = 6,
    seed: Annotated[int, typer.Option()] = 1,
    folder: Annotated[
        Path | None, typer.Option(help="parent of the trial's folder, which is kept on failure")
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Hand over gateways with a write-back buffer under load; every call must be answered and none lost."""
    from mallowbeam.lab import handover as trial

    _run_buffer_trial(trial.hand_over_gateways, "hand-overs", runs, lanes, seed, folder, as_json)


def _run_buffer_trial(
    trial: BufferTrial, title: str, runs: int, lanes: int, seed: int, folder: Path | None, as_json: bool
) -> NoReturn:
    """Run a trial in a folder of its own; on violations, keep the folder and exit with status 1."""
    directory = Path(tempfile.mkdtemp(dir=folder))

    async def run() -> tuple[Counter[str], list[str]]:
        finished: asyncio.Queue[int] = asyncio.Queue()
        with progress_bar(title, runs) as advance:
            trial_task = asyncio.create_task(trial(directory, runs, lanes, seed, finished))
            while not trial_task.done():
                await asyncio.wait([trial_task], timeout=PROGRESS_INTERVAL_S)
                while not finished.empty():
                    advance(finished.get_nowait())
            return trial_task.result()

    counts, failures = asyncio.run(run())
    if as_json:
        typer.echo(json.dumps({"seed": seed, "counts": counts, "wrong": failures}))
    else:
        _print_buffer_counts(counts, failures)
        verdict = f"{len(failures)} WRONG, see {directory}" if failures else "nothing wrong"
        typer.echo(f"seed {seed}: {verdict}")
    if not failures:
        shutil.rmtree(directory)
    raise typer.Exit(1 if failures else 0)


def _print_buffer_counts(counts: Counter[str], failures: list[str]) -> None:
    """Print the counters of a buffer trial, then its first failures."""
    table = Table(show_header=False, box=None)
    for name, count in sorted(counts.items()):
        table.add_row(name, f"{count:,}")
    Console().print(table)
    for failure in failures[:MAX_FAILURES_SHOWN]:
        typer.echo(failure)


@app.command("ack-buffer")
def ack_buffer(
    rate: Annotated[float, typer.Option(help="writes a second")] = 200.0,
    seconds: Annotated[float, typer.Option(help="duration of each load")] = 10.0,
    rounds: Annotated[int, typer.Option()] = 3,
    as_json: AsJson = False,
) -> None:
    """Measure a write's acknowledgement time, buffered and direct, with and without pauses of the nodes."""
    from mallowbeam.lab import ack as trial

    with tempfile.TemporaryDirectory() as directory:
        results = asyncio.run(trial.measure(Path(directory) / "rig", rate, seconds, rounds))
    print_results(results, as_json)


@app.command("recover-buffer")
def recover_buffer(
    records: Annotated[int, typer.Option(help="writes in the folder")] = 1_000_000,
    size: Annotated[int, typer.Option(help="bytes of each write")] = 1024,
    settled: Annotated[
        float, typer.Option(help="share of the writes that later records mark as settled")
    ] = 0.0,
    rounds: Annotated[int, typer.Option()] = 1,
    as_json: AsJson = False,
) -> None:
    """Measure a folder's recovery time, against only reading its files, and memory use during recovery."""
    from mallowbeam.lab import recover as trial

    results = []
    for _ in range(rounds):
        with tempfile.TemporaryDirectory() as directory:
            results.append(trial.measure(Path(directory) / "folder", records, size, settled))
    print_results(results, as_json)


@app.command()
def days(
    seed: Annotated[int, typer.Option(help="seed of the first day")],
    site: Annotated[Path, typer.Option(help="the deployment's site file, TOML")],
    count: Annotated[int, typer.Option(help="number of days, with consecutive seeds")] = 1,
    out: Annotated[Path, typer.Option(help="folder for the generated files")] = Path("."),
) -> None:
    """Generate random test days, with any kind of fault at any time, as a TOML file each."""
    from mallowbeam.lab.days.draw import draw_day
    from mallowbeam.lab.days.site import SiteFileError, read_site
    from mallowbeam.lab.days.text import day_text

    try:
        deployment = read_site(site.read_text())
    except (OSError, SiteFileError) as error:
        typer.echo(f"mallowbeam: {site}: {error}", err=True)
        raise typer.Exit(2) from None
    out.mkdir(parents=True, exist_ok=True)
    for day_seed in range(seed, seed + count):
        path = out / f"{deployment.name}-{day_seed}.toml"
        path.write_text(day_text(draw_day(deployment, day_seed), deployment.name))
        typer.echo(path)


@app.command()
def sites(
    seed: Annotated[int, typer.Option(help="seed of the first deployment")],
    source: Annotated[Path, typer.Option("--from", help="the site file to vary, TOML")],
    count: Annotated[int, typer.Option(help="number of deployments, with consecutive seeds")] = 1,
    out: Annotated[Path, typer.Option(help="folder for the generated files")] = Path("."),
) -> None:
    """Generate variants of a deployment: other names, engines, links, objectives and shares of traffic."""
    from mallowbeam.lab.sites import SiteError, draw_site

    out.mkdir(parents=True, exist_ok=True)
    for site_seed in range(seed, seed + count):
        try:
            text = draw_site(source.read_text(), site_seed)
        except (OSError, SiteError) as error:
            typer.echo(f"mallowbeam: {source}: {error}", err=True)
            raise typer.Exit(2) from None
        path = out / f"{source.stem}-drawn-{site_seed}.toml"
        path.write_text(text)
        typer.echo(path)


@app.command()
def ablate(  # noqa: PLR0913 - each parameter is one option of the command
    variants: Annotated[Path, typer.Option(help="TOML: a table of settings for each disabled mechanism")],
    site: Annotated[list[Path], typer.Option(help="site files")],
    day: Annotated[list[str], typer.Option(help="days with their seeds, DAY:SEED")],
    bench: Annotated[Path, typer.Option(help="the program that runs a day")],
    folder: Annotated[Path, typer.Option(help="folder for the work trees, one for each variant")],
    results: Annotated[Path, typer.Option(help="file of the results; days in it are not run again")],
    until: Annotated[float, typer.Option(help="how many seconds of each day to run")] = 16.0,
    lanes: Annotated[int, typer.Option(help="concurrent days")] = 4,
    why: Annotated[str, typer.Option(help="a line for the journal")] = "trial: ablation",
    as_json: AsJson = False,
) -> None:
    """Run days in pairs, with and without each mechanism; print a table and a plot of each one's effect."""
    from mallowbeam.lab.ablation.plan import Play, VariantsError, jobs_of, read_days, read_variants
    from mallowbeam.lab.ablation.results import effects, load_results, plot
    from mallowbeam.lab.ablation.run import AblationError, Bench, Runner

    try:
        ablations = read_variants(variants.read_text())
        plays = [Play(str(path), name, seed) for path in site for name, seed in read_days(day)]
    except (OSError, VariantsError) as error:
        typer.echo(f"mallowbeam: {error}", err=True)
        raise typer.Exit(2) from None
    done = [(result.variant, result.play) for result in load_results(results)]
    day_bench = Bench(bench.resolve(), Path.cwd(), folder.resolve(), until, why, lanes)
    runner = Runner(day_bench, results, lambda line: typer.echo(line, err=True))
    try:
        asyncio.run(runner.run(jobs_of(ablations, plays, done)))
    except* AblationError as failures:
        for failure in failures.exceptions:
            typer.echo(f"mallowbeam: {failure}", err=True)
        raise typer.Exit(1) from None
    table = effects(load_results(results))
    if table:
        print_results(table, as_json)
    if table and not as_json:
        typer.echo(plot(table))
