"""Files that are replaced as a whole, with a checksum."""

from __future__ import annotations

import logging
import os
import zlib
from typing import Final

CHECKSUM_BYTES: Final = 4

log = logging.getLogger(__name__)


def add_checksum(body: bytes) -> bytes:
    """Return the content of a file with this body."""
    return zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "little") + body


def read_file(path: str) -> bytes | None:
    """Return the body of a file; None if there is none, or if it is damaged."""
    try:
        with open(path, "rb") as file:
            data = file.read()
    except FileNotFoundError:
        return None
    body = data[CHECKSUM_BYTES:]
    if add_checksum(body) != data:
        log.warning("file is damaged", extra={"path": path})
        return None
    return body


def replace_file(path: str, data: bytes) -> None:
    """Replace a file; blocks until that is durable.

    Raises
    ------
    OSError
        If the file cannot be written.
    """
    folder = os.path.dirname(path)
    os.makedirs(folder, exist_ok=True)
    with open(path + ".new", "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(path + ".new", path)
    folder_fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(folder_fd)
    finally:
        os.close(folder_fd)
