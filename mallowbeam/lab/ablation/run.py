"""Plays the days of an ablation in work trees of their own, some at a time."""

from __future__ import annotations

import asyncio
import shutil
from asyncio.subprocess import PIPE, STDOUT
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from mallowbeam.errors import MallowbeamError
from mallowbeam.lab.ablation.plan import Job, overrides_text
from mallowbeam.lab.ablation.results import Result, keep_result, read_output
from mallowbeam.router.processes.overrides import OVERRIDES_PATH

Told = Callable[[str], None]


class AblationError(MallowbeamError):
    """A work tree could not be made, or the bench gave no result."""

    code = "LAB_ABLATION"
    remedy = "look at the text that the bench printed, and start the trial again: it goes on"


@dataclass(frozen=True, slots=True)
class Bench:
    """How a day is played."""

    program: Path
    repository: Path
    folder: Path  # for the work trees, one for each variant
    until_s: float
    why: str
    lanes: int = 4  # days at a time


class Runner:
    """Plays jobs; each result is kept as soon as it is there."""

    def __init__(self, bench: Bench, results: Path, told: Told) -> None:
        self._bench, self._results, self._told = bench, results, told
        self._left = 0
        self._made: dict[str, asyncio.Task[Path]] = {}

    async def run(self, jobs: Sequence[Job]) -> None:
        """Play all; raises `AblationError` at the first that fails, with what came before kept."""
        self._left = len(jobs)
        queue = iter(jobs)
        async with asyncio.TaskGroup() as group:
            for _ in range(min(self._bench.lanes, len(jobs))):
                group.create_task(self._lane(queue))

    async def _lane(self, queue: object) -> None:
        for job in queue:  # type: ignore[attr-defined]
            await self._play(job)

    async def _play(self, job: Job) -> None:
        tree = await self._tree(job)
        command = [
            str(self._bench.program), "run", str(Path(job.play.site).resolve()), job.play.day,
            "--seed", str(job.play.seed), "--until", str(self._bench.until_s), "--no-cpu",
            "--why", f"{self._bench.why}: {job.variant.name}",
        ]  # fmt: skip
        output = await _output(command, tree)
        result = read_output(output, job.variant.name, job.play.key)
        if result is None:
            raise AblationError(f"{job.variant.name} {job.play.key}: {output[-400:]}")
        keep_result(self._results, result)
        self._left -= 1
        self._told(_line(result, self._left))

    async def _tree(self, job: Job) -> Path:
        """The work tree of a variant, made when first needed."""
        made = self._made.get(job.variant.name)
        if made is None:
            made = self._made[job.variant.name] = asyncio.ensure_future(self._make(job))
        return await made

    async def _make(self, job: Job) -> Path:
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
    broken = f" {result.broken}" if result.broken else ""
    return f"{result.variant} {result.play}: {result.worth:.4f}{broken} ({left} left)"


async def _output(command: Sequence[str], folder: Path) -> str:
    process = await asyncio.create_subprocess_exec(*command, cwd=folder, stdout=PIPE, stderr=STDOUT)
    try:
        output, _ = await process.communicate()
    finally:
        if process.returncode is None:  # the trial is being ended: so is what it started
            process.kill()
            await process.wait()
    return output.decode(errors="replace")
