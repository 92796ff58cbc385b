"""Invalid lists: rejected as a whole with one log line and requested again; the previous list stays."""

from __future__ import annotations

import copy
import json
import math

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger
from scenario import EXAMPLE, World, play

from mallowbeam.http import reporting
from mallowbeam.http.client import RequestNotSentError, connect
from mallowbeam.storage_gateway.scheduler import node_health
from mallowbeam.storage_gateway.scheduler.interface import NodeState
from mallowbeam.storage_gateway.server import discovery
from mallowbeam.storage_gateway.server.config import GatewayConfigError, read_config
from mallowbeam.storage_gateway.server.listing import (
    NodeListError,
    can_be_connected,
    decode_listing,
    read_listing,
    write_listing,
)

MEMBER = {
    "id": "n0",
    "host_port": "127.0.0.1:9",
    "locality": "a",
    "flavor": "m",
    "cell": 0,
    "phase": "up",
    "size": 1.0,
    "up_since_ms": 0,
}
GOOD = {"revision": 2, "complete": True, "members": [MEMBER]}
MISSING = object()  # marks a missing field

INVALID_LIST_FIELDS = (
    [("revision", value) for value in (MISSING, "2", None, True, 2.5, -1, 10**30, [])]
    + [("complete", value) for value in (MISSING, None, 1, "false", [])]
    + [("members", value) for value in (MISSING, None, {}, "", 7, [None], [7], [[]], ["n0"], [{}] * 100_000)]
)
INVALID_MEMBER_FIELDS = (
    [("id", value) for value in (MISSING, None, 7, "", [], "a\nb", "\ud800", "x" * 257)]
    + [("phase", value) for value in (MISSING, None, "", "UP", "gone", 1, [])]
    + [
        ("up_since_ms", value)
        for value in ("0", None, True, -1, math.nan, math.inf, -math.inf, 1e300, 10**400, [], {})
    ]
    + [("cell", value) for value in ("0", None, True, 0.5, -2, 10**30, [])]
    + [("size", value) for value in ("1", None, False, -1.0, math.nan, math.inf, [])]
    + [("locality", value) for value in (7, True, "a\r\nb", [])]
    + [("flavor", value) for value in (7, 0.0, {})]
    + [
        ("host_port", value)
        for value in (
            MISSING,
            None,
            7,
            [],
            "",
            ":",
            "9",
            "127.0.0.1",
            "127.0.0.1:",
            ":80",
            "127.0.0.1:0",
            "127.0.0.1:99999",
            "127.0.0.1:-1",
            "127.0.0.1:x",
            "127.0.0.1: 9",
            "127.0.0.1:\u00b2",
            "127.0.0.1:1e3",
            "a b:80",
            "a..b:80",
            ".:80",
            "a/b:80",
            "http://a:80",
            "\u00e9:80",
            "x" * 64 + ":80",
            "::g:80",
            "[::1:x]:80",
            "[]:80",
            "a:b:80",
            "a\u0000b:80",
        )
    ]
)


def without(raw: dict, name: str, value: object) -> dict:
    return {key: old for key, old in raw.items() if key != name} if value is MISSING else raw | {name: value}


BAD = (
    [without(GOOD, *wrong) for wrong in INVALID_LIST_FIELDS]
    + [
        GOOD | {"members": [MEMBER | {"id": "n1"}, without(MEMBER, *wrong)]}
        for wrong in INVALID_MEMBER_FIELDS
    ]
    + [GOOD | {"members": [MEMBER, MEMBER | {"phase": "draining"}]}, [], [GOOD], None, "list", 7]
)
GARBAGE = [
    b"",
    b"nonsense",
    b"{",
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b"\xff\xfe",
    b"\x00" * 50,
    b"{}",
    json.dumps(GOOD).encode()[:-1],
    json.dumps(GOOD).encode() + b"}",
    b"9" * 5000,
    b'{"revision":1e999,"complete":true,"members":[]}',
    json.dumps(GOOD).encode("utf-16") + b"x",
]
BODIES = GARBAGE + [json.dumps(raw).encode() for raw in BAD]


