"""`python -m mallowbeam fleet`: the operators' command line of the router fleet.

Each command prints a table or lines for people, and with ``--json`` one JSON document for scripts. An error
is printed as one line on standard error; the exit codes are in :mod:`mallowbeam.cli.system_errors`.
"""

from __future__ import annotations

import sys
from collections.abc import Mapping, Sequence
from http import HTTPStatus
from json import dumps
from urllib.parse import quote

import defopt  # type: ignore[import-untyped]

from mallowbeam.cli import system_config
from mallowbeam.cli.system_client import Call, ControlClient, read_addresses
from mallowbeam.cli.system_errors import (
    EXIT_CODES,
    EXIT_DIFFERENT,
    EXIT_DONE,
    EXIT_USAGE,
    CallRefusedError,
    FleetCommandError,
)
from mallowbeam.cli.system_status import STATUS_PATH, read_status, status_text
from mallowbeam.errors import MallowbeamError
from mallowbeam.router.configuration.errors import ConfigurationError
from mallowbeam.router.configuration.parsing import parse_configuration
from mallowbeam.router.configuration.patch import parse_patch

CONFIG_PATH = "/mallowbeam/config"
INSTANCES_PATH = "/mallowbeam/instances/"


def config_check(file: str, *, json: bool = False) -> int:
    """Check a configuration without sending it; exit code 1 if it is invalid.

    Example: ``python -m mallowbeam fleet config check routes.json``

    :param file: the configuration, JSON
    :param json: print JSON, for scripts
    """
    try:
        overview = system_config.summary(system_config.read_configuration(file))
    except ConfigurationError as error:
        text = f"{file}: {error.code}: {error.line}"
        _show({"valid": False, "code": error.code, **error.as_dict()}, text, json)
        return EXIT_DIFFERENT
    text = "{}: valid, revision {revision}, {routes} routes, {backends} backends".format(file, **overview)
    _show({"valid": True, **overview}, text, json)
    return EXIT_DONE


def config_put(file: str, *, control: str, based_on: int | None = None, json: bool = False) -> int:
    """Check a configuration and put it in force; retried at each member until one answers conclusively.

    Example: ``python -m mallowbeam fleet config put routes.json --control 10.0.0.1:8146,10.0.0.2:8146``

    :param file: the configuration, JSON
    :param control: control addresses of members, HOST:PORT separated by commas
    :param based_on: the revision that the change is based on; by default the current one
    :param json: print JSON, for scripts
    """
    body = system_config.read_file(file)
    revision = parse_configuration(body).configuration.revision
    return _send_change("PUT", body, revision, control, based_on, json)


def config_patch(file: str, *, control: str, based_on: int | None = None, json: bool = False) -> int:
    """Change named entries of the configuration in force; retried until a member answers conclusively.

    Example: ``python -m mallowbeam fleet config patch add-route.json --control 10.0.0.1:8146``

    :param file: the patch, JSON with `revision`, `upsert` and `remove` (lists by name)
    :param control: control addresses of members, HOST:PORT separated by commas
    :param based_on: the revision that the change is based on; by default the current one
    :param json: print JSON, for scripts
    """
    body = system_config.read_file(file)
    return _send_change("PATCH", body, parse_patch(body).revision, control, based_on, json)


def config_get(*, control: str) -> int:
    """Print the complete current configuration as JSON.

    Example: ``python -m mallowbeam fleet config get --control 10.0.0.1:8146 > current.json``

    :param control: control addresses of members, HOST:PORT separated by commas
    """
    answer = ControlClient(read_addresses(control)).call(Call("GET", CONFIG_PATH))
    if answer.status == HTTPStatus.NOT_FOUND:
        raise CallRefusedError("there is no configuration yet", answer.address)
    print(dumps(answer.document(), indent=2))
    return EXIT_DONE


def config_diff(a: str, b: str, *, json: bool = False) -> int:
    """Show the changes that turn configuration A into B; exit code 1 if they differ.

    Example: ``python -m mallowbeam fleet config diff current.json routes.json``

    :param a: the old configuration, JSON
    :param b: the new configuration, JSON
    :param json: print JSON, for scripts
    """
    differences = system_config.changes(
        system_config.read_configuration(a), system_config.read_configuration(b)
    )
    document = {"changes": [change.document() for change in differences]}
    _show(document, "\n".join(change.line for change in differences), json)
    return EXIT_DIFFERENT if differences else EXIT_DONE


