"""What the program of commit 63262d5 stored and sent is read with the code as it is now, and written alike.

The samples in `tests/fixtures/compatibility/` hold bytes beside their values in plain JSON; they were
written by `tests/support/write_compatibility_samples.py` in a work tree of that commit and are not made
again.  A test that fails here means that a disk, a peer or a client of an earlier version is no longer
understood: give what was renamed an explicit literal (a msgspec tag, a field's `name`, an error's
`error_name`).  The wording of error texts (`what`, `remedy`) is not compared; codes, names and places are.
"""

from __future__ import annotations

import asyncio
import dataclasses
import gzip
import inspect
import io
import json
import pickle
import pkgutil
import shutil
import socket
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator, Mapping
from enum import Enum
from importlib import import_module
from pathlib import Path
from typing import Any
from unittest.mock import MagicMock

import msgspec
import pytest
from google.protobuf import json_format
from google.protobuf.message import Message
from pysyncobj.journal import FileJournal

import mallowbeam
from mallowbeam.errors import MallowbeamError
from mallowbeam.lab.rig import hold_port
from mallowbeam.router.configuration.errors import ConfigurationError
from mallowbeam.router.configuration.parsing import ConfigurationParser, parse_configuration
from mallowbeam.router.configuration.patch import parse_patch
from mallowbeam.router.configuration.updates import apply_update, full_update, incremental_update
from mallowbeam.router.configuration.versions import patch_command, put_command
from mallowbeam.router.consensus.storage import ReplicaStore
from mallowbeam.router.control_plane.api_errors import CallError
from mallowbeam.router.control_plane.api_responses import error_reply
from mallowbeam.router.control_plane.state_machine import ReplicatedStateMachine
from mallowbeam.router.processes.error_codes import codes_of, error_types
from mallowbeam.router.processes.settings import SettingsError, parse_settings
from mallowbeam.router.registry.errors import HeartbeatError
from mallowbeam.router.registry.parse import parse_heartbeat
from mallowbeam.router.rpc import messages_pb2 as messages
from mallowbeam.router.rpc.framing import FrameReader, encode_frame
from mallowbeam.storage_gateway import operator_settings as operators
from mallowbeam.storage_gateway.coordination.errors import CoordinationError
from mallowbeam.storage_gateway.coordination.maintenance.state_machine import MaintenanceStateMachine
from mallowbeam.storage_gateway.coordination.policy import PolicyVersion
from mallowbeam.storage_gateway.coordination.policy_document import canonical, read_policy
from mallowbeam.storage_gateway.coordination.pools import canonical as pool_text
from mallowbeam.storage_gateway.coordination.pools.errors import PoolError
from mallowbeam.storage_gateway.coordination.pools.parser import parse
from mallowbeam.storage_gateway.coordination.raft_node import Membership, RaftNode, ReplicaFailed
from mallowbeam.storage_gateway.coordination.replicated_log import Refusal, ReplicatedLog
from mallowbeam.storage_gateway.coordination.service import digest
from mallowbeam.storage_gateway.coordination.shares.state_machine import SharesStateMachine
from mallowbeam.storage_gateway.coordination.status_pages import json_response
from mallowbeam.storage_gateway.frontends.object_api.access import read_keys
from mallowbeam.storage_gateway.frontends.object_api.errors import ERRORS, error_body
from mallowbeam.storage_gateway.scheduler import simulator_host as wirehost
from mallowbeam.storage_gateway.scheduler.gateway_host import SchedulerHost
from mallowbeam.storage_gateway.scheduler.interface import DiscoveryUpdateKind
from mallowbeam.storage_gateway.server import config as net_config
from mallowbeam.storage_gateway.server import handover
from mallowbeam.storage_gateway.server.listing import read_listing
from mallowbeam.storage_gateway.write_buffer import records as buffer_records
from mallowbeam.storage_gateway.write_buffer.disk import RealDisk
from mallowbeam.storage_gateway.write_buffer.inspect import inspect_folder
from mallowbeam.storage_gateway.write_buffer.log import ScanResult, folder_id, read_records

SAMPLES = Path(__file__).parent / "fixtures" / "compatibility"
PATIENCE_S = 30.0