@pytest.mark.parametrize("body", BODIES, ids=range(len(BODIES)))
def test_a_list_that_can_t_be_read_is_one_typed_error_with_a_remedy(body):
    with pytest.raises(NodeListError) as told:
        decode_listing(body)
    assert told.value.remedy_text and len(told.value.line) < 400 and "\n" not in told.value.line


def test_good_lists_are_read_in_every_form_that_the_page_allows():
    """Extra fields, integers and decimals, host names, IPv6, and no address for nodes that are not up."""
    fine = [
        MEMBER | {"up_since_ms": 1.5e12, "size": 1, "more": [{}]},
        MEMBER | {"host_port": "[::1]:80"},
        MEMBER | {"host_port": "node-1.local:80"},
        MEMBER | {"host_port": "::1:80"},
        {"id": "n0", "phase": "removed"},
        {"id": "n0", "phase": "draining"},
        {"id": "n0", "phase": "up", "host_port": "a:1", "locality": None, "flavor": None, "cell": -1},
    ]
    for member in fine:
        listing = decode_listing(json.dumps(GOOD | {"members": [member], "more": None}, indent=3).encode())
        assert listing.entries[0].node == "n0" and set(listing.addresses) <= {"n0"}
        assert read_listing(write_listing(*listing)) == listing


def test_last_entry_of_a_node_wins_in_a_list_of_changes():
    """Changes are listed in order; a node that drains in the last one has no address."""
    up, drains = MEMBER, MEMBER | {"phase": "draining"}
    for order, open_now in (([up, drains], False), ([drains, up], True)):
        listing = read_listing({"revision": 3, "complete": False, "members": order})
        assert [entry.state is NodeState.READY for entry in listing.entries] == [open_now]
        assert ("n0" in listing.addresses) is open_now


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda some: st.lists(some, max_size=3) | st.dictionaries(st.text(max_size=3), some, max_size=3),
    max_leaves=6,
)


@given(st.data())
def test_a_field_of_any_value_is_either_used_safely_or_refused(data):
    raw = copy.deepcopy(GOOD)
    place = data.draw(st.sampled_from([raw, raw["members"][0]]))
    place[data.draw(st.sampled_from(sorted(place)))] = data.draw(JSON)
    try:
        listing = decode_listing(json.dumps(raw).encode())
    except NodeListError:
        return
    assert all(can_be_connected(address) for address in listing.addresses.values())
    assert all(
        math.isfinite(number) and number >= 0
        for entry in listing.entries
        for number in (entry.started_at or 0, entry.weight)
    )


@pytest.mark.parametrize("address", ["127.0.0.1:1", "localhost:1", "[::1]:1", "::1:1"])
def test_an_address_that_passes_leads_to_a_connection_or_to_unsent(address):
    assert can_be_connected(address)
    with pytest.raises(RequestNotSentError):
        uvloop.run(connect(address, 5.0, 1024))


def retry_soon(monkeypatch) -> None:
    """Makes the scheduler retry failed calls within a few milliseconds."""
    monkeypatch.setattr(node_health, "WATCH_RETRY_S", 0.005)
    monkeypatch.setattr(node_health, "MAX_WATCH_RETRY_S", 0.005)


def test_bad_lists_are_failed_calls_and_the_list_known_before_stays_whole(monkeypatch):
    """Over sockets: each list is requested again, with one warning, no traceback, and the gateway serves."""
    retry_soon(monkeypatch)
    monkeypatch.setattr(reporting, "WARNING_INTERVAL_S", 1e9)
    lines: list[str] = []
    number = logger.add(lines.append, level="DEBUG")

    async def run() -> None:
        async with World() as world:
            d = world.parties["d"]
            for body in BODIES:
                await d.expect(["GET", "since=1&"])
                d.writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))
            await world.play("""
                d expect GET since=1&
                c1 send read
                n0 expect GET
                n0 send 200 body=served
                c1 expect 200 served
                d send 200 'body={"revision":9,"complete":true,"members":[]}'
                d expect GET since=9&
            """)

    try:
        uvloop.run(run())
    finally:
        logger.remove(number)
    warned = [line for line in lines if "WARNING" in line or "ERROR" in line]
    assert len(warned) == 1 and "discovery call failed" in warned[0]
    assert not [line for line in lines if "Traceback" in line]


