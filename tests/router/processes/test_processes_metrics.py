"""The metrics page of a role."""

from __future__ import annotations

import asyncio
import unittest

from mallowbeam.http.framing import Message
from mallowbeam.http.handler import Response
from mallowbeam.router.processes.metrics import Metric, MetricsHandler, exposition
from mallowbeam.router.processes.settings import MetricsPage, SettingsFieldError, parse_settings
from mallowbeam.simulation.fleet_processes import ApiCall, message_of

SETTINGS: dict[str, object] = {
    "node_name": "n",
    "role": "data-plane",
    "machine_class": "edge",
    "ip": "10.1.0.1",
    "zone": "z",
    "region": "r",
    "port_range": [7000, 7010],
}


class Text(unittest.TestCase):
    def test_samples_of_one_name_are_grouped(self) -> None:
        text = exposition(
            [
                Metric("requests_total", 3, "Requests.", "counter", ("status", "200")),
                Metric("ready", 1, "Ready."),
                Metric("requests_total", 1, "Requests.", "counter", ("status", 'a"b\\c\n')),
            ]
        ).decode()
        self.assertEqual(
            text,
            (
                "# HELP requests_total Requests.\n# TYPE requests_total counter\n"
                'requests_total{status="200"} 3\nrequests_total{status="a\\"b\\\\c\\n"} 1\n'
                "# HELP ready Ready.\n# TYPE ready gauge\nready 1\n"
            ),
        )


class Page(unittest.TestCase):
    def ask(self, method: str, target: str) -> Response:
        handler = MetricsHandler(b"/figures", lambda: [Metric("ready", 1, "Ready.")])
        message: Message = message_of(ApiCall(method, target), 1.0)
        return asyncio.run(handler.handle(message, lambda: False))

    def test_statuses(self) -> None:
        self.assertEqual(self.ask("GET", "/figures").status, 200)
        self.assertEqual(self.ask("GET", "/figures?x=1").status, 200)
        self.assertEqual(self.ask("POST", "/figures").status, 405)
        self.assertEqual(self.ask("GET", "/other").status, 404)


class Settings(unittest.TestCase):
    def test_off_unless_configured(self) -> None:
        self.assertIsNone(parse_settings(SETTINGS).metrics)
        self.assertIsNone(parse_settings({**SETTINGS, "metrics": ""}).metrics)

    def test_port_and_path(self) -> None:
        settings = parse_settings({**SETTINGS, "metrics": "9464/a/b"})
        self.assertEqual(settings.metrics, MetricsPage(9464, "/a/b"))

    def test_invalid_values_are_rejected(self) -> None:
        for value in ("9464", "/x", "0/x", "70000/x", "x/y", 3):
            with self.subTest(value), self.assertRaises(SettingsFieldError) as caught:
                parse_settings({**SETTINGS, "metrics": value})
            self.assertEqual(caught.exception.where, "metrics")


if __name__ == "__main__":
    unittest.main()