def samples(name: str) -> Any:
    """A file of samples."""
    return json.loads((SAMPLES / name).read_text())


def plain(value: object) -> Any:
    """A value as the samples have it; a dataclass is the list of its values in their order."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        value = [getattr(value, one.name) for one in dataclasses.fields(value)]
    if isinstance(value, Message):
        return message_json(value)
    if isinstance(value, frozenset | set):
        return sorted(plain(one) for one in value)
    if isinstance(value, list | tuple):
        return [plain(one) for one in value]
    if isinstance(value, Mapping):
        return {str(key): plain(one) for key, one in value.items()}
    return plain_scalar(value)


def plain_scalar(value: object) -> Any:
    """A single value: bytes in hex, an enum by its value."""
    if isinstance(value, bytes | bytearray | memoryview):
        return bytes(value).hex()
    return value.value if isinstance(value, Enum) else value


def plain_struct(value: object) -> Any:
    """A msgspec struct by the names under which it is written; sets are sorted, as they have no order."""
    if isinstance(value, msgspec.Struct):
        found = {
            one.encode_name: plain_struct(getattr(value, one.name)) for one in msgspec.structs.fields(value)
        }
        config = value.__struct_config__
        if config.array_like:
            return list(found.values())
        return found if config.tag is None else {config.tag_field: config.tag, **found}
    if isinstance(value, dict):
        return {str(key): plain_struct(one) for key, one in value.items()}
    if isinstance(value, frozenset | set):
        return sorted(plain_struct(one) for one in value)
    if isinstance(value, list | tuple):
        return [plain_struct(one) for one in value]
    return plain(value)


def message_json(message: Message) -> Any:
    """A protobuf message by the names of messages.proto."""
    return json_format.MessageToDict(message, preserving_proto_field_name=True)


def raised(kind: type[MallowbeamError], call: Callable[[], object]) -> MallowbeamError:
    """The error that a call ends with."""
    with pytest.raises(kind) as caught:
        call()
    return caught.value


def check_error(error: MallowbeamError, sample: dict[str, Any]) -> None:
    """An error has the name, code and place that it always had, and a text with a remedy."""
    told = error.as_dict()
    assert (error.code, told["where"]) == (sample["code"], sample["where"])
    assert told["what"] and told["remedy"]
    if not error.code or isinstance(error, ConfigurationError):  # these are shown by name
        assert told["error"] == sample["name"]


# ------------------------------------------------------------------------------- messages and configurations


@pytest.mark.parametrize("name", sorted(samples("messages.json")))
def test_each_message_is_read_and_written_as_before(name):
    kind = getattr(messages, name)
    for one in samples("messages.json")[name]:
        message = kind.FromString(bytes.fromhex(one["bytes"]))
        assert message_json(message) == one["value"]
        assert message.SerializeToString(deterministic=True).hex() == one["bytes"]


def test_no_message_of_before_is_gone_and_enums_keep_their_numbers():
    assert set(samples("messages.json")) <= set(messages.DESCRIPTOR.message_types_by_name)
    for name, numbers in samples("enums.json").items():
        now = messages.DESCRIPTOR.enum_types_by_name[name].values_by_name
        assert {value: now[value].number for value in numbers} == numbers


def test_a_frame_is_cut_and_built_as_before():
    sample = samples("frame.json")
    (body,) = FrameReader().feed(bytes.fromhex(sample["bytes"]))
    assert body.hex() == sample["body"]
    assert encode_frame(messages.FeedHeartbeat.FromString(body)).hex() == sample["bytes"]


def test_a_configuration_has_the_same_canonical_text_digest_and_commands():
    sample = samples("configurations.json")
    parsed = parse_configuration(json.dumps(sample["document"]).encode())
    assert parsed.canonical.decode() == sample["canonical"]
    assert parsed.digest.hex() == sample["digest"]
    assert plain(parsed.configuration) == sample["values"]
    patch = parse_patch(json.dumps(sample["patch"]).encode())
    assert patch.canonical.decode() == sample["patch_canonical"]
    assert patch.digest(11).hex() == sample["patch_digest"]
    for command, name in (
        (put_command(parsed, 5), "put_command"),
        (patch_command(patch, 11), "patch_command"),
    ):
        assert command.SerializeToString(deterministic=True).hex() == sample[name]["bytes"]


def test_a_gateway_is_told_of_a_configuration_as_before_and_takes_what_it_was_told_then():
    sample = samples("configurations.json")
    old = parse_configuration(json.dumps(sample["document"]).encode()).configuration
    new = parse_configuration(json.dumps(sample["later_document"]).encode()).configuration
    whole = messages.ConfigurationUpdate.FromString(bytes.fromhex(sample["whole_update"]["bytes"]))
    change = messages.ConfigurationUpdate.FromString(bytes.fromhex(sample["change_update"]["bytes"]))
    assert apply_update(apply_update(None, whole), change) == apply_update(None, full_update(new))
    assert message_json(full_update(old)) == sample["whole_update"]["value"]
    assert message_json(incremental_update(old, new)) == sample["change_update"]["value"]


# ------------------------------------------------------------------------------------------ replica store


def test_a_members_store_is_loaded_and_its_commands_lead_to_the_same_state(tmp_path):
    sample = samples("replica-store.json")
    shutil.copytree(SAMPLES / "replica-store", tmp_path / "store")
    store = ReplicaStore.open(str(tmp_path / "store"), 8)
    loaded = store.load()
    assert store.identity == sample["identity"]
    assert (loaded.hard_state.term, loaded.hard_state.vote) == (sample["term"], sample["vote"])
    assert message_json(loaded.snapshot) == sample["snapshot"]
    assert [message_json(entry) for entry in loaded.entries] == sample["entries"]
    store.close()

    machine = ReplicatedStateMachine(ConfigurationParser(), lambda retirement: None)
    machine.restore(loaded.snapshot.state)
    assert machine_values(machine) == sample["in_snapshot"]
    outcomes = [
        machine.apply(entry.index, entry.payload)
        for entry in loaded.entries
        if entry.kind == messages.COMMAND
    ]
    assert [plain(outcome) for outcome in outcomes] == sample["applied"]
    assert machine_values(machine) == sample["after"]


def test_commands_from_the_first_on_lead_to_the_state_of_the_snapshot():
    sample = samples("replica-store.json")
    machine = ReplicatedStateMachine(ConfigurationParser(), lambda retirement: None)
    for index, (command, outcome) in enumerate(sample["before_snapshot"], 2):
        payload = json_format.ParseDict(command, messages.Command()).SerializeToString()
        assert plain(machine.apply(index, payload)) == outcome
    assert machine_values(machine) == sample["in_snapshot"]


def machine_values(machine: ReplicatedStateMachine) -> dict[str, Any]:
    """What a state machine holds, in its own and in the snapshot's form."""
    lease = machine.leases.get("stages/models")
    return {
        "revision": machine.configurations.revision,
        "body": machine.configurations.current_body().decode(),
        "retired": [[one.id, one.kind] for one in machine.retirements.all()],
        "lease": message_json(lease) if lease is not None else None,
        "saved": message_json(messages.ReplicatedState.FromString(machine.save())),
    }


