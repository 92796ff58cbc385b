"""Scenarios of members that apply one log of configurations, and of gateways that follow them.

One step per line; ``#`` starts a comment. Members apply log entries immediately unless they lag.

    members a b c                       the members, without a configuration
    keep 3                              digests that each member remembers (before `members`)
    keep-refused 3                      rejected commands that each member remembers
    document NAME revision=4 routes=2 timeout=500
                                        a document, NAME below; routes and timeout are optional
    put NAME on=3 RESULT                a command is committed; every member must return RESULT
    change NAME revision=9 put=r-1 drop=r-0 timeout=100 put-service=s drop-service=service-1
                                        a patch, NAME below: routes and services by name, separated
                                        by commas; all but the revision are optional
    patch NAME on=3 RESULT              a patch is committed; every member must return RESULT
    after NEW OLD NAME                  document NEW is OLD with the patch applied by the reference `patched`
    refused NAME CODE [where=PATH]      the document is rejected before it is proposed
    lag b / catch-up b                  b stops applying the log; b applies all of it
    restart b                           b is rebuilt from its own snapshot
    snapshot a b                        b is rebuilt from a's snapshot, whatever its own progress
    current NAME                        every member that does not lag has exactly this document
    current b NAME                      b has this document, lagging or not; NAME may be `nothing`
    follow g a                          gateway g subscribes to a, which sends it a full update
    update g                            its member sends the changes since its last update, or a full update
                                        if g rejects these for building on another revision
    mismatches g COUNT                  how often g rejected an incremental update
    holds g NAME                        the document that g has; NAME may be `nothing`
"""

from __future__ import annotations

import json
import shlex
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from configuration_documents import DOCUMENT, body_of, large_route
from project_paths import SCENARIOS as SCENARIO_FOLDER

from mallowbeam.router.configuration.errors import ConfigurationError, UpdateMismatchError
from mallowbeam.router.configuration.model import Configuration
from mallowbeam.router.configuration.parsing import parse_configuration
from mallowbeam.router.configuration.patch import parse_patch
from mallowbeam.router.configuration.updates import apply_update, full_update, incremental_update
from mallowbeam.router.configuration.versions import ConfigurationVersions, patch_command, put_command
from mallowbeam.router.rpc.messages_pb2 import CommandResult, PutConfiguration, ReplicatedState

SCENARIOS = SCENARIO_FOLDER / "configuration"
VersionsFactory = Callable[[dict[str, int]], ConfigurationVersions]


def new_versions(bounds: dict[str, int]) -> ConfigurationVersions:
    """The production state machine; tests pass faulty variants of it."""
    return ConfigurationVersions(**bounds)


def restored_copy(
    versions: ConfigurationVersions, into: ConfigurationVersions | None = None
) -> ConfigurationVersions:
    """The same state, transferred to another state machine by a snapshot."""
    state = ReplicatedState()
    versions.save(state)
    target = into if into is not None else ConfigurationVersions()
    target.restore(ReplicatedState.FromString(state.SerializeToString()))
    return target


def option_names(options: dict[str, str], name: str) -> list[str]:
    """The comma-separated names of an option; empty if the option is missing."""
    return options[name].split(",") if name in options else []


def named_route(name: str, timeout: int) -> dict[str, Any]:
    """The route of a name such as ``r-2``, as `do_document` builds it."""
    return {**large_route(int(name.removeprefix("r-")), 2), "timeout_ms": timeout}


