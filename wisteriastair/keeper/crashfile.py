"""Requests under which servers crashed or may have, on the disk of a keeper.

All processes may end at the same moment.  A request would then have its whole bound
again, and more servers would crash under it.  The same holds for the servers that
requests have claimed.
"""

from __future__ import annotations

import logging
import os
from typing import Final

import msgspec

from ..core.crashwire import RequestCrashes
from ..scheduling.claims import SavedClaim
from .checkedfile import add_checksum, read_file, replace_file

FILE_NAME: Final = "crashes"
CLAIMS_FILE_NAME: Final = "claims"

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(list[RequestCrashes])
_CLAIMS_DECODER: Final = msgspec.msgpack.Decoder(list[SavedClaim])

log = logging.getLogger(__name__)


class CrashFile:
    """The sums of one keeper on its disk.

    Parameters
    ----------
    folder : str
        Data folder; created if it does not exist.
    """

    def __init__(self, folder: str) -> None:
        self._path = os.path.join(folder, FILE_NAME)

    def load(self) -> list[RequestCrashes]:
        """Read the file; one that cannot be read is logged and ignored."""
        body = read_file(self._path)
        if body is None:
            return []
        try:
            return _DECODER.decode(body)
        except msgspec.DecodeError as exc:
            extra = {"path": self._path, "reason": repr(exc)}
            log.warning("file does not decode", extra=extra)
            return []

    def save(self, entries: list[RequestCrashes]) -> None:
        """Replace the file; blocks until that is durable.

        Raises
        ------
        OSError
            If the file cannot be written.
        """
        replace_file(self._path, add_checksum(_ENCODER.encode(entries)))


class ClaimFile:
    """The claims that one keeper has granted, on its disk.

    Parameters
    ----------
    folder : str
        Data folder; created if it does not exist.
    """

    def __init__(self, folder: str) -> None:
        self._path = os.path.join(folder, CLAIMS_FILE_NAME)

    def load(self) -> list[SavedClaim] | None:
        """Read the file; None if there is none that can be read."""
        body = read_file(self._path)
        if body is None:
            return None
        try:
            return _CLAIMS_DECODER.decode(body)
        except msgspec.DecodeError as exc:
            extra = {"path": self._path, "reason": repr(exc)}
            log.warning("file does not decode", extra=extra)
            return None

    def save(self, claims: list[SavedClaim]) -> None:
        """Replace the file; blocks until that is durable.

        Raises
        ------
        OSError
            If the file cannot be written.
        """
        replace_file(self._path, add_checksum(_ENCODER.encode(claims)))