# ------------------------------------------------------------------------------------------ write buffer


def test_the_write_buffers_segments_are_read_and_their_records_written_as_before(tmp_path):
    sample = samples("write-buffer.json")
    folder = tmp_path / "buffer"
    shutil.copytree(SAMPLES / "write-buffer", folder)
    disk = RealDisk(str(folder), read_only=True)
    owner = folder_id(disk)
    assert owner is not None
    found = list(read_records(disk, owner, ScanResult()))
    assert len(found) == len(sample["records"])
    for record, one in zip(found, sample["records"], strict=True):
        place = (int(record.kind), record.lsn, record.durable, record.segment, record.offset)
        assert place == tuple(one[name] for name in ("kind", "lsn", "durable", "segment", "offset"))
        words, body = None, bytes(record.payload)
        if one["words"] is not None:
            words, rest = buffer_records.unpack(record.kind, record.payload)
            body = bytes(rest)
            assert plain_struct(words) == one["words"]
        assert body.hex() == one["body"]
        assert b"".join(buffer_records.pack(record.kind, words, body)) == bytes(record.payload)
    disk.close()
    report = json.loads(inspect_folder(str(folder), chunks=True).json())
    assert {name: report[name] for name in sample["report"]} == sample["report"]


# --------------------------------------------------------------------- the log of the storage gateways' fleet


