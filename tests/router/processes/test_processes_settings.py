"""The settings file: keys that are read, ignored and rejected, with the path of an error."""

from __future__ import annotations

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from mallowbeam.router.processes.settings import (
    DEFAULT_PATH,
    Bounds,
    FaultTolerance,
    Limits,
    SettingsFieldError,
    SettingsUnreadableError,
    parse_settings,
    read_settings,
    settings_path,
    split_address,
)

MINIMAL = {
    "node_name": "core-1",
    "role": "control-plane",
    "machine_class": "core",
    "ip": "10.0.0.1",
    "zone": "a",
    "region": "r",
    "port_range": [7000, 7001],
}
COMPLETE = """
node_name = "core-1"
role = "control-plane"
machine_class = "core"
serves = ["control"]
ip = "10.0.0.1"
zone = "a"
region = "r"
port_range = [7660,7675]
seeds = ["10.0.0.1:8146","10.0.0.2:8146"]
bootstrap = true
counts_for_quorum = true
data_dir = "/data"
discovery = "register"
entry = "vip"
heartbeat_ms = 800
contracts = ["base","split"]
later = { any = 1 }
[zones]
a = "r"
b = "r"
[bind_addresses]
control = "10.0.0.1:8146"
readiness = ""
[limits]
cpu_share = 0.5
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 100
disk_mb = 40
[fault_tolerance]
machines = 1
[bounds]
contact_ms = 2500.5
fenced = false
min_retries = 7
unknown = "skipped"
"""


class Reading(unittest.TestCase):
    def read(self, text: str | bytes):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_bytes(text if isinstance(text, bytes) else text.encode())
            return read_settings(str(path))

    def test_a_complete_file(self):
        settings = self.read(COMPLETE)
        self.assertEqual(settings.node_name, "core-1")
        self.assertEqual(settings.serves, ("control",))
        self.assertEqual(settings.port_range, (7660, 7675))
        self.assertEqual(settings.peer_address, "10.0.0.1:7660")
        self.assertEqual(settings.seeds, ("10.0.0.1:8146", "10.0.0.2:8146"))
        self.assertTrue(settings.bootstrap and settings.counts_for_quorum)
        self.assertEqual(settings.data_dir, "/data")
        self.assertEqual(settings.contracts, {"base", "split"})
        self.assertEqual(dict(settings.zones), {"a": "r", "b": "r"})
        self.assertEqual(settings.bind_addresses.control, "10.0.0.1:8146")
        self.assertIsNone(settings.bind_addresses.readiness)
        self.assertIsNone(settings.bind_addresses.front)
        self.assertEqual(settings.limits, Limits(0.5, 2, 300.0, 4100, 100.0, 40.0))
        self.assertEqual(settings.fault_tolerance, FaultTolerance(machines=1))
        self.assertEqual(settings.bounds, Bounds(contact_ms=2500.5, fenced=False, min_retries=7.0))

    def test_the_same_file_gives_equal_settings(self):
        self.assertEqual(self.read(COMPLETE), self.read(COMPLETE))
        self.assertNotEqual(self.read(COMPLETE), self.read(COMPLETE.replace("800", "900")))

    def test_the_least_file_has_defaults(self):
        settings = parse_settings(MINIMAL)
        self.assertIsNone(settings.data_dir)
        self.assertEqual(settings.bounds, Bounds())
        self.assertEqual(settings.limits, Limits())
        self.assertEqual(settings.seeds, ())
        self.assertFalse(settings.bootstrap)

    def test_a_file_that_is_not_there(self):
        with self.assertRaises(SettingsUnreadableError) as caught:
            read_settings("/nonexistent/settings.toml")
        self.assertEqual(caught.exception.code, "SETTINGS_UNREADABLE")
        self.assertEqual(caught.exception.where, "/nonexistent/settings.toml")
        self.assertTrue(caught.exception.remedy_text)

    def test_files_that_are_no_toml(self):
        for text in (b"node_name = ", b"\xff\xfe", b"a = 1\na = 2\n"):
            with self.subTest(text), self.assertRaises(SettingsUnreadableError):
                self.read(text)

    def test_the_path_comes_from_the_environment(self):
        with mock.patch.dict(os.environ, {"MALLOWBEAM_NODE_FILE": "/x.toml"}):
            self.assertEqual(settings_path(), "/x.toml")
        with mock.patch.dict(os.environ, clear=True):
            self.assertEqual(settings_path(), DEFAULT_PATH)


class Refusing(unittest.TestCase):
    def test_each_key_that_must_be_there(self):
        for key in MINIMAL:
            with self.subTest(key), self.assertRaises(SettingsFieldError) as caught:
                parse_settings({name: value for name, value in MINIMAL.items() if name != key})
            self.assertEqual((caught.exception.where, caught.exception.code), (key, "SETTINGS_FIELD"))

    def test_wrong_values_are_named_by_their_path(self):
        cases = [
            ("node_name", {"node_name": 7}),
            ("node_name", {"node_name": ""}),
            ("serves", {"serves": "edge"}),
            ("serves", {"serves": [1]}),
            ("port_range", {"port_range": [7000]}),
            ("port_range", {"port_range": [7001, 7000]}),
            ("port_range", {"port_range": [0, 7000]}),
            ("port_range", {"port_range": [7000, 65536]}),
            ("port_range", {"port_range": [True, 7000]}),
            ("seeds", {"seeds": ["10.0.0.1"]}),
            ("bootstrap", {"bootstrap": 1}),
            ("data_dir", {"data_dir": 1}),
            ("heartbeat_ms", {"heartbeat_ms": "800"}),
            ("heartbeat_ms", {"heartbeat_ms": -1}),
            ("heartbeat_ms", {"heartbeat_ms": True}),
            ("heartbeat_ms", {"heartbeat_ms": float("nan")}),
            ("heartbeat_ms", {"heartbeat_ms": float("inf")}),
            ("zones", {"zones": []}),
            ("zones.a", {"zones": {"a": 1}}),
            ("bind_addresses.front", {"bind_addresses": {"front": "10.0.0.1:0"}}),
            ("limits.cores", {"limits": {"cores": 1.5}}),
            ("limits.max_fds", {"limits": {"max_fds": "many"}}),
            ("fault_tolerance.zones", {"fault_tolerance": {"zones": True}}),
            ("bounds.fenced", {"bounds": {"fenced": 1}}),
            ("bounds.ack_ms", {"bounds": {"ack_ms": None}}),
        ]
        for where, change in cases:
            with self.subTest(change=change), self.assertRaises(SettingsFieldError) as caught:
                parse_settings({**MINIMAL, **change})
            self.assertEqual(caught.exception.where, where)

    def test_addresses(self):
        self.assertEqual(split_address("10.0.0.1:80"), ("10.0.0.1", 80))
        for wrong in ("", "10.0.0.1", ":80", "10.0.0.1:", "10.0.0.1:x", "10.0.0.1:65536", "10.0.0.1:-1"):
            with self.subTest(wrong), self.assertRaises(ValueError):
                split_address(wrong)


if __name__ == "__main__":
    unittest.main()
