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

from mallowbeam.storage_gateway.frontends.object_api.errors import Error

NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"
MOST_KEYS = 1000  # names on a page
LEAST_ASKED = 16  # names requested from a node at once, unless the page needs fewer
EXTRA = 1.25  # requested multiple of a node's even share, as names spread only roughly evenly
LAST = "\U0010ffff" * 4  # appended to a prefix, sorts after practically every name with that prefix


class Item(NamedTuple):
    """An entry of a page: an object, or a common prefix if `size` is None."""

    name: str
    size: int | None = None
    etag: str = ""
    modified: str = ""

    @property
    def order(self) -> bytes:
        """The sort key."""
        return self.name.encode("utf-8", "surrogateescape")


class Ask(NamedTuple):
    """A request for a node's next names."""

    shard: int
    after: str  # exclusive
    token: str  # the node's own continuation token, which takes precedence over `after`
    most: int


@dataclass(slots=True)
class Part:
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
    most: int = MOST_KEYS
    second: bool = True  # ListObjectsV2
    encoded: bool = False  # whether names are percent-encoded in the answer
    told: tuple[tuple[str, str], ...] = ()  # request parameters that the answer repeats

    @classmethod
    def read(cls, bucket: str, query: Mapping[str, str]) -> Query:
        """Parse the query parameters of a listing request; raises `Error`."""
        most, second = query.get("max-keys", str(MOST_KEYS)), query.get("list-type") == "2"
        if not (most.isascii() and most.isdigit() and len(most) < 10):
            raise Error("InvalidArgument")
        if query.get("encoding-type", "url") != "url" or query.get("list-type", "2") != "2":
            raise Error("InvalidArgument")
        prefix, delimiter = query.get("prefix", ""), query.get("delimiter", "")
        token = query.get("continuation-token")
        if second and token is not None:
            after = open_token(token, bucket, prefix, delimiter)
        else:
            after = query.get("start-after" if second else "marker", "")
        try:
            (prefix + delimiter + after).encode()
        except UnicodeEncodeError:  # names are UTF-8
            raise Error("InvalidArgument") from None
        names = ("continuation-token", "start-after") if second else ("marker",)
        return cls(
            bucket,
            prefix,
            delimiter,
            after,
            min(MOST_KEYS, int(most)),
            second,
            "encoding-type" in query,
            tuple((name, query[name]) for name in names if name in query),
        )


def seal_token(last: str, bucket: str, prefix: str, delimiter: str) -> str:
    """Return a continuation token: opaque to clients and bound to their bucket, prefix and delimiter."""
    tied = crc32(json.dumps([bucket, prefix, delimiter]).encode())
    return base64.urlsafe_b64encode(json.dumps([1, tied, last]).encode()).decode()


def open_token(token: str, bucket: str, prefix: str, delimiter: str) -> str:
    """Return the last name in a token; raises `Error` for one that is invalid or of another listing."""
    try:
        version, tied, last = json.loads(base64.b64decode(token.encode(), altchars=b"-_", validate=True))
    except (ValueError, TypeError, RecursionError):
        raise Error("InvalidArgument") from None
    wanted = crc32(json.dumps([bucket, prefix, delimiter]).encode())
    if version != 1 or tied != wanted or not isinstance(last, str):
        raise Error("InvalidArgument")
    return last