def patched(document: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    """Reference implementation of a patch: replaced entries keep their position, added ones come last."""
    changed = {**document, "revision": patch["revision"]}
    upsert, remove = patch.get("upsert") or {}, patch.get("remove") or {}
    for name in {*upsert, *remove}:
        entries = {entry["name"]: entry for entry in changed.get(name, [])}
        entries.update({entry["name"]: entry for entry in upsert.get(name, [])})
        changed[name] = [entry for key, entry in entries.items() if key not in remove.get(name, [])]
    return changed


@dataclass
class Member:
    """A member and how far it has applied the log."""

    versions: ConfigurationVersions
    applied: int = 0
    lags: bool = False


@dataclass
class Gateway:
    """A gateway, the member that it follows, and what that member last sent."""

    member: str = ""
    sent: Configuration | None = None
    mismatches: int = 0
    current: Configuration | None = None


@dataclass
class Scenario:
    """Members, gateways and log of one scenario file."""

    new_versions: VersionsFactory = new_versions
    bounds: dict[str, int] = field(default_factory=dict)
    documents: dict[str, dict[str, Any]] = field(default_factory=dict)
    patches: dict[str, dict[str, Any]] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)
    gateways: dict[str, Gateway] = field(default_factory=dict)
    log: list[PutConfiguration] = field(default_factory=list)
    results: list[CommandResult] = field(default_factory=list)

    def run(self, text: str) -> None:
        """Run every line; raises `AssertionError` with the line that failed."""
        for number, line in enumerate(text.splitlines(), 1):
            words = shlex.split(line, comments=True)
            if not words:
                continue
            step = getattr(self, "do_" + words[0].replace("-", "_"))
            try:
                step(*words[1:])
            except AssertionError as error:
                raise AssertionError(f"line {number}, {line.strip()!r}: {error}") from None

    def do_keep(self, count: str) -> None:
        self.bounds["max_accepted"] = int(count)

    def do_keep_refused(self, count: str) -> None:
        self.bounds["max_rejected"] = int(count)

    def do_members(self, *names: str) -> None:
        for name in names:
            self.members[name] = Member(self.new_versions(self.bounds))

    def do_document(self, name: str, *settings: str) -> None:
        options = dict(setting.split("=") for setting in settings)
        routes = [large_route(number, 2) for number in range(int(options.get("routes", 2)))]
        for route in routes:
            route["timeout_ms"] = int(options.get("timeout", 2500))
        services = [{**DOCUMENT["backends"][0], "name": f"service-{number}"} for number in range(2)]
        self.documents[name] = {
            **DOCUMENT,
            "revision": int(options["revision"]),
            "routes": routes,
            "backends": services,
        }

    def do_put(self, name: str, based_on: str, result: str) -> None:
        parsed = parse_configuration(body_of(self.documents[name]))
        self.commit(put_command(parsed, int(based_on.removeprefix("on="))), result)

    def do_change(self, name: str, *settings: str) -> None:
        options = dict(setting.split("=") for setting in settings)
        routes = [
            named_route(route, int(options.get("timeout", 2500))) for route in option_names(options, "put")
        ]
        services = [
            {**DOCUMENT["backends"][0], "name": name} for name in option_names(options, "put-service")
        ]
        self.patches[name] = {
            "revision": int(options["revision"]),
            "upsert": {"routes": routes, "backends": services},
            "remove": {
                "routes": option_names(options, "drop"),
                "backends": option_names(options, "drop-service"),
            },
        }

    def do_patch(self, name: str, based_on: str, result: str) -> None:
        patch = parse_patch(body_of(self.patches[name]))
        self.commit(patch_command(patch, int(based_on.removeprefix("on="))), result)

    def do_after(self, new: str, old: str, name: str) -> None:
        self.documents[new] = patched(self.documents[old], self.patches[name])

    def commit(self, command: PutConfiguration, result: str) -> None:
        """Append a command to the log; members that do not lag apply it."""
        self.log.append(command)
        self.results.append(CommandResult.Value(result))
        for member in self.members.values():
            self.apply(member)

    def do_refused(self, name: str, code: str, where: str = "where=") -> None:
        try:
            parse_configuration(body_of(self.documents[name]))
        except ConfigurationError as error:
            assert error.code == code, f"rejected with {error.code}"
            assert error.where.startswith(where.removeprefix("where=")), f"rejected at {error.where}"
            return
        raise AssertionError("was not rejected")

    def do_lag(self, name: str) -> None:
        self.members[name].lags = True

    def do_catch_up(self, name: str) -> None:
        self.members[name].lags = False
        self.apply(self.members[name])

    def do_restart(self, name: str) -> None:
        self.do_snapshot(name, name)

    def do_snapshot(self, source: str, target: str) -> None:
        versions = restored_copy(self.members[source].versions, self.new_versions(self.bounds))
        previous = self.members.get(target, Member(versions))
        self.members[target] = Member(versions, self.members[source].applied, previous.lags)
        self.apply(self.members[target])

    def do_current(self, *names: str) -> None:
        document = names[-1]
        followers = [name for name, member in self.members.items() if not member.lags]
        for name in names[:-1] or followers:
            self.check_body(name, self.members[name].versions, document)

    def do_follow(self, name: str, member: str) -> None:
        gateway = self.gateways.setdefault(name, Gateway())
        gateway.member = member
        gateway.sent = None
        self.do_update(name)

    def do_update(self, name: str) -> None:
        gateway = self.gateways[name]
        current = self.members[gateway.member].versions.current()
        if current is None:
            return
        known, before = gateway.sent, gateway.current
        gateway.sent = current
        try:
            update = full_update(current) if known is None else incremental_update(known, current)
            gateway.current = apply_update(before, update)
        except UpdateMismatchError:
            gateway.mismatches += 1
            gateway.current = apply_update(before, full_update(current))
        assert (
            before is None or gateway.current.revision >= before.revision
        ), "the gateway's revision decreased"

    def do_mismatches(self, name: str, count: str) -> None:
        assert self.gateways[name].mismatches == int(count), f"{self.gateways[name].mismatches}"

    def do_holds(self, name: str, document: str) -> None:
        current = self.gateways[name].current
        if document == "nothing":
            assert current is None, f"has revision {current.revision}"
            return
        expected = parse_configuration(body_of(self.documents[document])).configuration
        assert current == expected, f"has revision {current.revision if current else None}"

    def apply(self, member: Member) -> None:
        """Let a member apply the rest of the log and compare its results with the expected ones."""
        while member.applied < len(self.log) and not member.lags:
            result = member.versions.apply(self.log[member.applied])
            expected = self.results[member.applied]
            member.applied += 1
            assert result == expected, f"{CommandResult.Name(result)}, not {CommandResult.Name(expected)}"

    def check_body(self, name: str, versions: ConfigurationVersions, document: str) -> None:
        """Raise `AssertionError` unless a member has exactly this document."""
        if document == "nothing":
            assert (versions.revision, versions.current_body(), versions.current()) == (0, b"", None), name
            return
        expected = self.documents[document]
        body = versions.current_body()
        assert body and json.loads(body) == expected, f"{name} has {versions.revision}"
        current = versions.current()
        assert versions.revision == expected["revision"] == (current.revision if current else 0), name
        assert (
            current == parse_configuration(body_of(expected)).configuration
        ), f"{name} parsed it differently"
