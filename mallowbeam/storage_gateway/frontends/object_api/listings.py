"""Bucket listings: a k-way merge of the sorted lists of a bucket's nodes into pages.

No I/O.  Each node lists its own names sorted (by their UTF-8 bytes, as S3 does).  A page requests an even
share and a little more from each node, and further names only from a node whose names run out before the page
is full, so that memory is bound by the page size however large the bucket is.  Names in the write-back buffer
override those of the nodes.
"""

from __future__ import annotations

import base64
import json
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple
from urllib.parse import quote, unquote
from xml.etree.ElementTree import Element, ParseError, SubElement, tostring
from zlib import crc32

from defusedxml import DefusedXmlException
from defusedxml.ElementTree import fromstring

from mallowbeam.storage_gateway.frontends.object_api.errors import S3Error

NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"
MAX_PAGE_NAMES = 1000  # names on a page
MIN_NODE_NAMES = 16  # names requested from a node at once, unless the page needs fewer
NODE_SHARE_FACTOR = 1.25  # requested multiple of a node's even share, as names spread only roughly evenly
AFTER_PREFIX = "\U0010ffff" * 4  # appended to a prefix, sorts after practically every name with that prefix


class Item(NamedTuple):
    """An entry of a page: an object, or a common prefix if `size` is None."""

    name: str
    size: int | None = None
    etag: str = ""
    modified: str = ""

    @property
    def sort_key(self) -> bytes:
        """The sort key."""
        return self.name.encode("utf-8", "surrogateescape")


class NodeRequest(NamedTuple):
    """A request for a node's next names."""

    shard: int
    after: str  # exclusive
    token: str  # the node's own continuation token, which takes precedence over `after`
    limit: int


@dataclass(slots=True)
class NodeCursor:
    """The merge's state of one node's list."""

    items: deque[Item] = field(default_factory=deque)
    token: str = ""
    after: str = ""
    more: bool = True  # whether the node may have further names


@dataclass(slots=True, frozen=True)
class Query:
    """A client's listing request."""

    bucket: str
    prefix: str = ""
    delimiter: str = ""
    after: str = ""  # exclusive start
    limit: int = MAX_PAGE_NAMES
    is_v2: bool = True  # ListObjectsV2
    percent_encoded: bool = False  # whether names are percent-encoded in the answer
    echoed: tuple[tuple[str, str], ...] = ()  # request parameters that the answer repeats

    @classmethod
    def parse(cls, bucket: str, query: Mapping[str, str]) -> Query:
        """Parse the query parameters of a listing request; raises `S3Error`."""
        page_size, is_v2 = query.get("max-keys", str(MAX_PAGE_NAMES)), query.get("list-type") == "2"
        if not (page_size.isascii() and page_size.isdigit() and len(page_size) < 10):
            raise S3Error("InvalidArgument")
        if query.get("encoding-type", "url") != "url" or query.get("list-type", "2") != "2":
            raise S3Error("InvalidArgument")
        prefix, delimiter = query.get("prefix", ""), query.get("delimiter", "")
        token = query.get("continuation-token")
        if is_v2 and token is not None:
            after = decode_token(token, bucket, prefix, delimiter)
        else:
            after = query.get("start-after" if is_v2 else "marker", "")
        try:
            (prefix + delimiter + after).encode()
        except UnicodeEncodeError:  # names are UTF-8
            raise S3Error("InvalidArgument") from None
        names = ("continuation-token", "start-after") if is_v2 else ("marker",)
        return cls(
            bucket,
            prefix,
            delimiter,
            after,
            min(MAX_PAGE_NAMES, int(page_size)),
            is_v2,
            "encoding-type" in query,
            tuple((name, query[name]) for name in names if name in query),
        )


def encode_token(last: str, bucket: str, prefix: str, delimiter: str) -> str:
    """Return a continuation token: opaque to clients and bound to their bucket, prefix and delimiter."""
    checksum = crc32(json.dumps([bucket, prefix, delimiter]).encode())
    return base64.urlsafe_b64encode(json.dumps([1, checksum, last]).encode()).decode()