class Merge:
    """Merges one page of a bucket from the lists of its shards."""

    def __init__(self, query: Query, shards: int, overlay: Mapping[str, Item | None] | None = None) -> None:
        self.query, self.shards = query, shards
        # One more than the page holds, to know whether any name follows.
        self.want = query.most + 1 if query.most else 0
        self.parts = [Part(after=skip(query.after, query.delimiter, query.prefix)) for _ in range(shards)]
        self.overlay = dict(overlay or {})
        self.items: list[Item] = []  # the page, in order
        self.over = not self.want
        self.asked = 0  # names requested from nodes
        self._laid = deque(
            sorted(
                {
                    rolled(item, query)
                    for name, item in self.overlay.items()
                    if item is not None and name.startswith(query.prefix)
                },
                key=lambda item: item.order,
            )
        )

    def needs(self) -> list[Ask]:
        """Return the requests needed to continue the page; empty if the page is complete."""
        self._merge()
        if self.over:
            return []
        left = self.want - len(self.items)
        count = max(min(LEAST_ASKED, left), min(left, int(left / self.shards * EXTRA) + 1))
        asks = [
            Ask(shard, part.after, part.token, count)
            for shard, part in enumerate(self.parts)
            if part.more and not part.items
        ]
        self.asked += count * len(asks)
        return asks

    def feed(self, shard: int, items: list[Item], token: str, more: bool) -> None:
        """Add a node's next names; raises `Error` if they are out of order or no progress is made.

        Args:
            shard: The node's shard.
            items: Its names, sorted.
            token: The node's continuation token, if any.
            more: Whether the node has further names.
        """
        part = self.parts[shard]
        before = part.after.encode("utf-8", "surrogateescape")
        for item in items:
            # A node that violates the order would break the order of the page.
            if item.order < before:
                raise Error("InternalError")
            before = item.order
            if item.name not in self.overlay:
                part.items.append(item)
        if items:
            part.after = items[-1].name
        elif more:
            raise Error("InternalError")  # an empty list that claims to continue would never end
        part.token, part.more = token, more

    def _merge(self) -> None:
        """Merge names into the page for as long as the next name of every node is known."""
        while not self.over:
            heads = []
            for part in self.parts:
                if part.items:
                    heads.append((part.items[0].order, part.items))
                elif part.more:
                    return  # its next name may sort first
            if self._laid:
                heads.append((self._laid[0].order, self._laid))
            if not heads:
                self.over = True
                return
            item = min(heads, key=lambda head: head[0])[1].popleft()
            if self._behind(item) and len(self.items) < self.want:
                self.items.append(item)
            self.over = len(self.items) >= self.want

    def _behind(self, item: Item) -> bool:
        """Whether a name sorts after the last one, which drops a common prefix listed by several nodes."""
        last = self.items[-1].name if self.items else self.query.after
        return item.order > last.encode("utf-8", "surrogateescape")

    @property
    def truncated(self) -> bool:
        """Whether names follow the page."""
        return len(self.items) > self.query.most > 0

    def page(self) -> bytes:
        """Return the page as S3's XML document."""
        query, items = self.query, self.items[: self.query.most]

        def word(text: str) -> str:
            return quote(text, safe="/", errors="surrogateescape") if query.encoded else text

        root = Element("ListBucketResult", xmlns=NAMESPACE)
        put(root, "Name", query.bucket)
        put(root, "Prefix", word(query.prefix))
        if query.delimiter:
            put(root, "Delimiter", word(query.delimiter))
        if query.encoded:
            put(root, "EncodingType", "url")
        put(root, "MaxKeys", str(query.most))
        put(root, "IsTruncated", "true" if self.truncated else "false")
        tags = {"continuation-token": "ContinuationToken", "start-after": "StartAfter", "marker": "Marker"}
        for name, value in query.told:
            put(root, tags[name], value if name == "continuation-token" else word(value))
        if query.second:
            put(root, "KeyCount", str(len(items)))
        if self.truncated:
            last = items[-1].name
            if query.second:
                put(
                    root,
                    "NextContinuationToken",
                    seal_token(last, query.bucket, query.prefix, query.delimiter),
                )
            else:
                put(root, "NextMarker", word(last))
        for item in items:
            if item.size is None:
                put(SubElement(root, "CommonPrefixes"), "Prefix", word(item.name))
                continue
            entry = SubElement(root, "Contents")
            for tag, value in (
                ("Key", word(item.name)),
                ("LastModified", item.modified),
                ("ETag", item.etag),
                ("Size", str(item.size)),
                ("StorageClass", "STANDARD"),
            ):
                put(entry, tag, value)
        return bytes(tostring(root, encoding="UTF-8", xml_declaration=True))


def put(parent: Element, tag: str, text: str) -> None:
    """Append an element with text; bytes that are not UTF-8, which older names may have, become `?`."""
    SubElement(parent, tag).text = text.encode("utf-8", "replace").decode()


def rolled(item: Item, query: Query) -> Item:
    """Return an item as the page lists it: itself, or the common prefix that it falls under."""
    if query.delimiter:
        at = item.name.find(query.delimiter, len(query.prefix))
        if at >= 0:
            return Item(item.name[: at + len(query.delimiter)])
    return item


def skip(after: str, delimiter: str, prefix: str) -> str:
    """Return where nodes continue after a name; after a common prefix, past every name under it."""
    if delimiter and after.endswith(delimiter) and len(after) > len(prefix) and after.startswith(prefix):
        return after + LAST
    return after


def target(query: Query, ask: Ask) -> bytes:
    """Return the target of the listing request to a node."""
    words = {
        "list-type": "2",
        "encoding-type": "url",
        "max-keys": str(ask.most),
        "prefix": query.prefix,
        "delimiter": query.delimiter,
    }
    words["continuation-token" if ask.token else "start-after"] = ask.token or ask.after
    text = "&".join(
        f"{name}={quote(value, safe='', errors='surrogateescape')}" for name, value in words.items() if value
    )
    return b"/" + query.bucket.encode() + b"?" + text.encode()


def read_part(body: bytes) -> tuple[list[Item], str, bool]:
    """Parse a node's listing into its sorted names, its token and whether more follow; raises `Error`."""
    items, token, more = [], "", False
    try:
        for element in fromstring(body):
            match element.tag.rpartition("}")[2]:
                case "Contents":
                    told = {child.tag.rpartition("}")[2]: child.text or "" for child in element}
                    items.append(
                        Item(
                            unquote(told["Key"], errors="surrogateescape"),
                            int(told["Size"]),
                            told.get("ETag", ""),
                            told.get("LastModified", ""),
                        )
                    )
                case "CommonPrefixes":
                    items.append(Item(unquote(element[0].text or "", errors="surrogateescape")))
                case "IsTruncated":
                    more = element.text == "true"
                case "NextContinuationToken":
                    token = element.text or ""
    except (ParseError, DefusedXmlException, KeyError, ValueError, IndexError):
        raise Error("InternalError") from None
    return sorted(items, key=lambda item: item.order), token, more