def status(*, control: str, instances: bool = False, json: bool = False) -> int:
    """Show the fleet as one member sees it: leader, members, gateways; exit code 1 without a leader.

    Example: ``python -m mallowbeam fleet status --control 10.0.0.1:8146,10.0.0.2:8146``

    :param control: control addresses of members, HOST:PORT separated by commas; the first answer is shown
    :param instances: list every instance instead of counts
    :param json: print the member's JSON, for scripts
    """
    answer = ControlClient(read_addresses(control)).call(Call("GET", STATUS_PATH))
    fleet = read_status(answer)
    _show(answer.document(), status_text(fleet, instances), json)
    return EXIT_DONE if fleet.leader else EXIT_DIFFERENT


def drain(instance: str, *, control: str, json: bool = False) -> int:
    """Stop new requests to an instance; returns once the whole control plane applies the change.

    Example: ``python -m mallowbeam fleet drain i-7f3a91c2 --control 10.0.0.1:8146``

    :param instance: the instance's id
    :param control: control addresses of members, HOST:PORT separated by commas
    :param json: print JSON, for scripts
    """
    path = f"{INSTANCES_PATH}{quote(instance, safe='')}/drain"
    answer = ControlClient(read_addresses(control)).call(Call("POST", path))
    if answer.status == HTTPStatus.NOT_FOUND:
        raise CallRefusedError(f"no instance {instance}", answer.address)
    _show(
        {"instance": instance, "state": "draining", "member": answer.address},
        f"{instance} drains (acknowledged by {answer.address})",
        json,
    )
    return EXIT_DONE


COMMANDS = {
    "config": {
        "check": config_check,
        "put": config_put,
        "patch": config_patch,
        "get": config_get,
        "diff": config_diff,
    },
    "status": status,
    "drain": drain,
}


def main(arguments: Sequence[str]) -> int:
    """Run the command named by the arguments; returns the exit code."""
    try:
        code = defopt.run(
            COMMANDS,
            argv=list(arguments),
            version=False,
            short={},
            show_defaults=False,
            no_negated_flags=True,
            argparse_kwargs={"prog": "python -m mallowbeam fleet", "epilog": EXIT_CODES},
        )
    except FleetCommandError as error:
        return _fail(error, error.exit_code)
    except ConfigurationError as error:
        return _fail(error, EXIT_DIFFERENT)
    return int(code)


def _send_change(
    method: str, body: bytes, revision: int, control: str, based_on: int | None, as_json: bool
) -> int:
    """Send a checked change until it is acknowledged and print the result; returns the exit code."""
    client = ControlClient(read_addresses(control))
    base = _current_revision(client) if based_on is None else based_on
    headers = {"If-Match": str(base), "Content-Type": "application/json"}
    answer = client.call(Call(method, CONFIG_PATH, body, headers))
    if answer.status == HTTPStatus.NOT_FOUND:
        raise CallRefusedError("404: no control API", answer.address)
    _show(
        {"revision": revision, "based_on": base, "member": answer.address},
        f"revision {revision} is in force (based on {base}, acknowledged by {answer.address})",
        as_json,
    )
    return EXIT_DONE


def _current_revision(client: ControlClient) -> int:
    """Fetch the revision in force; 0 if there is none yet."""
    answer = client.call(Call("GET", CONFIG_PATH))
    revision = answer.document().get("revision", 0) if answer.status != HTTPStatus.NOT_FOUND else 0
    return revision if isinstance(revision, int) else 0


def _show(document: Mapping[str, object], text: str, as_json: bool) -> None:
    """Print the document as JSON, or the text; an empty text prints nothing."""
    output = dumps(document) if as_json else text
    if output:
        print(output)


def _fail(error: MallowbeamError, code: int) -> int:
    """Print an error on standard error, on one line; returns the exit code, never 0."""
    print(f"mallowbeam: {getattr(error, 'code', '')}: {error.line}", file=sys.stderr)
    return code or EXIT_USAGE
