"""When a process that was told to stop takes its last request.

A stop has a fixed end: the platform kills the process once the grace period is over.
Callers may keep coming until then, since a platform that finds most processes of a
failure domain leaving goes on using all of them.  So the process itself has to say when
it takes nothing more, early enough that what it has taken can end.
"""

from __future__ import annotations

from typing import Final, NamedTuple

# Callers are served as ever for this long after the signal, in seconds: the platform
# needs two questions, one a second, to notice that a process is leaving.
REROUTE_S: Final = 2.5
# Kept free before the kill that follows the grace period, in seconds.
MARGIN_S: Final = 0.7
# A request whose time is over still gets its final answer within this, in seconds.
ANSWER_S: Final = 0.1


class Shutdown(NamedTuple):
    """A planned stop under way.

    Attributes
    ----------
    started_at : float
        When the signal came, in seconds of the process's clock.
    grace_s : float
        Seconds between the signal and the kill.
    """

    started_at: float
    grace_s: float

    @property
    def ends_at(self) -> float:
        """When whatever is still under way is broken off."""
        return self.started_at + max(0.0, self.grace_s - MARGIN_S)

    @property
    def rerouted_at(self) -> float:
        """When the platform can be expected to lead new callers elsewhere."""
        return min(self.started_at + REROUTE_S, self.ends_at)

    def stop_accepting_at(self, max_timeout_s: float) -> float:
        """Return when the last request is taken.

        As late as whatever is taken can still use all of its time: callers that come
        later are better off elsewhere, at once.  It is one moment for all routes, since
        short requests that are taken beyond it would keep the process from ending, and
        it refuses the others meanwhile.  Where requests may take longer than
        the grace period the platform gets the time that it needs to notice, and those
        that outlast the rest are broken off.

        Parameters
        ----------
        max_timeout_s : float
            The longest time that a request may take, in seconds.
        """
        return max(self.rerouted_at, self.ends_at - ANSWER_S - max_timeout_s)