@pytest.mark.parametrize(
    "answer",
    [
        "d send 404",
        "d send 400 body={}",
        "d send 204",
        "d send 302 location:http://127.0.0.1:1/",
        "d send raw 'HTTP/1.1 200 OK\\r\\ncontent-length: x\\r\\n\\r\\n'",
        "d send raw 'SSH-2.0-x\\r\\n\\r\\n'",
        "d send raw 'HTTP/1.1 200 OK\\r\\ncontent-length: 2\\r\\ncontent-length: 3\\r\\n\\r\\n{}'",
        'd send 200 \'body={"revision":4,"complete":false,"members":[]}\'',
    ],
)
def test_invalid_response_to_a_full_list_request_is_a_failed_call(monkeypatch, answer):
    """Among them: only changes, although the full list was requested."""
    retry_soon(monkeypatch)

    async def run() -> None:
        async with World() as here:
            await here.play("d expect GET since=1")
            here.gateway.watch.address = "elsewhere"
            here.gateway.peer.move_discovery(here.parties["d"].address)
            await here.play(rf"""
                d expect 'GET /v1/servers\n'
                {answer}
                d expect 'GET /v1/servers\n'
                d send 200 'body={{"revision":3,"complete":true,"members":[]}}'
                d expect GET since=3
            """)

    uvloop.run(run())


def test_a_discovery_that_counts_anew_is_asked_for_the_whole_list():
    """After a restart of discovery, changes alone would leave out nodes."""
    play(r"""
        d expect GET since=1
        d send 200 'body={"revision":50,"complete":true,"members":[{"id":"n0","cell":0,"phase":"draining"}]}'
        d expect GET since=50
        d send 200 'body={"revision":3,"complete":false,"members":[]}'
        d expect 'GET /v1/servers\n'
        d send 200 'body={"revision":3,"complete":true,"members":[]}'
        d expect GET since=3
    """)


def test_a_connection_that_closes_with_each_answer_goes_on_on_new_ones():
    asked = "".join(
        f"""
        d expect GET since={n}&
        d send 200 connection:close 'body={{"revision":{n + 1},"complete":false,"members":[]}}'
        d expect end
    """
        for n in range(1, 6)
    )
    play(asked + "d expect GET since=6&")


INVALID_KNOWN = [*INVALID_LIST_FIELDS[:5], *INVALID_MEMBER_FIELDS[::4]]


@pytest.mark.parametrize("wrong", INVALID_KNOWN, ids=range(len(INVALID_KNOWN)))
def test_a_known_list_that_can_t_be_read_is_one_plain_bad_config(tmp_path, wrong):
    raw = json.loads((EXAMPLE / "config.json").read_text())
    where = raw["known"]["members"][0] if wrong in INVALID_MEMBER_FIELDS else raw["known"]
    for key in [key for key in where if key == wrong[0]]:
        del where[key]
    if wrong[1] is not MISSING:
        where[wrong[0]] = wrong[1]
    file = tmp_path / "config.json"
    file.write_text(json.dumps(raw))
    with pytest.raises(GatewayConfigError) as told:
        read_config({"BALANCER_CONFIG": str(file)})
    assert str(file) in told.value.line and "\n" not in told.value.line


def test_a_list_of_twenty_thousand_nodes_fits_the_bound_and_one_byte_beyond_it_is_not_read(monkeypatch):
    """The size limit bounds memory and the time for which decoding blocks the event loop."""
    members = [{"id": f"n{n}", "phase": "draining"} for n in range(20_000)]
    body = json.dumps(GOOD | {"members": members})
    assert len(body) < discovery.MAX_LIST_BYTES and len(decode_listing(body.encode()).entries) == 20_000
    small = json.dumps(GOOD | {"revision": 7, "members": []})
    retry_soon(monkeypatch)
    monkeypatch.setattr(discovery, "MAX_LIST_BYTES", len(small))
    play(f"""
        d expect GET since=1
        d send 200 'body={small} '
        d expect GET since=1
        d send 200 'body={small}'
        d expect GET since=7
    """)
