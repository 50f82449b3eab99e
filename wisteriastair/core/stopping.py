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
NOTICE_S: Final = 2.5
# Seconds left free before the kill at the end of the grace period.
KILL_MARGIN_S: Final = 0.7
# Seconds within which a timed-out request still gets its final response.
FINAL_ANSWER_S: Final = 0.1


class Stop(NamedTuple):
    """A planned shutdown in progress.

    Attributes
    ----------
    began : float
        Time of the signal, in seconds of the process's clock.
    grace_s : float
        Seconds between the signal and the kill.
    """

    began: float
    grace_s: float

    @property
    def ends_at(self) -> float:
        """Time at which requests still in progress are aborted."""
        return self.began + max(0.0, self.grace_s - KILL_MARGIN_S)

    @property
    def noticed_at(self) -> float:
        """Time from which the platform is expected to send new callers elsewhere."""
        return min(self.began + NOTICE_S, self.ends_at)

    def last_call_at(self, longest_s: float) -> float:
        """Return the time after which no request is accepted.

        It is the latest time at which an accepted request still has its full timeout
        left. Callers that come later are rejected at once, so that they can go
        elsewhere. The time is the same for all routes: short requests accepted after it
        would keep the process from ending. If requests may take longer than the grace
        period, the time is when the platform has had time to notice, and requests that
        take too long are aborted.

        Parameters
        ----------
        longest_s : float
            Longest timeout of a request in seconds.
        """
        return max(self.noticed_at, self.ends_at - FINAL_ANSWER_S - longest_s)
