"""Times of a planned shutdown: when to stop accepting requests, and when to end.

A shutdown has a fixed deadline: the platform kills the process after the grace period.
Callers may keep coming until then, since a platform that sees most processes of a
failure domain leave continues to use all of them. The process itself must therefore
stop accepting requests early enough for the accepted ones to end.
"""

from __future__ import annotations

from typing import Final, NamedTuple

# Seconds after the signal for which callers are served as before. The platform needs
# two readiness checks, one per second, to notice that a process is leaving.
REROUTE_S: Final = 2.5
# Seconds left free before the kill at the end of the grace period.
KILL_MARGIN_S: Final = 0.7
# Seconds within which a timed-out request still gets its final response.
FINAL_RESPONSE_S: Final = 0.1


class Shutdown(NamedTuple):
    """A planned shutdown in progress.

    Attributes
    ----------
    started_at : float
        Time of the signal, in seconds of the process's clock.
    grace_s : float
        Seconds between the signal and the kill.
    """

    started_at: float
    grace_s: float

    @property
    def ends_at(self) -> float:
        """Time at which requests still in progress are aborted."""
        return self.started_at + max(0.0, self.grace_s - KILL_MARGIN_S)

    @property
    def rerouted_at(self) -> float:
        """Time from which the platform is expected to send new callers elsewhere."""
        return min(self.started_at + REROUTE_S, self.ends_at)

    def stop_accepting_at(self, max_timeout_s: float) -> float:
        """Return the time after which no request is accepted.

        It is the latest time at which an accepted request still has its full timeout
        left. Callers that come later are rejected at once, so that they can go
        elsewhere. The time is the same for all routes: short requests accepted after it
        would keep the process alive while it rejects all others. If requests may take
        longer than the grace period, requests are accepted until the platform has had
        time to notice the shutdown, and those that take too long are aborted.

        Parameters
        ----------
        max_timeout_s : float
            Longest timeout of a request in seconds.
        """
        return max(self.rerouted_at, self.ends_at - FINAL_RESPONSE_S - max_timeout_s)
