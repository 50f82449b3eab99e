"""Documents of the platform's store that keepers remember for relays that start.

While the store is away a relay that has just started knows no configuration and no
servers, and could only turn callers away.  Keepers remember the newest documents that
the store gave them, also over a loss of power, and hand them out.  They are hints of
what was last in force: a relay replaces them by what the store says as soon as it says
anything, and a document only ever yields to a newer revision.

The file is written anew and renamed over the old one.  A torn or lost file costs the
hints, nothing that was promised to anybody.
"""

from __future__ import annotations

import logging
import os
import zlib
from typing import Final

import msgspec

from ..core.ledgerwire import Document

FILE: Final = "documents"
CHECKSUM_BYTES: Final = 4

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(list[Document])

log = logging.getLogger(__name__)


class Documents:
    """The newest known documents by key.

    Parameters
    ----------
    folder : str
        Data folder; made if it does not exist.
    """

    def __init__(self, folder: str) -> None:
        self.changed = False
        self._folder = folder
        self._known: dict[str, Document] = {}

    def load(self) -> None:
        """Read the file; a file that cannot be used is reported and left out."""
        path = os.path.join(self._folder, FILE)
        try:
            with open(path, "rb") as file:
                data = file.read()
        except FileNotFoundError:
            return
        checksum, body = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
        if zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "little") != checksum:
            log.warning("documents are damaged", extra={"path": path})
            return
        for document in _DECODER.decode(body):
            self._known[document.key] = document

    def put(self, document: Document) -> None:
        """Take a document if it is newer than the one known."""
        known = self._known.get(document.key)
        if known is None or known.revision < document.revision:
            self._known[document.key] = document
            self.changed = True

    def remove(self, key: str) -> None:
        """Forget a document that the store has removed."""
        if self._known.pop(key, None) is not None:
            self.changed = True

    def retain_only(self, present: set[str]) -> None:
        """Forget what a full reading of the store does not list."""
        for key in list(self._known):
            if key not in present:
                self.remove(key)

    def all(self) -> list[Document]:
        """Return all documents."""
        return list(self._known.values())

    def encode(self) -> bytes:
        """Return the content for the file, and take it as saved."""
        self.changed = False
        body = _ENCODER.encode(self.all())
        return zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "little") + body

    def save(self, data: bytes) -> None:
        """Write the file; blocks on the disk.

        Raises
        ------
        OSError
            If the disk refuses.
        """
        os.makedirs(self._folder, exist_ok=True)
        path = os.path.join(self._folder, FILE)
        with open(path + ".new", "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(path + ".new", path)
