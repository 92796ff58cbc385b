"""A check of lmdb's pages before lmdb maps the file.

lmdb trusts the pages that it maps: a damaged page number may end the process with a signal, and a damaged
list of free pages may let a later write overwrite pages in use.  A power loss causes neither (see `seal`),
but a faulty disk may.  The check reads every page that lmdb would read and verifies page numbers, kinds,
bounds, the order of keys, and that no free page is in use.  The records' checksums cover the values.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from typing import NamedTuple

from mallowbeam.router.consensus.storage.errors import StoreDamagedError
from mallowbeam.router.consensus.storage.seal import META_SLOTS, PAGE_BYTES

PAGE_HEADER = struct.Struct("<QHHHH")  # number, pad, flags, lower, upper
OVERFLOW_COUNT = struct.Struct("<I")  # in place of lower and upper: number of pages of an overflow value
OVERFLOW_COUNT_OFFSET = 12
NODE_HEADER = struct.Struct("<HHHH")  # size or child (low), (high), flags or child (top), key bytes
TREE_DESCRIPTOR = struct.Struct("<IHHQQQQQ")  # pad, flags, depth, branch, leaf, overflow pages, entries, root
PAGE_NUMBER = struct.Struct("<Q")

FREE_TREE_OFFSET = 40  # in a meta page
MAIN_TREE_OFFSET = 88
LAST_PAGE_OFFSET = 136

BRANCH = 1  # page flags
LEAF = 2
OVERFLOW = 4
PAGE_KIND_MASK = 0xF
BIG_DATA = 1  # node flag: the value is in overflow pages
EMPTY_ROOT = (1 << 64) - 1
MAX_TREE_DEPTH = 32  # limit of lmdb's cursors


@dataclass(frozen=True, slots=True)
class PageNumbers:
    """The page numbers of a file."""

    in_use: frozenset[int]  # meta pages and pages with content
    free: frozenset[int]  # available to later transactions


def check_pages(data: bytes, meta: bytes) -> PageNumbers:
    """Check the bytes of a store's file against the content of its valid meta page.

    Raises:
        StoreDamagedError: a page is damaged.
    """
    (last_page,) = PAGE_NUMBER.unpack_from(meta, LAST_PAGE_OFFSET)
    pages = _Pages(data, last_page)
    free_lists = _FreeTreeCheck(pages).check(meta, FREE_TREE_OFFSET)
    _TreeCheck(pages).check(meta, MAIN_TREE_OFFSET)
    in_use = frozenset(pages.used)
    for value in free_lists:
        pages.claim_free(value)
    return PageNumbers(in_use, frozenset(pages.used) - in_use)


@dataclass(slots=True)
class _Pages:
    """The file's bytes and the page numbers found so far, each of which may occur once."""

    data: bytes
    last_page: int
    used: set[int] = field(default_factory=lambda: set(META_SLOTS))

    def claim(self, number: int, count: int) -> None:
        """Claim pages that must lie within the file."""
        end = number + count
        within = end - 1 <= self.last_page and end * PAGE_BYTES <= len(self.data)
        _require(within, "page is beyond the end of the file", number)
        for page in range(number, end):
            _require(page not in self.used, "page is referenced twice", page)
            self.used.add(page)

    def claim_free(self, value: bytes) -> None:
        """Claim the pages in a value of the tree of free pages: a count and that many page numbers."""
        valid_size = len(value) >= PAGE_NUMBER.size and len(value) % PAGE_NUMBER.size == 0
        _require(valid_size, "malformed list of free pages", 0)
        count, *numbers = struct.unpack(f"<{len(value) // PAGE_NUMBER.size}Q", value)
        _require(count <= len(numbers), "malformed list of free pages", 0)
        for number in numbers[:count]:
            _require(number not in self.used and number <= self.last_page, "invalid free page", number)
            self.used.add(number)

    def claim_overflow(self, number: int, size: int) -> int:
        """Claim and check the overflow pages of a value of `size` bytes; return their count."""
        count = (PAGE_HEADER.size + size + PAGE_BYTES - 1) // PAGE_BYTES
        self.claim(number, count)
        start = number * PAGE_BYTES
        own_number, _pad, flags, _lower, _upper = PAGE_HEADER.unpack_from(self.data, start)
        (own_count,) = OVERFLOW_COUNT.unpack_from(self.data, start + OVERFLOW_COUNT_OFFSET)
        is_overflow = flags & PAGE_KIND_MASK == OVERFLOW
        _require(own_number == number and is_overflow, "invalid overflow page header", number)
        _require(own_count == count, "wrong number of overflow pages", number)
        return count

    def overflow_value(self, number: int, size: int) -> bytes:
        """Return a value of `size` bytes from its overflow pages."""
        start = number * PAGE_BYTES + PAGE_HEADER.size
        return self.data[start : start + size]


class _KeyRange(NamedTuple):
    """The keys allowed in a subtree: from `low` inclusive to `high` exclusive; None is unbounded."""

    low: bytes | None
    high: bytes | None


class _Page(NamedTuple):
    """A branch or leaf page."""

    number: int
    content: bytes
    offsets: tuple[int, ...]  # of its nodes