def fleet_log(gateways: tuple[str, ...]) -> ReplicatedLog:
    """A log with the topics that have entries."""
    return ReplicatedLog([MaintenanceStateMachine(gateways), SharesStateMachine(gateways)])


def states_of(log: ReplicatedLog) -> Any:
    """All states by topic, by the names under which they are written."""
    return plain_struct(dict(sorted(log.states.items())))


def test_each_entry_of_the_fleets_log_is_taken_as_before_and_written_as_before():
    sample = samples("fleet-log.json")
    log = fleet_log(tuple(sample["gateways"]))
    for number, one in enumerate(sample["entries"]):
        if number == sample["pushed_after"]:
            pushed = log.push(read_policy(canonical(read_policy(json.dumps(sample["policy"])))))
            assert not isinstance(pushed, Refusal)
        told = log.apply(bytes.fromhex(one["bytes"]))
        assert told is not None, f"not understood: {one['value']}"
        assert plain_struct(told.entry) == one["value"]
        assert log.encode(one["topic"], one["by"], told.entry).hex() == one["bytes"]
        assert (told.refusal is not None) == one["refused"]
        assert told.refusal is None or plain(told.refusal) == one["refusal"]
    assert (states_of(log), log.index) == (sample["states"], sample["index"])
    snapshot = msgspec.msgpack.decode(bytes.fromhex(sample["snapshot"]))
    assert without_order(msgspec.msgpack.decode(log.dump())) == without_order(snapshot)


def without_order(value: Any) -> Any:
    """Lists of texts sorted, as sets are written in no order."""
    if isinstance(value, dict):
        return {key: without_order(one) for key, one in value.items()}
    if isinstance(value, list):
        texts = value and all(isinstance(one, str) for one in value)
        return sorted(value) if texts else [without_order(one) for one in value]
    return value


def test_a_snapshot_of_the_fleets_log_is_taken_whole():
    sample = samples("fleet-log.json")
    log = fleet_log(tuple(sample["gateways"]))
    log.load(bytes.fromhex(sample["snapshot"]))
    assert (states_of(log), log.index) == (sample["states"], sample["index"])


def test_policies_have_the_same_spelling_and_digest_and_are_refused_at_the_same_place():
    sample = samples("policies.json")
    for one in sample["good"]:
        text = canonical(read_policy(json.dumps(one["policy"])))
        assert (text, digest(PolicyVersion(1, text))) == (one["canonical"], one["digest"])
        assert canonical(read_policy(text)) == text
    for one in sample["refused"]:
        check_error(raised(CoordinationError, lambda: read_policy(one["text"])), one)  # noqa: B023


def test_the_pool_language_has_the_same_canonical_text_digest_and_errors():
    sample = samples("policies.json")
    pools = parse(sample["pools"]["text"])
    assert pool_text.canonical(pools) == sample["pools"]["canonical"]
    assert pool_text.digest(pools) == sample["pools"]["digest"]
    for one in sample["pool_errors"]:
        error = raised(PoolError, lambda: parse(one["text"]))  # noqa: B023
        check_error(error, one)
        assert sorted(error.as_dict()) == one["keys"]


# ------------------------------------------------------------------------------------------ agreement


@pytest.fixture
def agreement_folder(tmp_path: Path) -> Path:
    """A copy of a member's folder: a snapshot, and a journal that goes on behind it."""
    folder = tmp_path / "agreement"
    shutil.copytree(SAMPLES / "agreement", folder)
    return folder


def open_agreement(folder: Path, told: Callable[[tuple[Any, ...]], None]) -> Iterator[RaftNode]:
    """Member g0 on that folder, the two others down."""
    sample = samples("agreement.json")
    ports = [hold_port(socket.SO_REUSEADDR) for _ in sample["members"]]
    addresses = {name: f"127.0.0.1:{port}" for name, (_, port) in zip(sample["members"], ports, strict=True)}
    membership = Membership("g0", "a-new-life", addresses)
    member = RaftNode(membership, folder, told, fleet_log(tuple(sample["members"])))
    try:
        yield member
    finally:
        member.close()
        while member.engine.tick_thread_alive():
            time.sleep(0.01)
        for held, _ in ports:
            held.close()


