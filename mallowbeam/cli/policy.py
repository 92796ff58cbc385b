"""`mallowbeam policy`: push a policy to the whole fleet, and show which version each gateway serves.

Each command calls the policy pages of the gateways named by `--at`.
"""

from __future__ import annotations

import asyncio
import json
from http import HTTPStatus
from pathlib import Path
from typing import Annotated, Any

import httpx
import typer
from rich.console import Console
from rich.table import Table

from mallowbeam.errors import MallowbeamError

app = typer.Typer(
    no_args_is_help=True, help="The policy of the whole fleet, which all gateways serve or none."
)
At = Annotated[list[str], typer.Option("--at", help="a gateway's policy page, host:port; may be given often")]
TIMEOUT_S = 5.0  # for one call; longer than a gateway waits for a push to be committed
NO_ANSWER = 0  # stands for the HTTP status if a gateway gave no answer
SHOWN_KEYS = ("name", "phase", "serves", "version", "digest", "leader")

JsonObject = dict[str, Any]


async def _ask(address: str, method: str, body: bytes = b"", base: int = 0) -> tuple[int, JsonObject]:
    """Call a gateway's policy page; returns the HTTP status and the JSON object of the answer.

    Without an answer, the status is `NO_ANSWER` and the object's `what` gives the reason.
    """
    try:
        async with asyncio.timeout(TIMEOUT_S), httpx.AsyncClient(trust_env=False, timeout=None) as client:
            headers = {"If-Match": f'"{base}"'} if method == "PUT" else {}
            answer = await client.request(method, f"http://{address}/policy", content=body, headers=headers)
        document = answer.json()
        return answer.status_code, document if isinstance(document, dict) else {"what": "not a policy page"}
    except (httpx.HTTPError, httpx.InvalidURL, TimeoutError, ValueError) as error:
        return NO_ANSWER, {"what": str(error) or "no answer"}


@app.command()
def show(
    at: At,
    as_json: Annotated[bool, typer.Option("--json", help="print JSON, for scripts")] = False,
) -> None:
    """Show the policy and phase of each gateway; exit status 1 unless all serve the same version."""

    async def ask_all() -> list[tuple[int, JsonObject]]:
        return await asyncio.gather(*(_ask(address, "GET") for address in at))

    answers = asyncio.run(ask_all())
    if as_json:
        pages = [{"at": address, **page} for address, (_, page) in zip(at, answers, strict=True)]
        typer.echo(json.dumps(pages))
    else:
        Console().print(_pages_table(at, answers))
    versions = {(page.get("version"), page.get("digest")) for _, page in answers}
    if len(versions) > 1 or not all(page.get("serves") for _, page in answers):
        raise typer.Exit(1)


def _pages_table(addresses: list[str], answers: list[tuple[int, JsonObject]]) -> Table:
    """Format a row for each gateway: the fields of its policy page, or the reason for a missing answer."""
    table = Table("at", *SHOWN_KEYS)
    for address, (status, page) in zip(addresses, answers, strict=True):
        if status == NO_ANSWER:
            table.add_row(address, "", page["what"])
        else:
            table.add_row(address, *(str(page.get(key, "")) for key in SHOWN_KEYS))
    return table


@app.command()
def push(
    file: Annotated[Path, typer.Argument(help="the policy, JSON")],
    at: At,
    base: Annotated[
        int | None, typer.Option(help="the version that it replaces; by default the current one")
    ] = None,
) -> None:
    """Push a policy through one gateway; exit status 1 if refused, 3 if it may still be committed."""
    status, answer = asyncio.run(_push_through_first_serving(at, file, base))
    if status == HTTPStatus.OK:
        return typer.echo(f"version {answer['version']} is committed")
    error = MallowbeamError(*(str(answer.get(key) or "") for key in ("what", "where", "remedy")))
    typer.echo(f"mallowbeam: {error.line or 'refused'}", err=True)
    raise typer.Exit(3 if status == HTTPStatus.GATEWAY_TIMEOUT else 1)


async def _push_through_first_serving(
    addresses: list[str], file: Path, base: int | None
) -> tuple[int, JsonObject]:
    """Push the policy through the first gateway that serves; returns the status and object of its answer.

    A gateway that does not serve is skipped: its version may be stale, and the push would be based on it.
    A push without an answer counts as `GATEWAY_TIMEOUT`: it was sent and may still be committed.
    """
    last_page: JsonObject = {"what": "no gateway named"}
    for address in addresses:
        status, page = await _ask(address, "GET")
        if status == NO_ANSWER or not page.get("serves"):
            last_page = page
            continue
        base_version = page["version"] if base is None else base
        status, answer = await _ask(address, "PUT", file.read_bytes(), base_version)
        return (HTTPStatus.GATEWAY_TIMEOUT if status == NO_ANSWER else status), answer
    return NO_ANSWER, last_page