def decode_token(token: str, bucket: str, prefix: str, delimiter: str) -> str:
    """Return the last name in a token; raises `S3Error` for one that is invalid or of another listing."""
    try:
        version, checksum, last = json.loads(base64.b64decode(token.encode(), altchars=b"-_", validate=True))
    except (ValueError, TypeError, RecursionError):
        raise S3Error("InvalidArgument") from None
    expected = crc32(json.dumps([bucket, prefix, delimiter]).encode())
    if version != 1 or checksum != expected or not isinstance(last, str):
        raise S3Error("InvalidArgument")
    return last


class Merge:
    """Merges one page of a bucket from the lists of its shards."""

    def __init__(self, query: Query, shards: int, overlay: Mapping[str, Item | None] | None = None) -> None:
        self.query, self.shards = query, shards
        # One more than the page holds, to know whether any name follows.
        self.wanted = query.limit + 1 if query.limit else 0
        self.cursors = [
            NodeCursor(after=start_after(query.after, query.delimiter, query.prefix)) for _ in range(shards)
        ]
        self.overlay = dict(overlay or {})
        self.items: list[Item] = []  # the page, in order
        self.complete = not self.wanted
        self.requested_names = 0  # names requested from nodes
        self._overlay_items = deque(
            sorted(
                {
                    grouped(item, query)
                    for name, item in self.overlay.items()
                    if item is not None and name.startswith(query.prefix)
                },
                key=lambda item: item.sort_key,
            )
        )

    def next_requests(self) -> list[NodeRequest]:
        """Return the requests needed to continue the page; empty if the page is complete."""
        self._merge()
        if self.complete:
            return []
        remaining = self.wanted - len(self.items)
        count = max(
            min(MIN_NODE_NAMES, remaining),
            min(remaining, int(remaining / self.shards * NODE_SHARE_FACTOR) + 1),
        )
        requests = [
            NodeRequest(shard, cursor.after, cursor.token, count)
            for shard, cursor in enumerate(self.cursors)
            if cursor.more and not cursor.items
        ]
        self.requested_names += count * len(requests)
        return requests

    def feed(self, shard: int, items: list[Item], token: str, more: bool) -> None:
        """Add a node's next names; raises `S3Error` if they are out of order or no progress is made.

        Args:
            shard: The node's shard.
            items: Its names, sorted.
            token: The node's continuation token, if any.
            more: Whether the node has further names.
        """
        cursor = self.cursors[shard]
        before = cursor.after.encode("utf-8", "surrogateescape")
        for item in items:
            # A node that violates the order would break the order of the page.
            if item.sort_key < before:
                raise S3Error("InternalError")
            before = item.sort_key
            if item.name not in self.overlay:
                cursor.items.append(item)
        if items:
            cursor.after = items[-1].name
        elif more:
            raise S3Error("InternalError")  # an empty list that claims to continue would never end
        cursor.token, cursor.more = token, more

    def _merge(self) -> None:
        """Merge names into the page for as long as the next name of every node is known."""
        while not self.complete:
            heads = []
            for cursor in self.cursors:
                if cursor.items:
                    heads.append((cursor.items[0].sort_key, cursor.items))
                elif cursor.more:
                    return  # its next name may sort first
            if self._overlay_items:
                heads.append((self._overlay_items[0].sort_key, self._overlay_items))
            if not heads:
                self.complete = True
                return
            item = min(heads, key=lambda head: head[0])[1].popleft()
            if self._sorts_after_last(item) and len(self.items) < self.wanted:
                self.items.append(item)
            self.complete = len(self.items) >= self.wanted

    def _sorts_after_last(self, item: Item) -> bool:
        """Whether a name sorts after the last one, which drops a common prefix listed by several nodes."""
        last = self.items[-1].name if self.items else self.query.after
        return item.sort_key > last.encode("utf-8", "surrogateescape")

    @property
    def truncated(self) -> bool:
        """Whether names follow the page."""
        return len(self.items) > self.query.limit > 0

    def page(self) -> bytes:
        """Return the page as S3's XML document."""
        query, items = self.query, self.items[: self.query.limit]

        def encode(text: str) -> str:
            return quote(text, safe="/", errors="surrogateescape") if query.percent_encoded else text

        root = Element("ListBucketResult", xmlns=NAMESPACE)
        add_element(root, "Name", query.bucket)
        add_element(root, "Prefix", encode(query.prefix))
        if query.delimiter:
            add_element(root, "Delimiter", encode(query.delimiter))
        if query.percent_encoded:
            add_element(root, "EncodingType", "url")
        add_element(root, "MaxKeys", str(query.limit))
        add_element(root, "IsTruncated", "true" if self.truncated else "false")
        tags = {"continuation-token": "ContinuationToken", "start-after": "StartAfter", "marker": "Marker"}
        for name, value in query.echoed:
            add_element(root, tags[name], value if name == "continuation-token" else encode(value))
        if query.is_v2:
            add_element(root, "KeyCount", str(len(items)))
        if self.truncated:
            last = items[-1].name
            if query.is_v2:
                add_element(
                    root,
                    "NextContinuationToken",
                    encode_token(last, query.bucket, query.prefix, query.delimiter),
                )
            else:
                add_element(root, "NextMarker", encode(last))
        for item in items:
            if item.size is None:
                add_element(SubElement(root, "CommonPrefixes"), "Prefix", encode(item.name))
                continue
            entry = SubElement(root, "Contents")
            for tag, value in (
                ("Key", encode(item.name)),
                ("LastModified", item.modified),
                ("ETag", item.etag),
                ("Size", str(item.size)),
                ("StorageClass", "STANDARD"),
            ):
                add_element(entry, tag, value)
        return bytes(tostring(root, encoding="UTF-8", xml_declaration=True))