def test_a_member_starts_from_a_snapshot_and_journal_of_before(agreement_folder):
    sample = samples("agreement.json")
    heard: list[Any] = []
    for member in open_agreement(agreement_folder, heard.extend):
        end = time.monotonic() + PATIENCE_S
        while member.state.log.index < sample["after"]["index"] or member.state.version < 2:
            assert time.monotonic() < end, (member.state.log.index, member.state.version)
            time.sleep(0.01)
        ledger = member.state
        assert (ledger.version, ledger.body) == (sample["after"]["version"], sample["after"]["body"])
        assert states_of(ledger.log) == sample["after"]["states"]
        versions = [one.version for one in heard if isinstance(one, PolicyVersion)]
        assert versions == [0, 1, 2], "the snapshot's policy, then the journal's"
        assert not [one for one in heard if isinstance(one, ReplicaFailed)]


def test_the_replicated_calls_keep_the_numbers_that_the_journal_holds(agreement_folder):
    sample = samples("agreement.json")
    journal = FileJournal(str(agreement_folder / "journal"))
    lines = journal[:]
    journal._destroy()
    calls = [pickle.loads(command[1:]) for command, _, _ in lines if command[:1] == b"\0"]
    arguments = {"change": (int, str, tuple), "mark": (str, str, int, str), "put": (bytes,)}
    names = {number: name for name, number in sample["calls"].items()}
    assert {names[call[0]] for call in calls} == set(names.values())
    for call in calls:
        assert tuple(type(one) for one in call[1]) == arguments[names[call[0]]]
    for member in open_agreement(agreement_folder, lambda heard: None):
        methods = member.engine._idToMethod
        assert sorted(methods) == sorted(names), "one call for each number"
        for number, *given in calls:
            inspect.signature(methods[number]).bind(*given[0])


def test_a_snapshot_names_no_module_of_ours_and_one_that_does_is_read(agreement_folder):
    """The engine pickles its members into the snapshot; other versions have their class elsewhere."""
    compressed = (agreement_folder / "snapshot").read_bytes()
    before = gzip.decompress(compressed)
    assert b"mallowbeam" in before, "as the earlier program wrote it"
    members = samples("agreement.json")["members"]
    assert {node.id for node in pickle.loads(before)[3]} == set(members.values())
    for member in open_agreement(agreement_folder, lambda heard: None):
        end = time.monotonic() + PATIENCE_S
        while (agreement_folder / "snapshot").read_bytes() == compressed:
            assert time.monotonic() < end
            member.engine.forceLogCompaction()
            time.sleep(0.01)
    after = gzip.decompress((agreement_folder / "snapshot").read_bytes())
    assert b"mallowbeam" not in after
    assert {node.id for node in pickle.loads(after)[3]}


# ------------------------------------------------------------------------------------------ hand-over


class OldProcess:
    """Stands at the meeting place and says what the old process said, doors included."""

    def __init__(self, config: net_config.Config, frames: list[str]) -> None:
        self.frames = frames
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        with handover.rendezvous_path(config) as path:
            self.socket.bind(path)
        self.socket.listen(1)
        self.doors = [socket.socket() for _ in json.loads(frames[0])["doors"]]
        self.thread = threading.Thread(target=self._talk)
        self.thread.start()

    def _talk(self) -> None:
        sock, _ = self.socket.accept()
        socket.send_fds(sock, [self.frames[0].encode() + b"\n"], [door.fileno() for door in self.doors])
        sock.sendall("".join(f"{frame}\n" for frame in self.frames[1:]).encode())
        sock.close()

    def close(self) -> None:
        self.thread.join()
        for sock in (self.socket, *self.doors):
            sock.close()


