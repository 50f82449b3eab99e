"""Cache of documents of the platform store, for relays that start.

While the store is unavailable, a relay that has just started has no configuration and
no servers, and could only reject requests.  Keepers cache the newest documents that
they received from the store, also across a power loss, and provide them to relays.  The
documents are hints of the last known state: a relay replaces them as soon as the store
answers, and a document is only replaced by one with a newer revision.

The content is written to a new file, which replaces the old one by a rename.  A torn or
lost file loses only the hints, no acknowledged data.
"""

from __future__ import annotations

import os
from typing import Final

import msgspec

from ..core.ledgerwire import Document
from .checkedfile import add_checksum, read_file, replace_file

FILE_NAME: Final = "documents"

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(list[Document])


class Documents:
    """The newest known document of each key.

    Parameters
    ----------
    folder : str
        Data folder; created if it does not exist.
    """

    def __init__(self, folder: str) -> None:
        self.changed = False
        self._folder = folder
        self._documents: dict[str, Document] = {}

    def load(self) -> None:
        """Read the file; a damaged file is logged and ignored."""
        body = read_file(os.path.join(self._folder, FILE_NAME))
        if body is None:
            return
        for document in _DECODER.decode(body):
            self._documents[document.key] = document

    def put(self, document: Document) -> None:
        """Store a document if it is newer than the known one."""
        known = self._documents.get(document.key)
        if known is None or known.revision < document.revision:
            self._documents[document.key] = document
            self.changed = True

    def remove(self, key: str) -> None:
        """Remove a document that the store has removed."""
        if self._documents.pop(key, None) is not None:
            self.changed = True

    def retain_only(self, present: set[str]) -> None:
        """Remove documents that a complete listing of the store does not contain."""
        for key in list(self._documents):
            if key not in present:
                self.remove(key)

    def all(self) -> list[Document]:
        """Return all documents."""
        return list(self._documents.values())

    def encode(self) -> bytes:
        """Return the content of the file, and mark it as saved."""
        self.changed = False
        return add_checksum(_ENCODER.encode(self.all()))

    def save(self, data: bytes) -> None:
        """Write the file; blocks until it is synced.

        Raises
        ------
        OSError
            If the file cannot be written.
        """
        replace_file(os.path.join(self._folder, FILE_NAME), data)
