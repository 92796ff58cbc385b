"""`mallowbeam config`: check both configuration files without starting a gateway; print the JSON Schema."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Annotated

import typer

from mallowbeam.storage_gateway.server.config import GatewayConfigError, read_config, read_file

app = typer.Typer(
    no_args_is_help=True, help="Check the configuration; print the JSON Schema of the operators' file."
)
DEFAULT_FILE = Path(__file__).parent.parent.parent / "deploy" / "fronts.json"


@app.command()
def check(
    fronts: Annotated[Path, typer.Argument(help="the operators' file")] = DEFAULT_FILE,
    balancer: Annotated[
        Path | None, typer.Option(help="the platform's configuration, to check that both files agree")
    ] = None,
) -> None:
    """Check every section, also disabled ones; with --balancer, also that the two files agree."""
    from mallowbeam.storage_gateway import operator_settings as operators

    try:
        raw = read_file(str(fronts))
        operators.check(raw)
        if balancer is not None:
            check_together(raw, balancer)
    except GatewayConfigError as error:
        typer.echo(f"mallowbeam: {error.line}", err=True)
        raise typer.Exit(2) from None
    typer.echo(f"{fronts}: good")


def check_together(raw: dict[str, object], balancer: Path) -> None:
    """Check that the operators' file and the platform's configuration agree, without opening listeners.

    Raises `GatewayConfigError` for the first contradiction.
    """
    from mallowbeam.storage_gateway.frontends.object_api.settings import read_object_settings
    from mallowbeam.storage_gateway.server.gateway import Gateway

    config = read_config({**os.environ, "BALANCER_CONFIG": str(balancer)})
    gateway = Gateway(config)
    objects, buffer = raw.get("objects"), raw.get("buffer")
    if isinstance(objects, dict) and objects.get("listen") is not None:
        settings = read_object_settings(objects, gateway)
        if isinstance(buffer, dict) and buffer.get("folder") is not None:
            from mallowbeam.storage_gateway.frontends.object_api.buffered import read_buffer_settings
            from mallowbeam.storage_gateway.write_buffer.reopen import check_folder

            reason = check_folder(read_buffer_settings(buffer, settings, gateway), wait=True)
            if reason is not None:
                raise GatewayConfigError(reason)


@app.command()
def schema() -> None:
    """Print the JSON Schema of the operators' file."""
    from mallowbeam.storage_gateway import operator_settings as operators

    typer.echo(json.dumps(operators.schema(), indent=2))