def test_a_new_process_takes_over_from_an_old_one_and_understands_each_word(tmp_path, monkeypatch):
    sample = samples("handover.json")
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    own = net_config.decode_config(sample["config"], {})
    old = OldProcess(own, sample["frames"])
    takeover = handover.take_over(own)
    old.close()
    assert takeover is not None
    frames = [json.loads(frame) for frame in sample["frames"]]
    assert list(takeover.listeners) == frames[0]["doors"] and takeover.state == frames[1]["state"]
    assert takeover.config(own).known == read_listing(frames[1]["state"]["list"])

    host = MagicMock()

    async def listen() -> set[str]:
        link = handover.PeerLink(takeover.sock, host, takeover.unread)
        async with asyncio.timeout(PATIENCE_S):
            await asyncio.gather(*link.tasks, return_exceptions=True)
        return link.request_ids

    assert asyncio.run(listen()) == set()
    for door in takeover.listeners.values():
        door.close()
    listing = frames[6]["list"]
    assert [call.args for call in host.mock_calls] == [
        (4,),
        (["vol-1", "bronze", 2, "n0", 3, 1],),
        (read_listing(listing), listing["discovery"]),
        ("n1", True),
        ("127.0.0.1:8502",),
        (),
        (),
    ], "clients, sent, list, hand, discovery, yes; then its end"


def test_the_state_that_is_handed_over_is_the_same():
    sample = samples("handover.json")
    config = net_config.decode_config(sample["config"], {})
    old = SchedulerHost(config.settings, 10.0)
    old.update_nodes(10.0, DiscoveryUpdateKind.FULL, 1, list(config.known.entries))
    old.override_node(10.5, "n2", True)
    old.change_plan(10.6, dataclasses.replace(config.settings.plans["silver"], limit=12.0, weight=2.0))
    old.change_plan(10.7, dataclasses.replace(config.settings.plans["bronze"], limit=7.0), "vol-1", 1, 0.5)
    for number, volume in enumerate(("vol-1", "vol-2")):
        old.request_arrived(
            11.0,
            f"{number:016x}",
            shard=0,
            is_retry=False,
            is_write=False,
            request_class="read",
            volume_hosts=2,
            units=3,
            volume=volume,
            expires_in=1.2,
            key=None,
            plan="bronze",
        )
    assert json.loads(json.dumps(old.export_state(11.0))) == sample["old_state"]

    state = json.loads(sample["frames"][1])["state"]
    new = SchedulerHost(config.settings, 20.0)
    new.update_nodes(20.0, DiscoveryUpdateKind.FULL, 7, read_listing(state["list"]).entries)
    new.import_state(20.0, state)
    assert json.loads(json.dumps(new.export_state(20.0))) == sample["inherited"]
    assert {node: new.accepts_work(node) for node in sample["takes"]} == sample["takes"]


# ------------------------------------------------------------------------------------------ errors


def test_every_error_of_before_has_its_name_and_codes():
    for module in pkgutil.walk_packages(mallowbeam.__path__, "mallowbeam."):
        if not module.name.endswith("__main__"):
            import_module(module.name)
    names: dict[str, set[tuple[tuple[str, ...], int | None]]] = {}
    codes: dict[str, set[int | None]] = {}
    for kind in error_types():
        if kind.__module__.startswith("mallowbeam."):
            status = vars(kind).get("status")
            status = status if isinstance(status, int) else None
            names.setdefault(kind.error_name, set()).add((codes_of(kind), status))
            for code in codes_of(kind):
                codes.setdefault(code, set()).add(status)
    for key, one in samples("errors.json")["types"].items():
        package, _, name = key.partition(":")
        for code in one["codes"]:
            assert one.get("status") in codes.get(code, ()), f"{key}: {code}"
        if not one["codes"] or package == "configuration":
            assert (tuple(one["codes"]), one.get("status")) in names.get(name, ()), key


def check_reply(data: bytes, sample: str) -> None:
    """A reply with the same head but for its length, and the same JSON but for its wording."""
    (head, body), (old_head, old_body) = (part.split("\r\n\r\n") for part in (data.decode(), sample))
    assert fixed_lines(head) == fixed_lines(old_head)
    assert without_wording(json.loads(body)) == without_wording(json.loads(old_body))


def fixed_lines(head: str) -> list[str]:
    """A head's lines but the length."""
    return [line for line in head.split("\r\n") if not line.lower().startswith("content-length")]


