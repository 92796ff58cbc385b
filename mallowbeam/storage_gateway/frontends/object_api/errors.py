"""S3's errors: codes, statuses, messages and the error document."""

from __future__ import annotations

import math
from xml.sax.saxutils import escape

from mallowbeam.errors import MallowbeamError
from mallowbeam.http.framing import Headers

# S3's error codes with status and message.  The first code of a status is used if only the status is known.
ERRORS = {
    "InvalidRequest": (400, "Invalid request."),
    "EntityTooLarge": (413, "Your proposed upload exceeds the maximum allowed size."),
    "InternalError": (500, "We encountered an internal error. Please try again."),
    "BadDigest": (400, "The digest you specified did not match what we received."),
    "IncompleteBody": (400, "You did not provide the number of bytes specified by Content-Length."),
    "XAmzContentSHA256Mismatch": (400, "The provided x-amz-content-sha256 does not match what we received."),
    "InvalidArgument": (400, "Invalid argument."),
    "AccessDenied": (403, "Access Denied"),
    "AuthorizationHeaderMalformed": (400, "The authorization header that you provided is not valid."),
    "AuthorizationQueryParametersError": (400, "The query-string authentication parameters are not valid."),
    "InvalidAccessKeyId": (403, "The access key ID that you provided does not exist in our records."),
    "RequestTimeTooSkewed": (403, "The difference between the request time and the server's is too large."),
    "SignatureDoesNotMatch": (403, "The request signature that we calculated does not match yours."),
    "InvalidBucketName": (400, "The specified bucket is not valid."),
    "InvalidRange": (416, "The requested range is not satisfiable."),
    "InvalidURI": (400, "Couldn't parse the specified URI."),
    "KeyTooLongError": (400, "Your key is too long."),
    "MalformedXML": (400, "The XML that you provided is not well-formed or not what this call takes."),
    "MethodNotAllowed": (405, "The specified method is not allowed against this resource."),
    "MissingContentLength": (411, "You must provide the Content-Length HTTP header."),
    "NoSuchKey": (404, "The specified key does not exist."),
    "NoSuchBarrier": (404, "There is no barrier of that number."),
    "NoSuchUpload": (404, "The specified multipart upload does not exist."),
    "NotImplemented": (501, "A header or query you provided implies functionality that is not implemented."),
    "PreconditionFailed": (412, "At least one of the preconditions you specified did not hold."),
    "RequestHeaderSectionTooLarge": (431, "Your request header section exceeds the maximum allowed size."),
    "RequestTimeout": (408, "Your request was not read within the timeout period."),
    "SlowDown": (503, "Please reduce your request rate."),
}
CODE_BY_STATUS = {status: code for code, (status, _) in reversed(ERRORS.items())}


class S3Error(MallowbeamError):
    """An S3 error that the gateway itself returns to the client."""

    error_name = "Error"
    remedy = "the code says what the client has to change; SlowDown is repeated after its Retry-After"

    def __init__(self, code: str, headers: Headers | None = None) -> None:
        super().__init__(code, code=code)
        self.headers = headers or []


def error_body(code: str, target: bytes, request_id: str) -> bytes:
    """Return S3's error document."""
    resource = escape(target.partition(b"?")[0].decode("latin-1"))
    return (
        f'<?xml version="1.0" encoding="UTF-8"?>\n<Error><Code>{code}</Code><Message>{ERRORS[code][1]}'
        f"</Message><Resource>{resource}</Resource><RequestId>{escape(request_id)}</RequestId>"
        "</Error>"
    ).encode()


def slow_down(seconds: float | None = None) -> S3Error:
    """Return a SlowDown error; Retry-After is rounded up, as S3 clients expect whole seconds."""
    return S3Error("SlowDown", [(b"retry-after", b"%d" % max(1, math.ceil(seconds or 0)))])
