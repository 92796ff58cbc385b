"""Parsing of heartbeats: accepted bodies, and the error code and field of rejected ones."""

from __future__ import annotations

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from mallowbeam.router.registry import HeartbeatError, parse_heartbeat
from mallowbeam.router.registry.limits import (
    MAX_BODY_BYTES,
    MAX_MODELS,
    MAX_NAME_LENGTH,
    MAX_SEQUENCE,
    MAX_SLOTS,
)
from mallowbeam.router.rpc.messages_pb2 import DRAINS, READY, Instance, Model

VALID_FIELDS: dict[str, object] = {
    "backend": "chat",
    "address": "10.1.2.3:8080",
    "zone": "north",
    "revision": "v1",
    "slots": 64,
    "state": "ready",
    "warmup_left_ms": 250,
    "stage": "decode",
    "models": [{"name": "m", "revision": 3, "adapters": []}],
    "sequence": 4,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


def body(**changes: object) -> bytes:
    fields = {**VALID_FIELDS, **changes}
    return json.dumps({name: value for name, value in fields.items() if value is not ...}).encode()


class Parsing(unittest.TestCase):
    def assert_rejected(self, code: str, where: str, content: bytes, id: str = "i-1") -> None:
        with self.assertRaises(HeartbeatError) as caught:
            parse_heartbeat(id, content)
        self.assertEqual((caught.exception.code, caught.exception.where), (code, where))

    def test_a_complete_heartbeat(self) -> None:
        self.assertEqual(
            parse_heartbeat("i-1", body()),
            Instance(
                id="i-1",
                backend="chat",
                address="10.1.2.3:8080",
                zone="north",
                revision="v1",
                slots=64,
                state=READY,
                warmup_left_ms=250,
                stage="decode",
                sequence=4,
                models=[Model(name="m", revision=3)],
            ),
        )

    def test_unknown_fields_are_skipped(self) -> None:
        self.assertEqual(parse_heartbeat("i-1", body(later={"a": [1]})), parse_heartbeat("i-1", body()))

    def test_optional_fields(self) -> None:
        absent = ["zone", "revision", "slots", "warmup_left_ms", "stage", "models"]
        heartbeat = parse_heartbeat("i-1", body(**dict.fromkeys(absent, ...), state="draining"))
        self.assertEqual(
            heartbeat,
            Instance(id="i-1", backend="chat", address="10.1.2.3:8080", slots=1, state=DRAINS, sequence=4),
        )

    def test_required_fields(self) -> None:
        for name in ("backend", "address", "state", "sequence"):
            with self.subTest(name):
                self.assert_rejected("HEARTBEAT_BAD_FIELD", name, body(**{name: ...}))

    def test_bounds(self) -> None:
        for name, maximum in (("slots", MAX_SLOTS), ("sequence", MAX_SEQUENCE)):
            parse_heartbeat("i-1", body(**{name: maximum}))
            self.assert_rejected("HEARTBEAT_BAD_FIELD", name, body(**{name: maximum + 1}))
        self.assert_rejected("HEARTBEAT_BAD_FIELD", "slots", body(slots=0))
        self.assert_rejected("HEARTBEAT_BAD_FIELD", "sequence", body(sequence=-1))
        parse_heartbeat("i-1", body(zone="z" * MAX_NAME_LENGTH))
        self.assert_rejected("HEARTBEAT_BAD_FIELD", "zone", body(zone="z" * (MAX_NAME_LENGTH + 1)))
        parse_heartbeat("i-1", body(models=[{"name": "m"}] * MAX_MODELS))
        too_many = [{"name": "m"}] * (MAX_MODELS + 1)
        self.assert_rejected("HEARTBEAT_BAD_FIELD", "models", body(models=too_many))
        self.assert_rejected("HEARTBEAT_TOO_LARGE", "body", body() + b" " * MAX_BODY_BYTES)

    def test_types(self) -> None:
        for name, invalid in (
            ("slots", True),
            ("slots", 1.5),
            ("slots", "8"),
            ("sequence", 4.0),
            ("zone", 7),
            ("state", "gone"),
            ("state", ["ready"]),
            ("models", {}),
            ("warmup_left_ms", "1"),
            ("warmup_left_ms", True),
            ("stage", "\ud800"),
        ):
            with self.subTest(name=name, invalid=invalid):
                self.assert_rejected("HEARTBEAT_BAD_FIELD", name, body(**{name: invalid}))
        self.assert_rejected(
            "HEARTBEAT_BAD_FIELD",
            "models[1].revision",
            body(models=[{"name": "a"}, {"name": "b", "revision": -1}]),
        )
        self.assert_rejected("HEARTBEAT_BAD_FIELD", "models[0]", body(models=["a"]))

    def test_addresses(self) -> None:
        for invalid in (
            "10.1.2.3",
            "10.1.2.3:0",
            "10.1.2.3:65536",
            "256.1.2.3:80",
            "host:80",
            "10.1.2.3:80 ",
            "",
            "\u0661.1.1.1:80",
            "1.1.1.1:80\n",
            None,
            4,
        ):
            with self.subTest(invalid):
                self.assert_rejected("HEARTBEAT_BAD_FIELD", "address", body(address=invalid))

    def test_ids(self) -> None:
        for invalid in ("", "a/b", "a b", "\u00e9", "x" * 129):
            with self.subTest(invalid):
                self.assert_rejected("HEARTBEAT_BAD_ID", "id", body(), invalid)

    def test_no_object(self) -> None:
        for invalid in (b"", b"[]", b"{", b"\xff", b"[" * 20_000, b"7", b'{"slots":' + b"9" * 5_000 + b"}"):
            with self.subTest(invalid[:20]):
                self.assert_rejected("HEARTBEAT_NOT_JSON", "body", invalid)

    def test_warmup_may_have_a_fraction(self) -> None:
        self.assertEqual(parse_heartbeat("i-1", body(warmup_left_ms=12.7)).warmup_left_ms, 12)
        self.assert_rejected("HEARTBEAT_BAD_FIELD", "warmup_left_ms", body(warmup_left_ms=float("nan")))

    @given(st.sampled_from(sorted(VALID_FIELDS)), JSON)
    def test_any_value_is_accepted_or_rejected_by_its_name(self, name: str, value: object) -> None:
        try:
            heartbeat = parse_heartbeat("i-1", body(**{name: value}))
        except HeartbeatError as error:
            self.assertTrue(error.where.startswith(name), error.where)
            self.assertTrue(error.code)
        else:
            self.assertEqual(Instance.FromString(heartbeat.SerializeToString()), heartbeat)

    @given(st.binary(max_size=64))
    def test_any_bytes_are_rejected(self, content: bytes) -> None:
        with self.assertRaises(HeartbeatError):
            parse_heartbeat("i-1", content)


if __name__ == "__main__":
    unittest.main()
