"""Requests that a relay has sent to servers and that have not ended."""

from __future__ import annotations

from ..scheduling.crashes import RequestIdentity
from ..scheduling.digest import server_key
from ..scheduling.fleet import Server
from .job import Job


class RunningRequests:
    """The running requests, by all but their bodies, which may be large."""

    def __init__(self) -> None:
        self._jobs: dict[RequestIdentity, list[Job]] = {}

    def add(self, job: Job) -> None:
        """Add a request, unless it is known."""
        jobs = self._jobs.setdefault(job.envelope, [])
        if job not in jobs:
            jobs.append(job)

    def remove(self, job: Job) -> None:
        """Remove a request that has ended."""
        jobs = self._jobs.get(job.envelope)
        if jobs is not None and job in jobs:
            jobs.remove(job)
            if not jobs:
                del self._jobs[job.envelope]

    def sent(self) -> list[Job]:
        """Return the requests that servers have."""
        return [
            job
            for jobs in self._jobs.values()
            for job in jobs
            if job.sent_to is not None
        ]

    def at(self, incarnation: str) -> list[Job]:
        """Return the requests that a server has."""
        return [
            job
            for job in self.sent()
            if job.sent_to is not None and job.sent_to.incarnation == incarnation
        ]

    def servers(self) -> list[Server]:
        """Return the servers that have requests."""
        states = [job.sent_to for job in self.sent()]
        return [state.server for state in states if state is not None]

    def servers_of_others(self, job: Job) -> list[int]:
        """Return the keys of the servers that have other attempts of a request.

        Attempts of one program that run at the same time are attempts of one request.
        Requests without a program may be those of many callers.
        """
        if not job.caller_req.program:
            return []
        return [
            server_key(other.sent_to.incarnation)
            for other in self._jobs.get(job.envelope, ())
            if other is not job
            and other.sent_to is not None
            and other.req.body == job.req.body
        ]
