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
SUCCESS_VALID_S: Final = 0.4
# A probe is sent if nothing succeeded for this time, in seconds.
PROBE_AFTER_S: Final = 0.4


class Reach:
    """The judgement for one set of peers; they count as there until a failure."""

    def __init__(self) -> None:
        self.away = False
        self._last_success_at = float("-inf")

    def succeeded(self, now: float) -> bool:
        """Note a success; True if the peers were away before."""
        self._last_success_at = now
        was_unreachable = self.away
        self.away = False
        return was_unreachable

    def failed(self, now: float) -> bool:
        """Note a failure; True if the peers count as away from now on."""
        if self.away or now - self._last_success_at < SUCCESS_VALID_S:
            return False
        self.away = True
        return True

    def wants_probe(self, now: float) -> bool:
        """Whether to find out now."""
        return now - self._last_success_at >= PROBE_AFTER_S
