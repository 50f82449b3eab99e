"""Servers that may get the requests of a program while no keeper is reached.

Load pattern: a request crashes each server that reads it, and its attempts reach relays
that no keeper hears. Each of them alone knows of its own attempts only. So all relays
send the requests of one session of a program to the same few servers, chosen by
rendezvous hash, and a server that is gone without notice stays one of them for as long
as the attempts of a request may go on. Without keepers the choice by load and by cached
prompts is worse, but programs go on.
"""

from __future__ import annotations

from ..core.hashing import rendezvous_order
from ..scheduling.digest import server_key
from ..scheduling.exposure import EXPOSURE_S
from ..scheduling.fleet import Fleet, Server
from .job import Job


class LineServers:
    """Chooses the servers of a session of a program.

    Parameters
    ----------
    fleet : Fleet
        The known servers.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        # Servers that are gone without notice, and since when, by incarnation.
        self._gone: dict[str, tuple[Server, float]] = {}

    def record_gone(self, server: Server, now: float) -> None:
        """Record that a server is gone without notice."""
        self._gone[server.incarnation] = server, now

    def expire(self, now: float) -> None:
        """Forget the servers that are gone for long."""
        self._gone = {
            incarnation: (server, at)
            for incarnation, (server, at) in self._gone.items()
            if now - at <= EXPOSURE_S
        }

    def ranked(self, job: Job) -> list[int]:
        """Return the keys of the servers for a request, its first one first."""
        servers = [
            state.server for state in self._fleet.states() if not state.server.draining
        ]
        servers += [server for server, _ in self._gone.values()]
        names = {s.incarnation for s in servers if s.service == job.service}
        caller_req = job.caller_req
        parts = (
            job.service,
            job.customer_name or "",
            caller_req.program,
            caller_req.session,
        )
        return [
            server_key(name) for name in rendezvous_order("\x00".join(parts), names)
        ]
