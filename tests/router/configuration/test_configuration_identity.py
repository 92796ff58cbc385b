"""Which bodies count as the same change; a document is read back as it was sent."""

from __future__ import annotations

import json
import unittest

from configuration_documents import body_of, document

from mallowbeam.router.configuration.errors import ConfigurationError
from mallowbeam.router.configuration.parsing import ConfigurationParser, parse_configuration
from mallowbeam.router.configuration.versions import ConfigurationVersions, put_command
from mallowbeam.router.rpc.messages_pb2 import ALREADY_DONE, DONE, REVISION_NOT_ABOVE, VERSION_MISMATCH

TEXT = body_of({**document(), "note": "a/b", "size": 100.0, "parts": [1, 2]}).decode()


def replaced(old: str, new: str) -> bytes:
    """The document's text with one part replaced."""
    assert old in TEXT, old
    return TEXT.replace(old, new, 1).encode()


DIGEST = "46fd58bae2f78af18b316f656cebc0a9"  # of `CanonicalForm.CANONICAL` in a document

SAME = {  # the same JSON value in another notation
    "white space": json.dumps(json.loads(TEXT), indent=3).encode(),
    "order of keys": json.dumps(dict(reversed(json.loads(TEXT).items()))).encode(),
    "escapes": replaced('"a/b"', '"\\u0061\\/b"'),
    "form of a fraction": replaced("100.0", "1E2"),
    "an earlier value of a key that comes twice": replaced('"parts": [1, 2]', '"parts": 7, "parts": [1, 2]'),
}
OTHER = {  # another JSON value, or an integer in the notation of a fraction
    "a field that is not known": replaced('"note"', '"later": null, "note"'),
    "a field that is not known, in a route": replaced('"hostname"', '"later": 1, "hostname"'),
    "its value": replaced('"a/b"', '"a/c"'),
    "order of a list": replaced("[1, 2]", "[2, 1]"),
    "order of the routes": body_of({**json.loads(TEXT), "routes": json.loads(TEXT)["routes"][::-1]}),
    "a default that is given": replaced('"max_retries": 1', '"max_retries": 1, "later_default": false'),
    "a whole number as a fraction": replaced("100.0", "100"),
    "a time-out as a fraction": replaced('"timeout_ms": 2500', '"timeout_ms": 2500.0'),
    "a revision as a fraction": replaced('"revision": 7', '"revision": 7.0'),
    "case of a host": replaced("alpha.example", "ALPHA.example"),
    "a letter that looks alike": replaced('"a/b"', '"\u0430/b"'),
    "a composed letter": replaced('"a/b"', '"\u00e4"'),
    "a decomposed letter": replaced('"a/b"', '"a\u0308"'),
    "a large whole number": replaced("100.0", "123456789012345678901234567890"),
    "its neighbour": replaced("100.0", "123456789012345678901234567891"),
}


class Identity(unittest.TestCase):
    """One digest for one change."""

    def test_the_same_value_is_one_change(self) -> None:
        digest = parse_configuration(TEXT.encode()).digest
        for name, body in SAME.items():
            with self.subTest(name):
                self.assertNotEqual(body, TEXT.encode())
                self.assertEqual(parse_configuration(body).digest, digest)

    def test_another_value_is_another_change(self) -> None:
        digests = {parse_configuration(body).digest for body in (TEXT.encode(), *OTHER.values())}
        self.assertEqual(len(digests), 1 + len(OTHER))

    def test_the_same_value_is_acknowledged_again_and_another_one_rejected(self) -> None:
        versions, parser = ConfigurationVersions(), ConfigurationParser()
        self.assertEqual(versions.apply(put_command(parser.parse(TEXT.encode()), 0)), DONE)
        for name, body in SAME.items():
            with self.subTest(name):
                self.assertEqual(versions.apply(put_command(parser.parse(body), 0)), ALREADY_DONE)
        for name, body in OTHER.items():
            with self.subTest(name):
                self.assertEqual(versions.apply(put_command(parser.parse(body), 0)), VERSION_MISMATCH)
                self.assertEqual(versions.apply(put_command(parser.parse(body), 7)), REVISION_NOT_ABOVE)

    def test_what_is_read_back_is_what_was_sent(self) -> None:
        for name, body in {**SAME, **OTHER}.items():
            with self.subTest(name):
                versions = ConfigurationVersions()
                versions.apply(put_command(parse_configuration(body), 0))
                self.assertEqual(json.loads(versions.current_body()), json.loads(body))


class CanonicalForm(unittest.TestCase):
    """Digests are stored in logs and snapshots; a changed canonical form would make them unknown."""

    FIELDS = r"""{"z": [1E22, 1e-7, 0.1, 100.0, -0.0, 5e-324, 12345678901234567890, true, null],
        "\u00e4": "\u0007 \" \\ \/ \u2028 \ud83d\ude00 \u007f", "a": {"b": 1, "B": 2}}"""
    CANONICAL = (
        '{"a":{"B":2,"b":1},"z":[1e22,1e-7,0.1,100.0,-0.0,5e-324,12345678901234567890,true,null],'
        '"\u00e4":"\\u0007 \\" \\\\ / \u2028 \U0001f600 \x7f"}'
    )

    def test_canonical_form_is_stable(self) -> None:
        body = b'{"revision": 7, "backends": [], "routes": [], "x": ' + self.FIELDS.encode() + b"}"
        parsed = parse_configuration(body)
        expected = f'{{"backends":[],"revision":7,"routes":[],"x":{self.CANONICAL}}}'
        self.assertEqual(parsed.canonical.decode(), expected)
        self.assertEqual(parsed.digest.hex(), DIGEST)


class OneParser(unittest.TestCase):
    """Every member rejects the same documents before they are proposed, whatever it has parsed before."""

    def test_result_does_not_depend_on_earlier_parses(self) -> None:
        no_timeout = replaced('"timeout_ms": 2500', '"timeout_ms": 0')
        no_service = replaced('"backend": "models"', '"backend": "none"')
        invalid = [no_timeout, no_service, TEXT[:-1].encode()]
        bodies = [TEXT.encode(), *SAME.values(), *OTHER.values(), *invalid]
        for first in bodies:
            used = ConfigurationParser()
            outcome(used, first)
            for body in bodies:
                self.assertEqual(outcome(used, body), outcome(ConfigurationParser(), body))


def outcome(parser: ConfigurationParser, body: bytes) -> object:
    """The result of parsing a body: the configuration, or the error's code and path."""
    try:
        return parser.parse(body)
    except ConfigurationError as error:
        return error.code, error.where


if __name__ == "__main__":
    unittest.main()
