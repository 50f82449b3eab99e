"""Reachability of a set of peers, judged by the requests sent to them.

Load pattern: a process is partitioned from all replicas of the ledger while callers go
on sending requests. Without this check, each request waits for its timeout and the
platform keeps sending callers to this process. After a failed request without a recent
success, requests are rejected at once and the process reports itself as not ready. A
probe a few times per second detects when the peers are reachable again. The loss of a
single replica never fails a request, so it does not trigger this.
"""

from __future__ import annotations

from typing import Final

# A success within this time in seconds outweighs a failure, as the failed request may
# have met replicas that were being replaced.
SUCCESS_VALID_S: Final = 0.4
# Seconds without a success after which a probe is due.
PROBE_AFTER_S: Final = 0.4


class Reachability:
    """State of one set of peers, which count as reachable until a failure."""

    def __init__(self) -> None:
        self.unreachable = False
        self._last_success_at = float("-inf")

    def record_success(self, now: float) -> bool:
        """Record a success; return whether the peers were unreachable before."""
        self._last_success_at = now
        was_unreachable = self.unreachable
        self.unreachable = False
        return was_unreachable

    def record_failure(self, now: float) -> bool:
        """Record a failure; return whether the peers become unreachable by it."""
        if self.unreachable or now - self._last_success_at < SUCCESS_VALID_S:
            return False
        self.unreachable = True
        return True

    def is_probe_due(self, now: float) -> bool:
        """Return whether a probe is due."""
        return now - self._last_success_at >= PROBE_AFTER_S
