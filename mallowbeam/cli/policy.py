"""`mallowbeam policy`: push a policy to the whole fleet, and show what is in force."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Annotated, Any

import httpx
import typer
from rich.console import Console
from rich.table import Table

from mallowbeam.errors import MallowbeamError

app = typer.Typer(no_args_is_help=True, help="The policy of the whole fleet: everywhere or nowhere.")
At = Annotated[list[str], typer.Option("--at", help="a gateway's policy page, host:port; may be given often")]


ASK_S = 5.0  # seconds that a gateway is waited for; longer than it waits for a push's end


async def _ask(address: str, method: str, body: bytes = b"", base: int = 0) -> tuple[int, dict[str, Any]]:
    """One call at a gateway's page; (0, {"what": ...}) where it can't be reached."""
    try:
        async with asyncio.timeout(ASK_S), httpx.AsyncClient(trust_env=False, timeout=None) as client:
            headers = {"If-Match": f'"{base}"'} if method == "PUT" else {}
            answer = await client.request(method, f"http://{address}/policy", content=body, headers=headers)
        told = answer.json()
        return answer.status_code, told if isinstance(told, dict) else {"what": "not a policy page"}
    except (httpx.HTTPError, httpx.InvalidURL, TimeoutError, ValueError) as error:
        return 0, {"what": str(error) or "no answer"}


@app.command()
def show(
    at: At,
    as_json: Annotated[bool, typer.Option("--json", help="print JSON, for scripts")] = False,
) -> None:
    """What each gateway has in force, and how sure it is; exit status 1 unless all serve one version."""

    async def all_of_them() -> list[tuple[int, dict[str, Any]]]:
        return await asyncio.gather(*(_ask(address, "GET") for address in at))

    answers = asyncio.run(all_of_them())
    if as_json:
        told_by = zip(at, answers, strict=True)
        typer.echo(json.dumps([{"at": address, **told} for address, (_, told) in told_by]))
    else:
        table = Table("at", "name", "phase", "serves", "version", "digest", "leader")
        for address, (status, told) in zip(at, answers, strict=True):
            table.add_row(
                address,
                *(
                    str(told.get(key, ""))
                    for key in ("name", "phase", "serves", "version", "digest", "leader")
                )
                if status
                else ("", told["what"]),
            )
        Console().print(table)
    same = {(told.get("version"), told.get("digest")) for _, told in answers}
    if len(same) > 1 or not all(told.get("serves") for _, told in answers):
        raise typer.Exit(1)


@app.command()
def push(
    file: Annotated[Path, typer.Argument(help="the policy, JSON")],
    at: At,
    base: Annotated[int | None, typer.Option(help="the version that it follows, if not the newest")] = None,
) -> None:
    """Push a policy through one gateway; exit status 1 if refused, 3 if it may yet be committed."""

    async def through() -> tuple[int, dict[str, Any]]:
        status, told = 0, dict[str, Any](what="no gateway named")
        for address in at:
            status, shown = await _ask(address, "GET")
            if not status or not shown.get("serves"):
                status, told = 0, shown
                continue  # not sure of its version: it would push after an old one
            follows = shown["version"] if base is None else base
            status, told = await _ask(address, "PUT", file.read_bytes(), follows)
            if status == 0:
                status = 504  # it was sent: what became of it the log tells
            break
        return status, told

    status, told = asyncio.run(through())
    if status == 200:
        return typer.echo(f"version {told['version']} is committed")
    error = MallowbeamError(*(str(told.get(key) or "") for key in ("what", "where", "remedy")))
    typer.echo(f"mallowbeam: {error.line or 'refused'}", err=True)
    raise typer.Exit(3 if status == 504 else 1)
