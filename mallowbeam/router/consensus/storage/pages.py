"""A check of lmdb's pages before lmdb maps them.

lmdb trusts what it maps: a damaged page number may end the process with a signal, and a damaged list of
free pages may let a later write destroy live ones. A power loss leaves neither (see `seal`), but a bad
disk may. The check reads every page that lmdb would: numbers, kinds, bounds, order of keys, and that no
free page is in use. Values are left to the records' own checksums.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

from mallowbeam.router.consensus.storage.errors import StoreDamagedError
from mallowbeam.router.consensus.storage.seal import PAGE_BYTES, SLOTS

PAGE_HEAD = struct.Struct("<QHHHH")  # number, pad, flags, lower, upper
OVERFLOW_COUNT = struct.Struct("<I")  # in place of lower and upper: pages of an overflow value
OVERFLOW_COUNT_OFFSET = 12
NODE = struct.Struct("<HHHH")  # size or child (low), (high), flags or child (top), key bytes
TREE = struct.Struct("<IHHQQQQQ")  # pad, flags, depth, branch, leaf, overflow pages, entries, root
NUMBER = struct.Struct("<Q")

FREE_TREE_OFFSET = 40  # in a meta page
MAIN_TREE_OFFSET = 88
LAST_PAGE_OFFSET = 136

BRANCH, LEAF, OVERFLOW = 1, 2, 4  # page flags
BIG_DATA = 1  # node flag: the value lies in overflow pages
EMPTY_ROOT = (1 << 64) - 1
MOST_DEPTH = 32  # as lmdb's cursors allow


@dataclass(frozen=True, slots=True)
class PageNumbers:
    """The numbers of a file's pages."""

    in_use: frozenset[int]  # the meta pages, and all that hold something
    free: frozenset[int]  # which later transactions may write


@dataclass(slots=True)
class _Tree:
    """What a walk through one tree found, to be compared with the counts in the meta page."""

    whole_numbers: bool  # keys are integers of the machine's order, not byte strings
    depth: int
    branch: int = 0
    leaf: int = 0
    overflow: int = 0
    values: list[bytes] | None = None  # collected where asked for
    entries: int = 0
    last_key: bytes | None = None  # the greatest key so far


@dataclass(slots=True)
class _Walk:
    data: bytes
    last_page: int
    used: set[int] = field(default_factory=set)


def check_pages(data: bytes, meta: bytes) -> PageNumbers:
    """Check a store's file against the meta page that stands; raises `StoreDamagedError`."""
    (last_page,) = NUMBER.unpack_from(meta, LAST_PAGE_OFFSET)
    walk = _Walk(data, last_page, set(SLOTS))
    free = _check_tree(walk, meta, FREE_TREE_OFFSET, whole_numbers=True, values=[])
    _check_tree(walk, meta, MAIN_TREE_OFFSET, whole_numbers=False, values=None)
    in_use = frozenset(walk.used)
    for value in free.values or ():
        _check_free_pages(walk, value)
    return PageNumbers(in_use, frozenset(walk.used) - in_use)


def _check_tree(
    walk: _Walk, meta: bytes, offset: int, *, whole_numbers: bool, values: list[bytes] | None
) -> _Tree:
    _pad, _flags, depth, branch, leaf, overflow, entries, root = TREE.unpack_from(meta, offset)
    tree = _Tree(whole_numbers, depth, values=values)
    if root != EMPTY_ROOT:
        _require(0 < depth <= MOST_DEPTH, "a tree's depth", root)
        _check_page(walk, tree, root, 1, None, None)
    found = (tree.branch, tree.leaf, tree.overflow, tree.entries)
    _require(found == (branch, leaf, overflow, entries), "a tree's counts", root)
    return tree


def _check_page(
    walk: _Walk, tree: _Tree, number: int, level: int, low: bytes | None, high: bytes | None
) -> None:
    """Check a page and all below it, whose keys lie between `low` (inclusive) and `high`."""
    _take(walk, number, 1)
    page = walk.data[number * PAGE_BYTES : (number + 1) * PAGE_BYTES]
    own_number, _pad, flags, lower, upper = PAGE_HEAD.unpack_from(page)
    kind = LEAF if level == tree.depth else BRANCH
    _require(own_number == number and flags & 0xF == kind, "the page's head", number)
    _require(PAGE_HEAD.size <= lower <= upper <= PAGE_BYTES and lower % 2 == 0, "its bounds", number)
    count = (lower - PAGE_HEAD.size) // 2
    _require(count > 0, "no nodes", number)
    offsets = struct.unpack_from(f"<{count}H", page, PAGE_HEAD.size)
    _require(min(offsets) >= upper and max(offsets) + NODE.size <= PAGE_BYTES, "its node offsets", number)
    if kind == LEAF:
        tree.leaf += 1
        _check_leaf(walk, tree, number, page, offsets, low, high)
    else:
        tree.branch += 1
        _check_branch(walk, tree, number, page, offsets, level, low, high)


