"""Plays the jobs of an ablation concurrently, each variant in a git work tree of its own."""

from __future__ import annotations

import asyncio
import shutil
from asyncio.subprocess import PIPE, STDOUT
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from mallowbeam.errors import MallowbeamError
from mallowbeam.lab.ablation.plan import Job, overrides_text
from mallowbeam.lab.ablation.results import Result, keep_result, read_output
from mallowbeam.router.processes.overrides import OVERRIDES_PATH

Report = Callable[[str], None]
MAX_ERROR_TEXT = 400  # characters of the bench's output shown in an error


class AblationError(MallowbeamError):
    """A work tree could not be created, or the bench printed no result."""

    code = "LAB_ABLATION"
    remedy = "look at the text that the bench printed, and start the trial again: it goes on"


@dataclass(frozen=True, slots=True)
class Bench:
    """The program that plays a day, and its parameters."""

    program: Path
    repository: Path
    folder: Path  # for the work trees, one for each variant
    until_s: float  # seconds of each day
    why: str  # a line for the bench's journal
    lanes: int = 4  # days at a time


class Runner:
    """Plays jobs and stores each result at once; `report` is called with a line for each."""

    def __init__(self, bench: Bench, results: Path, report: Report) -> None:
        self._bench = bench
        self._results = results
        self._report = report
        self._left = 0
        self._trees: dict[str, asyncio.Task[Path]] = {}

    async def run(self, jobs: Sequence[Job]) -> None:
        """Play all jobs; raises a group of `AblationError` at the first failure; earlier results stay."""
        self._left = len(jobs)
        queue = iter(jobs)
        async with asyncio.TaskGroup() as group:
            for _ in range(min(self._bench.lanes, len(jobs))):
                group.create_task(self._lane(queue))

    async def _lane(self, queue: Iterator[Job]) -> None:
        """Play jobs from the shared queue until it is empty."""
        for job in queue:
            await self._play(job)

    async def _play(self, job: Job) -> None:
        """Play one job and store its result; raises `AblationError`."""
        tree = await self._tree(job)
        command = [
            str(self._bench.program), "run", str(Path(job.play.site).resolve()), job.play.day,
            "--seed", str(job.play.seed), "--until", str(self._bench.until_s), "--no-cpu",
            "--why", f"{self._bench.why}: {job.variant.name}",
        ]  # fmt: skip
        output = await _output(command, tree)
        result = read_output(output, job.variant.name, job.play.key)
        if result is None:
            raise AblationError(f"{job.variant.name} {job.play.key}: {output[-MAX_ERROR_TEXT:]}")
        keep_result(self._results, result)
        self._left -= 1
        self._report(_line(result, self._left))

    async def _tree(self, job: Job) -> Path:
        """The work tree of a variant, created when first needed."""
        creation = self._trees.get(job.variant.name)
        if creation is None:
            creation = asyncio.ensure_future(self._create_tree(job))
            self._trees[job.variant.name] = creation
        return await creation

    async def _create_tree(self, job: Job) -> Path:
        """Create a variant's work tree with its overrides, and build it; raises `AblationError`."""
        tree = self._bench.folder / f"ablate-{job.variant.name}"
        git = ["git", "-C", str(self._bench.repository)]
        if tree.exists():
            shutil.rmtree(tree)
        await _output([*git, "worktree", "prune"], self._bench.repository)
        await _output([*git, "worktree", "add", "-q", "--detach", str(tree), "HEAD"], self._bench.repository)
        if not tree.is_dir():
            raise AblationError(f"no work tree at {tree}")
        if job.variant.overrides:
            (tree / OVERRIDES_PATH).write_text(overrides_text(job.variant.overrides))
        await _output([str(self._bench.program), "build"], tree)
        return tree


def _line(result: Result, left: int) -> str:
    """A result on one line, with the number of jobs left."""
    broken = f" {result.broken}" if result.broken else ""
    return f"{result.variant} {result.play}: {result.worth:.4f}{broken} ({left} left)"


async def _output(command: Sequence[str], folder: Path) -> str:
    """Run a command in a folder and return what it printed; cancelled, it kills the command."""
    process = await asyncio.create_subprocess_exec(*command, cwd=folder, stdout=PIPE, stderr=STDOUT)
    try:
        output, _ = await process.communicate()
    finally:
        if process.returncode is None:  # cancelled
            process.kill()
            await process.wait()
    return output.decode(errors="replace")
