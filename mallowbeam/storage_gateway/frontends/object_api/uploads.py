"""Multipart upload ids: the client's id encodes the home shard and the node's own id."""

from __future__ import annotations

import base64
import binascii
from xml.etree.ElementTree import ParseError, register_namespace, tostring

from defusedxml import DefusedXmlException
from defusedxml.ElementTree import fromstring

from mallowbeam.storage_gateway.frontends.object_api.errors import S3Error

register_namespace("", "http://s3.amazonaws.com/doc/2006-03-01/")


def encode_upload_id(shard: int, node_upload_id: str) -> str:
    """Return the client's upload id for a shard and the node's own upload id."""
    return f"1.{shard}." + base64.urlsafe_b64encode(node_upload_id.encode()).decode().rstrip("=")


def decode_upload_id(upload_id: str) -> tuple[int, str]:
    """Return the shard and the node's upload id from a client's upload id; raises `S3Error`."""
    version, _, rest = upload_id.partition(".")
    shard, _, text = rest.partition(".")
    try:
        if version != "1" or not shard.isascii() or not shard.isdigit() or len(shard) > 9 or not text:
            raise ValueError
        node_upload_id = base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
        return int(shard), node_upload_id.decode()
    except (ValueError, binascii.Error):
        raise S3Error("NoSuchUpload") from None


def replace_upload_id(body: bytes, client_upload_id: str | None, shard: int) -> bytes:
    """Return a node's document with its upload id replaced by the client's; raises `S3Error`."""
    try:
        root = fromstring(body)
        element = next(e for e in root.iter() if e.tag.rpartition("}")[2] == "UploadId")
    except (ParseError, DefusedXmlException, StopIteration):
        raise S3Error("InternalError") from None
    element.text = client_upload_id or encode_upload_id(shard, element.text or "")
    return bytes(tostring(root, encoding="UTF-8", xml_declaration=True))
