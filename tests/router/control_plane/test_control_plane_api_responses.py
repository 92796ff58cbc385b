"""Error responses of the control API."""

from __future__ import annotations

import json
import unittest

from mallowbeam.router.control_plane.api_errors import NothingProposedError
from mallowbeam.router.control_plane.api_responses import error_reply


class ErrorResponses(unittest.TestCase):
    def test_an_error_states_what_where_and_the_remedy(self) -> None:
        reply = error_reply(503, NothingProposedError("no leader"), True)
        head, _, body = reply.data.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"retry-after: ", head)
        self.assertEqual(json.loads(body)["error"]["code"], "CONTROL_NO_LEADER")
        self.assertEqual(set(json.loads(body)["error"]), {"code", "where", "what", "remedy"})


if __name__ == "__main__":
    unittest.main()
