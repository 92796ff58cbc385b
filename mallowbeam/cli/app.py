"""The root command `mallowbeam`, which joins the groups of sub-commands."""

from __future__ import annotations

import os
from typing import Annotated

import typer

from mallowbeam.cli import buffer, config, lab, policy

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="A storage gateway.  `python -m mallowbeam` without a sub-command runs the gateway.",
)
app.add_typer(config.app, name="config")
app.add_typer(buffer.app, name="buffer")
app.add_typer(lab.app, name="lab")
app.add_typer(policy.app, name="policy")


@app.command()
def serve(
    balancer: Annotated[str | None, typer.Option(help="the platform's configuration")] = None,
    fronts: Annotated[str | None, typer.Option(help="the operators' file")] = None,
    log_format: Annotated[str, typer.Option(help="text or json")] = "text",
) -> None:
    """Run the gateway, as `python -m mallowbeam` without a sub-command does."""
    from mallowbeam.storage_gateway.application import run

    if log_format not in ("text", "json"):
        raise typer.BadParameter("text or json", param_hint="--log-format")
    if balancer is not None:
        os.environ["BALANCER_CONFIG"] = balancer
    if fronts is not None:
        os.environ["MALLOWBEAM_FRONTS"] = fronts
    raise typer.Exit(run(log_format))