class _TreeCheck:
    """Walks one tree and compares its page and entry counts with those in the meta page."""

    def __init__(self, pages: _Pages) -> None:
        self._pages = pages
        self._depth = 0
        self._branch_pages = 0
        self._leaf_pages = 0
        self._overflow_pages = 0
        self._entries = 0
        self._last_key: bytes | None = None  # the greatest key so far

    def check(self, meta: bytes, offset: int) -> list[bytes]:
        """Check the tree whose description is at `offset`; return the values that were collected."""
        _pad, _flags, depth, branch, leaf, overflow, entries, root = TREE_DESCRIPTOR.unpack_from(meta, offset)
        self._depth = depth
        if root != EMPTY_ROOT:
            _require(0 < depth <= MAX_TREE_DEPTH, "invalid tree depth", root)
            self._check_page(root, 1, _KeyRange(None, None))
        found = (self._branch_pages, self._leaf_pages, self._overflow_pages, self._entries)
        _require(found == (branch, leaf, overflow, entries), "wrong page or entry counts", root)
        return self._collected()

    def _check_page(self, number: int, level: int, keys: _KeyRange) -> None:
        """Check a page and its subtree."""
        self._pages.claim(number, 1)
        page = self._read_page(number, LEAF if level == self._depth else BRANCH)
        if level == self._depth:
            self._leaf_pages += 1
            self._check_leaf(page, keys)
        else:
            self._branch_pages += 1
            self._check_branch(page, level, keys)

    def _read_page(self, number: int, kind: int) -> _Page:
        content = self._pages.data[number * PAGE_BYTES : (number + 1) * PAGE_BYTES]
        own_number, _pad, flags, lower, upper = PAGE_HEADER.unpack_from(content)
        _require(own_number == number and flags & PAGE_KIND_MASK == kind, "invalid page header", number)
        in_bounds = PAGE_HEADER.size <= lower <= upper <= PAGE_BYTES and lower % 2 == 0
        _require(in_bounds, "invalid page bounds", number)
        count = (lower - PAGE_HEADER.size) // 2
        _require(count > 0, "page has no nodes", number)
        offsets = struct.unpack_from(f"<{count}H", content, PAGE_HEADER.size)
        in_bounds = min(offsets) >= upper and max(offsets) + NODE_HEADER.size <= PAGE_BYTES
        _require(in_bounds, "node offset out of bounds", number)
        return _Page(number, content, offsets)

    def _check_leaf(self, page: _Page, keys: _KeyRange) -> None:
        low = keys.low
        last = self._last_key
        for offset in page.offsets:
            key = self._check_leaf_node(page, offset)
            _require(last is None or last < key, "keys are out of order", page.number)
            if low is not None:
                _require(low <= key, "key is below the range of its page", page.number)
                low = None  # the later ones are above the first
            last = key
        within = keys.high is None or (last is not None and last < keys.high)
        _require(within, "key is above the range of its page", page.number)
        self._entries += len(page.offsets)
        self._last_key = last

    def _check_leaf_node(self, page: _Page, offset: int) -> bytes:
        """Check the size and value of a node; return its key."""
        size_low, size_high, flags, key_bytes = NODE_HEADER.unpack_from(page.content, offset)
        start = offset + NODE_HEADER.size + key_bytes
        size = size_low | size_high << 16
        _require(flags & ~BIG_DATA == 0, "invalid node flags", page.number)
        _require(
            start + (PAGE_NUMBER.size if flags else size) <= PAGE_BYTES, "invalid node size", page.number
        )
        if flags:
            (first,) = PAGE_NUMBER.unpack_from(page.content, start)
            self._overflow_pages += self._pages.claim_overflow(first, size)
            self._collect_overflow(first, size)
        else:
            self._collect(page.content, start, size)
        return self._comparable(page.content[start - key_bytes : start])

    def _check_branch(self, page: _Page, level: int, keys: _KeyRange) -> None:
        """Check a branch's subtrees; the first one has no key and begins at the branch's low end."""
        children: list[int] = []
        bounds: list[bytes | None] = []
        for position, offset in enumerate(page.offsets):
            child_low, child_high, child_top, key_bytes = NODE_HEADER.unpack_from(page.content, offset)
            start = offset + NODE_HEADER.size
            _require(start + key_bytes <= PAGE_BYTES, "invalid node size", page.number)
            children.append(child_low | child_high << 16 | child_top << 32)
            key = page.content[start : start + key_bytes]
            bounds.append(self._comparable(key) if position else keys.low)
        bounds.append(keys.high)
        for position, child in enumerate(children):
            self._check_page(child, level + 1, _KeyRange(bounds[position], bounds[position + 1]))

    def _comparable(self, key: bytes) -> bytes:
        """Return bytes that sort as the tree's keys do."""
        return key

    def _collect(self, content: bytes, start: int, size: int) -> None:
        """Receive a value within a page; values of the main tree are ignored."""

    def _collect_overflow(self, number: int, size: int) -> None:
        """Receive a value in overflow pages; values of the main tree are ignored."""

    def _collected(self) -> list[bytes]:
        return []


class _FreeTreeCheck(_TreeCheck):
    """The tree of free pages: its keys are native integers, and its values are collected."""

    def __init__(self, pages: _Pages) -> None:
        super().__init__(pages)
        self._values: list[bytes] = []

    def _comparable(self, key: bytes) -> bytes:
        return key[::-1]

    def _collect(self, content: bytes, start: int, size: int) -> None:
        self._values.append(content[start : start + size])

    def _collect_overflow(self, number: int, size: int) -> None:
        self._values.append(self._pages.overflow_value(number, size))

    def _collected(self) -> list[bytes]:
        return self._values


def _require(condition: bool, problem: str, number: int) -> None:
    if not condition:
        raise StoreDamagedError(f"page {number}: {problem}", step="check")