def add_element(parent: Element, tag: str, text: str) -> None:
    """Append an element with text; bytes that are not UTF-8, which older names may have, become `?`."""
    SubElement(parent, tag).text = text.encode("utf-8", "replace").decode()


def grouped(item: Item, query: Query) -> Item:
    """Return an item as the page lists it: itself, or the common prefix that it falls under."""
    if query.delimiter:
        index = item.name.find(query.delimiter, len(query.prefix))
        if index >= 0:
            return Item(item.name[: index + len(query.delimiter)])
    return item


def start_after(after: str, delimiter: str, prefix: str) -> str:
    """Return where nodes continue after a name; after a common prefix, past every name under it."""
    if delimiter and after.endswith(delimiter) and len(after) > len(prefix) and after.startswith(prefix):
        return after + AFTER_PREFIX
    return after


def listing_target(query: Query, node_request: NodeRequest) -> bytes:
    """Return the target of the listing request to a node."""
    parameters = {
        "list-type": "2",
        "encoding-type": "url",
        "max-keys": str(node_request.limit),
        "prefix": query.prefix,
        "delimiter": query.delimiter,
    }
    parameters["continuation-token" if node_request.token else "start-after"] = (
        node_request.token or node_request.after
    )
    text = "&".join(
        f"{name}={quote(value, safe='', errors='surrogateescape')}"
        for name, value in parameters.items()
        if value
    )
    return b"/" + query.bucket.encode() + b"?" + text.encode()


def parse_node_listing(body: bytes) -> tuple[list[Item], str, bool]:
    """Parse a node's listing into its sorted names, its token and whether more follow; raises `S3Error`."""
    items, token, more = [], "", False
    try:
        for element in fromstring(body):
            match element.tag.rpartition("}")[2]:
                case "Contents":
                    fields = {child.tag.rpartition("}")[2]: child.text or "" for child in element}
                    items.append(
                        Item(
                            unquote(fields["Key"], errors="surrogateescape"),
                            int(fields["Size"]),
                            fields.get("ETag", ""),
                            fields.get("LastModified", ""),
                        )
                    )
                case "CommonPrefixes":
                    items.append(Item(unquote(element[0].text or "", errors="surrogateescape")))
                case "IsTruncated":
                    more = element.text == "true"
                case "NextContinuationToken":
                    token = element.text or ""
    except (ParseError, DefusedXmlException, KeyError, ValueError, IndexError):
        raise S3Error("InternalError") from None
    return sorted(items, key=lambda item: item.sort_key), token, more
