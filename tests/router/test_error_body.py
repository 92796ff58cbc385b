"""The JSON error body of the control API, as a member writes it and the command line reads it."""

from __future__ import annotations

import json

import pytest

from mallowbeam.errors import MallowbeamError
from mallowbeam.router.error_body import ErrorBody


class CodedError(MallowbeamError):
    """An error with a code."""

    code = "TEST_CODED"
    remedy = "change it"


class UncodedError(MallowbeamError):
    """An error without a code."""


def test_fields_are_written_in_a_fixed_order():
    body = ErrorBody.from_error(CodedError("is wrong", "routes[3]"))
    expected = '{"code": "TEST_CODED", "where": "routes[3]", "what": "is wrong", "remedy": "change it"}'
    assert json.dumps(body.fields()) == expected


def test_error_without_a_code_is_identified_by_its_class():
    assert ErrorBody.from_error(UncodedError("is wrong")).code == "UncodedError"


def test_written_body_is_read_back():
    body = ErrorBody.from_error(CodedError("is wrong", "routes[3]"))
    assert ErrorBody.parse(json.dumps({"error": body.fields(), "members": []}).encode()) == body
    assert body.line == "TEST_CODED routes[3] is wrong (change it)"


@pytest.mark.parametrize(
    "body", [b"", b"no JSON", b"[]", b'{"error": "text"}', b'{"error": {"code": "A"}}', b"7"]
)
def test_other_bodies_are_not_errors(body):
    assert ErrorBody.parse(body) is None
