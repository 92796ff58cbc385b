"""Checksums for lmdb's two meta pages, which have none of their own.

lmdb writes each transaction's roots into one of two meta pages in turn and, when it opens a file, takes
the page with the higher transaction number. A torn write may leave a new number beside old roots. So a
seal (a checksum of what lmdb wrote) is put into the unused rest of the page, and both are made durable by
the same sync. A meta page whose seal does not match belongs to a transaction that was never acknowledged;
before lmdb opens the file, such a page is replaced by a copy of the other.
"""

from __future__ import annotations

import mmap
import os
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from zlib import crc32

PAGE_BYTES = min(mmap.PAGESIZE, 32768)  # lmdb's page size for files made on this machine
SLOTS = (0, 1)  # the meta pages

META_BYTES = 152  # lmdb's page header and its meta data
NUMBER_BYTES = 8  # the page's number comes first
ROOTS_OFFSET = 32  # what lmdb writes with each transaction begins here
TRANSACTION = struct.Struct("<Q")
TRANSACTION_OFFSET = 144  # the transaction's number, the last field
SEAL_OFFSET = 512  # behind all that lmdb writes
SEAL = struct.Struct("<8sQI")  # magic, length of the file, checksum
SEAL_MAGIC = b"MBSEAL01"


@dataclass(frozen=True, slots=True)
class MetaPage:
    """One meta page as read from the file."""

    slot: int
    transaction: int  # number of the transaction that wrote it
    sealed: bool  # the seal matches
    file_bytes: int  # length of the file when it was sealed; 0 where it is not
    content: bytes  # what lmdb wrote


def read_pages(descriptor: int) -> tuple[MetaPage, MetaPage]:
    """Both meta pages; a file that ends early reads as zeros."""
    return _read_page(descriptor, 0), _read_page(descriptor, 1)


def newest_sealed(pages: Sequence[MetaPage], at_most: int | None = None) -> MetaPage | None:
    """The page that stands: the highest transaction with a matching seal, not above `at_most`."""
    standing = [page for page in pages if page.sealed and (at_most is None or page.transaction <= at_most)]
    return max(standing, key=lambda page: page.transaction, default=None)


def write_seal(descriptor: int, slot: int) -> int:
    """Seal a meta page as it stands in the file (not yet durable); returns its transaction's number."""
    content = os.pread(descriptor, META_BYTES, slot * PAGE_BYTES)
    file_bytes = os.fstat(descriptor).st_size
    _write_all(descriptor, _seal(content, file_bytes), slot * PAGE_BYTES + SEAL_OFFSET)
    return _transaction(content)


def replace_page(descriptor: int, slot: int, page: MetaPage) -> None:
    """Write what a transaction left in `page` into `slot`, with a seal (not yet durable)."""
    roots = page.content[ROOTS_OFFSET:]
    _write_all(descriptor, roots, slot * PAGE_BYTES + ROOTS_OFFSET)
    seal = _seal(_head(page, slot) + roots, page.file_bytes)
    _write_all(descriptor, seal, slot * PAGE_BYTES + SEAL_OFFSET)


def same_head(page: MetaPage, other: MetaPage) -> bool:
    """Whether a page begins as the other does, apart from its number: transactions never change that part."""
    return page.content[:ROOTS_OFFSET] == _head(other, page.slot)


def _read_page(descriptor: int, slot: int) -> MetaPage:
    page = os.pread(descriptor, SEAL_OFFSET + SEAL.size, slot * PAGE_BYTES)
    page = page.ljust(SEAL_OFFSET + SEAL.size, b"\0")
    content = page[:META_BYTES]
    magic, file_bytes, _checksum = SEAL.unpack_from(page, SEAL_OFFSET)
    sealed = magic == SEAL_MAGIC and page[SEAL_OFFSET:] == _seal(content, file_bytes)
    return MetaPage(slot, _transaction(content), sealed, file_bytes if sealed else 0, content)


def _head(page: MetaPage, slot: int) -> bytes:
    return slot.to_bytes(NUMBER_BYTES, "little") + page.content[NUMBER_BYTES:ROOTS_OFFSET]


def _transaction(content: bytes) -> int:
    return int(TRANSACTION.unpack_from(content, TRANSACTION_OFFSET)[0])


def _seal(content: bytes, file_bytes: int) -> bytes:
    head = SEAL_MAGIC + struct.pack("<Q", file_bytes)
    return head + struct.pack("<I", crc32(head, crc32(content)))


def _write_all(descriptor: int, data: bytes, offset: int) -> None:
    while data:
        written = os.pwrite(descriptor, data, offset)
        data = data[written:]
        offset += written
