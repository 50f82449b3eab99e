"""Settings of the system's memory allocator."""

from __future__ import annotations

import ctypes
import logging
from typing import Final

# Parameters of mallopt(3) of the GNU C library.
M_TRIM_THRESHOLD: Final = -1
M_MMAP_THRESHOLD: Final = -3
LARGE_BLOCK_BYTES: Final = 128 * 1024

log = logging.getLogger(__name__)


def return_large_blocks() -> None:
    """Have large blocks returned to the system as soon as they are freed.

    By default the C library raises the size from which it does so to that of the
    largest freed block.  Bodies of requests then leave the heap in fragments that stay
    resident.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as exc:
        # A C library without this call.
        log.info("allocator left as it is", extra={"reason": repr(exc)})
        return
    mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    mallopt(M_TRIM_THRESHOLD, LARGE_BLOCK_BYTES)