def _check_leaf(
    walk: _Walk,
    tree: _Tree,
    number: int,
    page: bytes,
    offsets: tuple[int, ...],
    low: bytes | None,
    high: bytes | None,
) -> None:
    last = tree.last_key
    for offset in offsets:
        size_low, size_high, flags, key_bytes = NODE.unpack_from(page, offset)
        start = offset + NODE.size + key_bytes
        size = size_low | size_high << 16
        _require(flags & ~BIG_DATA == 0, "a node's flags", number)
        _require(start + (NUMBER.size if flags else size) <= PAGE_BYTES, "a node's size", number)
        key = _comparable(tree, page[start - key_bytes : start])
        _require(last is None or last < key, "the order of keys", number)
        if flags:
            (first,) = NUMBER.unpack_from(page, start)
            _check_overflow(walk, tree, first, size)
        if tree.values is not None:
            tree.values.append(_overflow_value(walk, first, size) if flags else page[start : start + size])
        if low is not None:
            _require(low <= key, "a key below its page's", number)
            low = None  # the others are above the first
        last = key
    _require(high is None or last is not None and last < high, "a key above its page's", number)
    tree.entries += len(offsets)
    tree.last_key = last


def _check_branch(
    walk: _Walk,
    tree: _Tree,
    number: int,
    page: bytes,
    offsets: tuple[int, ...],
    level: int,
    low: bytes | None,
    high: bytes | None,
) -> None:
    """The first node of a branch has no key of its own: its child begins at the branch's lower end."""
    children: list[int] = []
    bounds: list[bytes | None] = []
    for position, offset in enumerate(offsets):
        child_low, child_high, child_top, key_bytes = NODE.unpack_from(page, offset)
        start = offset + NODE.size
        _require(start + key_bytes <= PAGE_BYTES, "a node's size", number)
        children.append(child_low | child_high << 16 | child_top << 32)
        bounds.append(_comparable(tree, page[start : start + key_bytes]) if position else low)
    bounds.append(high)
    for position, child in enumerate(children):
        _check_page(walk, tree, child, level + 1, bounds[position], bounds[position + 1])


def _check_overflow(walk: _Walk, tree: _Tree, number: int, size: int) -> None:
    count = (PAGE_HEAD.size + size + PAGE_BYTES - 1) // PAGE_BYTES
    _take(walk, number, count)
    start = number * PAGE_BYTES
    own_number, _pad, flags, _lower, _upper = PAGE_HEAD.unpack_from(walk.data, start)
    (own_count,) = OVERFLOW_COUNT.unpack_from(walk.data, start + OVERFLOW_COUNT_OFFSET)
    _require(own_number == number and flags & 0xF == OVERFLOW, "an overflow page's head", number)
    _require(own_count == count, "an overflow value's pages", number)
    tree.overflow += count


def _overflow_value(walk: _Walk, number: int, size: int) -> bytes:
    start = number * PAGE_BYTES + PAGE_HEAD.size
    return walk.data[start : start + size]


def _check_free_pages(walk: _Walk, value: bytes) -> None:
    """A value of the tree of free pages: a count and so many page numbers."""
    _require(len(value) >= NUMBER.size and len(value) % NUMBER.size == 0, "a list of free pages", 0)
    count, *numbers = struct.unpack(f"<{len(value) // NUMBER.size}Q", value)
    _require(count <= len(numbers), "a list of free pages", 0)
    for number in numbers[:count]:
        _require(number not in walk.used and number <= walk.last_page, "a free page is in use", number)
        walk.used.add(number)


def _take(walk: _Walk, number: int, count: int) -> None:
    """Pages in use: within the file, and in use once."""
    end = number + count
    within = end - 1 <= walk.last_page and end * PAGE_BYTES <= len(walk.data)
    _require(within, "beyond the file's end", number)
    for page in range(number, end):
        _require(page not in walk.used, "in use twice", page)
        walk.used.add(page)


def _comparable(tree: _Tree, key: bytes) -> bytes:
    return key[::-1] if tree.whole_numbers else key


def _require(holds: bool, what: str, number: int) -> None:
    if not holds:
        raise StoreDamagedError(f"page {number}: {what}", step="check")
