"""Errors of decoders."""

from __future__ import annotations

from typing import Final

import msgspec

# A document that is nested too deeply exceeds the recursion limit, also in fields that
# are skipped. Every process reads the same documents, so an error that ends one process
# ends all of them, again after each restart.
DECODE_ERRORS: Final = (msgspec.DecodeError, RecursionError)
