"""Limit of log lines about events that may come in great numbers."""

from __future__ import annotations

import math
from typing import Final

# Log lines per interval in seconds.  A fault of the network changes what is known of
# many servers at once, and again and again.
MAX_LOGGED: Final = 8
LOG_INTERVAL_S: Final = 2.0


class LineLimit:
    """Limits the lines that are logged per interval."""

    def __init__(self) -> None:
        self._since = -math.inf
        self._count = 0

    def allows(self, now: float) -> bool:
        """Return whether one more line may be logged."""
        if now - self._since >= LOG_INTERVAL_S:
            self._since = now
            self._count = 0
        self._count += 1
        return self._count <= MAX_LOGGED
