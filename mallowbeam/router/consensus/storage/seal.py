"""Checksums of lmdb's two meta pages, which have none of their own.

lmdb writes the roots of each transaction into one of two meta pages in turn.  When it opens a file, it uses
the page with the higher transaction number.  A torn write may combine a new number with old roots.  Therefore
a seal, which is a checksum of lmdb's data in the page, is stored in the unused rest of the page, and the same
sync makes both durable.  A meta page whose seal does not match belongs to a transaction that was never
acknowledged; before lmdb opens the file, such a page is replaced by a copy of the other one.
"""

from __future__ import annotations

import mmap
import os
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from zlib import crc32

PAGE_BYTES = min(mmap.PAGESIZE, 32768)  # lmdb's page size for files created on this machine
META_SLOTS = (0, 1)  # page numbers of the meta pages

META_BYTES = 152  # lmdb's page header and its meta data
NUMBER_BYTES = 8  # the page number at the start of the page header
ROOTS_OFFSET = 32  # start of the data that each transaction writes
TRANSACTION_NUMBER = struct.Struct("<Q")
TRANSACTION_OFFSET = 144  # of the transaction number, the last field
SEAL_OFFSET = 512  # after everything that lmdb writes
SEAL = struct.Struct("<8sQI")  # magic, length of the file in bytes, checksum
SEAL_MAGIC = b"MBSEAL01"


@dataclass(frozen=True, slots=True)
class MetaPage:
    """A meta page as read from the file."""

    slot: int
    transaction: int  # number of the transaction that wrote it
    sealed: bool  # whether the seal matches
    file_bytes: int  # length of the file when it was sealed; 0 if the seal does not match
    content: bytes  # the part of the page that lmdb writes


def read_pages(descriptor: int) -> tuple[MetaPage, MetaPage]:
    """Read both meta pages; bytes after the end of the file read as zeros."""
    return _read_page(descriptor, 0), _read_page(descriptor, 1)


def newest_sealed(pages: Sequence[MetaPage], at_most: int | None = None) -> MetaPage | None:
    """Return the sealed page with the highest transaction number that is not above `at_most`."""
    valid = [page for page in pages if page.sealed and (at_most is None or page.transaction <= at_most)]
    return max(valid, key=lambda page: page.transaction, default=None)


def write_seal(descriptor: int, slot: int) -> int:
    """Seal a meta page with its current content, without a sync, and return its transaction number."""
    content = os.pread(descriptor, META_BYTES, slot * PAGE_BYTES)
    file_bytes = os.fstat(descriptor).st_size
    _write_all(descriptor, _seal(content, file_bytes), slot * PAGE_BYTES + SEAL_OFFSET)
    return _transaction(content)


def replace_page(descriptor: int, slot: int, page: MetaPage) -> None:
    """Write the roots of `page` with a seal into `slot`, without a sync."""
    roots = page.content[ROOTS_OFFSET:]
    _write_all(descriptor, roots, slot * PAGE_BYTES + ROOTS_OFFSET)
    seal = _seal(_header(page, slot) + roots, page.file_bytes)
    _write_all(descriptor, seal, slot * PAGE_BYTES + SEAL_OFFSET)


def same_header(page: MetaPage, other: MetaPage) -> bool:
    """Return whether the headers, which transactions never change, are equal except for the page number."""
    return page.content[:ROOTS_OFFSET] == _header(other, page.slot)


def _read_page(descriptor: int, slot: int) -> MetaPage:
    page = os.pread(descriptor, SEAL_OFFSET + SEAL.size, slot * PAGE_BYTES)
    page = page.ljust(SEAL_OFFSET + SEAL.size, b"\0")
    content = page[:META_BYTES]
    magic, file_bytes, _checksum = SEAL.unpack_from(page, SEAL_OFFSET)
    sealed = magic == SEAL_MAGIC and page[SEAL_OFFSET:] == _seal(content, file_bytes)
    return MetaPage(slot, _transaction(content), sealed, file_bytes if sealed else 0, content)


def _header(page: MetaPage, slot: int) -> bytes:
    """Return the page's header with the page number of `slot`."""
    return slot.to_bytes(NUMBER_BYTES, "little") + page.content[NUMBER_BYTES:ROOTS_OFFSET]


def _transaction(content: bytes) -> int:
    return int(TRANSACTION_NUMBER.unpack_from(content, TRANSACTION_OFFSET)[0])


def _seal(content: bytes, file_bytes: int) -> bytes:
    header = SEAL_MAGIC + struct.pack("<Q", file_bytes)
    return header + struct.pack("<I", crc32(header, crc32(content)))


def _write_all(descriptor: int, data: bytes, offset: int) -> None:
    while data:
        written = os.pwrite(descriptor, data, offset)
        data = data[written:]
        offset += written
