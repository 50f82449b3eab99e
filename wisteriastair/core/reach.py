"""Whether a set of peers can be reached, judged by the requests sent to them.

The load pattern: a process is cut off from all replicas of the ledger while callers go
on sending.  Without a judgement each request waits out its own limit, and the platform
goes on sending callers here.  After one request has failed and none has succeeded for a
moment, requests are refused at once and the process reports itself not ready; a
probe a few times a second finds out when the way is open again.  One lost replica never
fails a request, so this does not act on ordinary losses.
"""

from __future__ import annotations

from typing import Final

# A success within this time, in seconds, outweighs a failure: the failed request may
# have met replicas that were just being replaced.
FRESH_S: Final = 0.4
# A probe is sent if nothing succeeded for this time, in seconds.
PROBE_S: Final = 0.4


class Reachability:
    """The judgement for one set of peers; they count as there until a failure."""

    def __init__(self) -> None:
        self.unreachable = False
        self._good_at = float("-inf")

    def record_success(self, now: float) -> bool:
        """Note a success; True if the peers were away before."""
        self._good_at = now
        was_away = self.unreachable
        self.unreachable = False
        return was_away

    def record_failure(self, now: float) -> bool:
        """Note a failure; True if the peers count as away from now on."""
        if self.unreachable or now - self._good_at < FRESH_S:
            return False
        self.unreachable = True
        return True

    def is_probe_due(self, now: float) -> bool:
        """Whether to find out now."""
        return now - self._good_at >= PROBE_S