def without_wording(value: Any) -> Any:
    """JSON with texts that people read replaced by whether they are there."""
    if isinstance(value, dict):
        return {
            key: bool(one) if key in ("what", "remedy") else without_wording(one)
            for key, one in value.items()
        }
    return value


def test_the_control_api_answers_errors_as_before():
    kinds = {kind.code: kind for kind in (CallError, *all_below(CallError))}
    for one in samples("errors.json")["control_api"]:
        error = kinds[one["error"]["code"]]("what is wrong", "If-Match")
        check_error(error, one["error"])
        reply = error_reply(error.status, error, False, ["10.0.0.1:8001", "10.0.0.2:8001"])
        assert reply.status == one["status"]
        check_reply(reply.data, one["reply"])


def all_below(kind: type[Any]) -> Iterator[type[Any]]:
    """All subclasses."""
    for one in kind.__subclasses__():
        yield one
        yield from all_below(one)


def test_bad_documents_and_heartbeats_are_refused_with_the_same_codes_at_the_same_places():
    sample = samples("errors.json")
    for one in sample["documents"]:
        error = raised(ConfigurationError, lambda: parse_configuration(one["document"].encode()))  # noqa: B023
        check_error(error, one)
        assert sorted(error.as_dict()) == one["told"]
        check_reply(error_reply(one["status"], error, False).data, one["reply"])
    for one in sample["heartbeats"]:
        body = one["body"].ljust(one["size"], "x").encode()
        check_error(raised(HeartbeatError, lambda: parse_heartbeat(one["id"], body)), one)  # noqa: B023


def test_the_fleets_pages_answer_errors_as_before():
    kinds = {kind.error_name: kind for kind in (CoordinationError, *all_below(CoordinationError))}
    for one in samples("errors.json")["fleet_pages"]:
        error = kinds[one["name"]]("what is wrong", "somewhere")
        assert error.status == one["status"]
        check_reply(json_response(error.status, error.as_dict(), False).data, one["reply"])


def test_the_object_api_answers_errors_as_before():
    sample = samples("errors.json")
    assert {name: ERRORS[name][0] for name in sample["object_api_status"]} == sample["object_api_status"]
    for name, body in sample["object_api"].items():
        assert error_body(name, b"/tolls/x?y", "0123").decode() == body


# ------------------------------------------------------------------------------------------ settings


def test_settings_of_both_roles_are_read_as_before():
    sample = samples("settings.json")
    for name in ("gateway", "member"):
        assert plain(parse_settings(tomllib.loads(sample[name]["text"]))) == sample[name]["value"]
    for one in sample["bad"]:
        error = raised(SettingsError, lambda: parse_settings(tomllib.loads(one["text"])))  # noqa: B023
        check_error(error, one)


def test_the_operators_file_and_the_keys_are_read_as_before():
    sample = samples("settings.json")
    part = sample["operators"]
    assert msgspec.to_builtins(operators.check(part["file"])) == part["value"]
    empty = {name: {} for name in ("buffer", "policy", "maintenance", "shares", "pools")}
    assert msgspec.to_builtins(operators.check(empty)) == part["defaults"]
    for one in part["bad"]:
        error = raised(MallowbeamError, lambda: operators.check(one["file"]))  # noqa: B023
        check_error(error, one)
        assert error.what.partition(":")[0] == one["what"].partition(":")[0], "the place in the file"
    keys = read_keys(json.dumps(sample["keys"]["file"]).encode())
    assert msgspec.to_builtins(keys) == sample["keys"]["value"]


def test_the_platforms_configuration_is_read_as_before():
    sample = samples("settings.json")["platform"]
    for environment, name in (({}, "value"), (sample["environment"], "overridden")):
        config = net_config.decode_config(sample["file"], environment)
        own = dataclasses.replace(config, node_sockets=0, client_sockets=0, own_sockets=0)
        assert plain(own) == sample[name]


# ------------------------------------------------------------------------------------------ simulator's wire


def test_the_simulators_wire_is_answered_as_before():
    sink = io.StringIO()
    wirehost.Wire(io.StringIO((SAMPLES / "wire-input.txt").read_text()), sink).run()
    assert sink.getvalue() == (SAMPLES / "wire-output.txt").read_text()
