"""Tests the fleet's command line against stand-in members on loopback."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import unittest
from pathlib import Path
from unittest import mock

from project_paths import ROOT
from system_cli import DOCUMENT, MEMBER, ROUTE, STATUS, Commands

from mallowbeam.cli import system_client


class Check(Commands):
    def test_a_valid_one(self):
        code, out, err = self.run_command("config", "check", self.file(DOCUMENT))
        self.assertEqual((code, err), (0, ""))
        self.assertTrue(out.endswith("routes.json: valid, revision 7, 1 routes, 2 backends\n"))

    def test_an_invalid_one_is_told_with_its_code_and_place(self):
        document = {**DOCUMENT, "routes": [{**ROUTE, "timeout_ms": 0}]}
        code, out, _ = self.run_command("config", "check", self.file(document))
        self.assertEqual(code, 1)
        self.assertIn("CONFIG_NO_TIMEOUT: routes[0]", out)
        code, out, _ = self.run_command("config", "check", self.file(document), "--json")
        output = json.loads(out)
        self.assertEqual((code, output["valid"], output["code"]), (1, False, "CONFIG_NO_TIMEOUT"))

    def test_a_file_that_is_not_there(self):
        code, out, err = self.run_command("config", "check", str(self.folder / "none.json"))
        self.assertEqual((code, out), (2, ""))
        self.assertRegex(err, r"^mallowbeam: FLEET_FILE: .*none\.json: No such file")

    def test_json_for_scripts(self):
        _, out, _ = self.run_command("config", "check", self.file(DOCUMENT), "--json")
        output = json.loads(out)
        self.assertEqual(
            (output["valid"], output["revision"], output["routes"], output["backends"]), (True, 7, 1, 2)
        )


class Put(Commands):
    def test_it_builds_on_the_current_revision(self):
        member = self.member(lambda method, _: (200, {"revision": 5} if method == "GET" else {}, {}))
        path = self.file(DOCUMENT)
        code, out, err = self.run_command("config", "put", path, "--control", member.address)
        self.assertEqual((code, err), (0, ""))
        self.assertIn("revision 7 is in force (based on 5", out)
        method, target, headers, body = member.calls[-1]
        self.assertEqual((method, target, headers["If-Match"]), ("PUT", "/mallowbeam/config", "5"))
        self.assertEqual(body, Path(path).read_bytes())

    def test_the_first_one_builds_on_0(self):
        member = self.member(lambda method, _: (404 if method == "GET" else 200, {}, {}))
        code, out, _ = self.run_command(
            "config", "put", self.file(DOCUMENT), "--control", member.address, "--json"
        )
        self.assertEqual((code, json.loads(out)["based_on"]), (0, 0))

    def test_a_given_revision_is_not_asked_for(self):
        member = self.member(lambda *_: (200, {}, {}))
        self.run_command("config", "put", self.file(DOCUMENT), "--control", member.address, "--based-on", "3")
        self.assertEqual([(call[0], call[2]["If-Match"]) for call in member.calls], [("PUT", "3")])

    def test_a_patch_builds_on_the_current_revision(self):
        member = self.member(lambda method, _: (200, {"revision": 5} if method == "GET" else {}, {}))
        path = self.file({"revision": 9, "remove": {"routes": ["r-1"]}})
        code, out, _ = self.run_command("config", "patch", path, "--control", member.address)
        self.assertEqual((code, "revision 9 is in force (based on 5" in out), (0, True))
        method, target, headers, body = member.calls[-1]
        self.assertEqual((method, target, headers["If-Match"]), ("PATCH", "/mallowbeam/config", "5"))
        self.assertEqual(body, Path(path).read_bytes())

    def test_an_invalid_patch_is_not_sent(self):
        member = self.member(lambda *_: (200, {}, {}))
        path = self.file({"revision": 9, "routes": []})
        code, _, err = self.run_command("config", "patch", path, "--control", member.address)
        self.assertEqual((code, member.calls), (1, []))
        self.assertIn("CONFIG_FIELD", err)

    def test_an_invalid_one_is_not_sent(self):
        member = self.member(lambda *_: (200, {}, {}))
        code, _, err = self.run_command("config", "put", self.file(b"{"), "--control", member.address)
        self.assertEqual((code, member.calls), (1, []))
        self.assertIn("CONFIG_UNREADABLE", err)

    def test_another_version_is_a_refusal_and_ends_it(self):
        error = {"code": "CONFIGURATION_VERSION", "where": "", "what": "9 is current", "remedy": "mend"}
        member = self.member(lambda *_: (412, {"error": error}, {}))
        other = self.member(lambda *_: (200, {}, {}))
        code, out, err = self.put(member.address, other.address)
        self.assertEqual((code, out, other.calls), (3, "", []))
        self.assertIn("CONFIGURATION_VERSION", err)
        self.assertIn("9 is current", err)

    def test_the_next_member_is_asked_after_each_kind_of_failure(self):
        statuses = (503, 429, 408, 500, 504)
        answers = [lambda *_, status=status: (status, {}, {}) for status in statuses]
        for answer in (*answers, lambda *_: None):
            first, second = self.member(answer), self.member(lambda *_: (200, {}, {}))
            code, out, _ = self.put(self.dead_address(), first.address, second.address)
            self.assertEqual(code, 0)
            self.assertIn(second.address, out)
            self.assertEqual(first.calls[0][3], second.calls[0][3])

    def test_a_redirect_is_followed_with_the_body(self):
        second = self.member(lambda *_: (200, {}, {}))
        location = {"Location": f"http://{second.address}/mallowbeam/config"}
        first = self.member(lambda *_: (307, {}, location))
        code, _, _ = self.put(first.address)
        self.assertEqual(code, 0)
        self.assertEqual(second.calls[0][0], "PUT")
        self.assertEqual(second.calls[0][3], first.calls[0][3])

    def test_redirects_without_an_end_are_no_answer(self):
        member = self.member(lambda *_: (307, {}, {"Location": f"http://{member.address}/mallowbeam/config"}))
        code, _, err = self.put(member.address)
        self.assertEqual(code, 4)
        self.assertIn("too many redirects", err)

    def test_nobody_there(self):
        code, _, err = self.put(self.dead_address())
        self.assertEqual(code, 4)
        self.assertIn("FLEET_NO_ANSWER", err)
        self.assertEqual(self.time.pauses[:4], [0.1, 0.2, 0.4, 0.8])
        self.assertEqual(max(self.time.pauses), system_client.MAX_BACKOFF_S)

    def test_what_may_have_been_taken_is_told_as_unknown(self):
        for answer in (lambda *_: (504, {}, {}), lambda *_: None):
            member = self.member(answer)
            code, _, err = self.put(member.address)
            self.assertEqual(code, 5)
            self.assertIn("FLEET_OUTCOME_UNKNOWN", err)

    def test_refusals_that_promise_nothing_was_done_are_no_unknown_outcome(self):
        member = self.member(lambda *_: (503, {}, {}))
        code, _, _ = self.put(member.address)
        self.assertEqual(code, 4)

    def test_a_silent_member_is_given_up(self):
        short = mock.patch.object(system_client, "ANSWER_TIMEOUT_S", 0.05)
        with socket.create_server(("127.0.0.1", 0)) as silent, short:
            second = self.member(lambda *_: (200, {}, {}))
            code, out, _ = self.put(f"127.0.0.1:{silent.getsockname()[1]}", second.address)
        self.assertEqual(code, 0)
        self.assertIn(second.address, out)


class GetAndDiff(Commands):
    def test_the_newest_is_printed_whole(self):
        member = self.member(lambda *_: (200, {**DOCUMENT, "later": [1]}, {}))
        code, out, _ = self.run_command("config", "get", "--control", member.address)
        self.assertEqual((code, json.loads(out)), (0, {**DOCUMENT, "later": [1]}))

    def test_none_yet(self):
        member = self.member(lambda *_: (404, {}, {}))
        code, out, err = self.run_command("config", "get", "--control", member.address)
        self.assertEqual((code, out), (3, ""))
        self.assertIn("no configuration yet", err)

    def test_an_answer_that_is_no_json(self):
        member = self.member(lambda *_: (200, b"<html>", {}))
        code, _, err = self.run_command("config", "get", "--control", member.address)
        self.assertEqual(code, 4)
        self.assertIn("FLEET_ANSWER", err)

    def test_equal_ones(self):
        same = {**DOCUMENT, "routes": [dict(reversed(ROUTE.items()))]}
        code, out, _ = self.run_command("config", "diff", self.file(DOCUMENT, "a"), self.file(same, "b"))
        self.assertEqual((code, out), (0, ""))

    def test_each_kind_of_change(self):
        split = [{"backend": "one", "weight": 90}, {"backend": "two", "weight": 10}]
        route = {key: value for key, value in ROUTE.items() if key != "backend"}
        new = {
            **DOCUMENT,
            "revision": 9,
            "limits": {**DOCUMENT["limits"], "idle_timeout_ms": 9000},
            "routes": [{**route, "weighted_backends": split}, {**ROUTE, "path_prefix": "/y/"}],
            "backends": [*DOCUMENT["backends"], {"name": "three"}],
        }
        a, b = self.file(DOCUMENT, "a"), self.file(new, "b")
        code, out, _ = self.run_command("config", "diff", a, b)
        self.assertEqual(code, 1)
        self.assertEqual(
            out.splitlines(),
            [
                "~ revision revision: 7 -> 9",
                "~ route a.example /x/ backends: one=1 -> one=90,two=10",
                "+ route a.example /y/",
                "+ backend three",
                "~ limits idle_timeout_ms: 15000 -> 9000",
            ],
        )
        code, out, _ = self.run_command("config", "diff", b, a, "--json")
        output = json.loads(out)["changes"]
        self.assertEqual(code, 1)
        removed = {"kind": "backend", "name": "three", "field": "", "before": "there", "after": None}
        self.assertIn(removed, output)

    def test_fields_that_this_version_does_not_use(self):
        code, out, _ = self.run_command(
            "config", "diff", self.file(DOCUMENT, "a"), self.file({**DOCUMENT, "later": 1}, "b")
        )
        self.assertEqual(code, 1)
        self.assertIn("fields that this version does not use", out)


class Status(Commands):
    def test_tables_for_people(self):
        member = self.member(lambda *_: (200, STATUS, {}))
        code, out, err = self.run_command("status", "--control", member.address)
        self.assertEqual((code, err), (0, ""))
        self.assertEqual(
            out.splitlines(),
            [
                f"asked {member.address} (leader, member 00ff), term 4, leader 00ff, commit 12, applied 11",
                "",
                "configuration 7, gateways 5, instances 3",
                "",
                "MEMBER  PEER ADDRESS   CONTROL        ZONE  ROLE     SILENT MS",
                "00ff    10.0.0.1:7660  10.0.0.1:8146  a     leader   0",
                "0010    10.0.0.1:7660  10.0.0.1:8146  a     learner  40",
                "",
                "BACKEND  STAGE   ZONE  STATE  INSTANCES",
                "one      decode  a     ready  3",
            ],
        )

    def test_every_instance(self):
        member = self.member(lambda *_: (200, STATUS, {}))
        _, out, _ = self.run_command("status", "--control", member.address, "--instances")
        self.assertIn("i-2       one      decode  a     10.0.1.2:80  ready", out)

    def test_json_is_the_members_own(self):
        member = self.member(lambda *_: (200, STATUS, {}))
        _, out, _ = self.run_command("status", "--control", member.address, "--json")
        self.assertEqual(json.loads(out), STATUS)

    def test_no_leader(self):
        for leader in ("", None):
            member = self.member(lambda *_, leader=leader: (200, {**STATUS, "leader": leader}, {}))
            code, out, _ = self.run_command("status", "--control", member.address)
            self.assertEqual(code, 1)
            self.assertIn("leader none", out)

    def test_what_is_missing_or_wrong_is_named(self):
        cases = [
            ("term", {key: value for key, value in STATUS.items() if key != "term"}),
            ("members", {**STATUS, "members": 3}),
            ("silence_ms", {**STATUS, "members": [{**MEMBER, "silence_ms": "long"}]}),
            (
                "stage",
                {
                    **STATUS,
                    "instances": [{"id": "i", "backend": "b", "address": "", "zone": "", "state": ""}],
                },
            ),
        ]
        for name, document in cases:
            member = self.member(lambda *_, document=document: (200, document, {}))
            code, _, err = self.run_command("status", "--control", member.address)
            with self.subTest(name):
                self.assertEqual(code, 4)
                self.assertIn("FLEET_ANSWER", err)
        self.assertIn("stage is missing", err)


class Drain(Commands):
    def test_it_is_acknowledged(self):
        member = self.member(lambda *_: (200, {}, {}))
        code, out, _ = self.run_command("drain", "i-7/a", "--control", member.address)
        self.assertEqual(code, 0)
        self.assertIn("i-7/a drains", out)
        self.assertEqual(member.calls[0][:2], ("POST", "/mallowbeam/instances/i-7%2Fa/drain"))

    def test_an_instance_that_is_not_known(self):
        member = self.member(lambda *_: (404, {}, {}))
        code, _, err = self.run_command("drain", "i-7", "--control", member.address)
        self.assertEqual(code, 3)
        self.assertIn("no instance i-7", err)


class Arguments(Commands):
    def test_addresses_that_are_none(self):
        for text in ("", ",", "10.0.0.1", "10.0.0.1:x", ":80", "10.0.0.1:70000"):
            code, _, err = self.run_command("status", "--control", text)
            with self.subTest(text):
                self.assertEqual(code, 2)
                self.assertIn("FLEET_ADDRESS", err)

    def test_wrong_arguments(self):
        for arguments in (("config", "put", "x"), ("nothing",), ("status", "--what")):
            code, _, err = self.run_command(*arguments)
            with self.subTest(arguments):
                self.assertEqual(code, 2)
                self.assertIn("usage:", err)

    def test_help_has_the_exit_codes_and_an_example_for_each_command(self):
        code, out, _ = self.run_command("--help")
        self.assertEqual(code, 0)
        for number in range(6):
            self.assertIn(f"\n  {number}  ", out)
        below_config = (("config", name) for name in ("check", "put", "patch", "get", "diff"))
        for command in (*below_config, ("status",), ("drain",)):
            code, out, _ = self.run_command(*command, "--help")
            with self.subTest(command):
                self.assertEqual(code, 0)
                self.assertIn(f"Example: python -m mallowbeam fleet {' '.join(command)} ", out)

    def test_it_is_reached_from_the_program(self):
        environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
        command = [sys.executable, "-m", "mallowbeam", "fleet", "config", "check", self.file(DOCUMENT)]
        ended = subprocess.run(
            command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=30, check=False
        )
        self.assertEqual((ended.returncode, ended.stderr), (0, ""))
        self.assertIn("valid, revision 7", ended.stdout)


if __name__ == "__main__":
    unittest.main()
