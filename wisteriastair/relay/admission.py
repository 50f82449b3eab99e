"""Connects the admission of new programs to callers' requests.

Admission is decided before a quota permit is requested and before tokens are reserved,
so that a refused program leaves nothing behind.  It is on for a service whose servers
report a fourth load figure, and for all services under memory pressure.
"""

from __future__ import annotations

import asyncio
import logging
import random
import weakref
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from ..core.customers import Customers
from ..core.routes import RequestKind, RouteTable
from ..errors import Code, Failure
from ..nodemetrics import RelayMetrics
from ..scheduling.admission import (
    DEFAULT_RETRY_S,
    WAIT_FRACTION,
    Admission,
    Party,
)
from ..scheduling.fleet import Fleet
from ..scheduling.need import Refuse, RequestNeed, Wait
from ..scheduling.occupancy import SharedLoads
from ..scheduling.retries import TurnRetryBudget
from ..scheduling.reuse import FIRST_PRIVATE

if TYPE_CHECKING:
    from .job import Job

# The wait between two decisions about a request, at least, in seconds.
MIN_WAIT_S: Final = 0.005

log = logging.getLogger(__name__)


class AdmissionCheck(ABC):
    """Admission of one request.

    Attributes
    ----------
    verdict : str
        ``running`` (a request of a running program), ``started``, ``refused``, or empty
        if admission is off.
    waited_s : float
        Seconds for which the request was delayed.
    """

    def __init__(self) -> None:
        self.verdict = ""
        self.waited_s = 0.0

    @abstractmethod
    async def wait_for_start(self) -> Failure | None:
        """Return why the request may not start; None if it may."""

    @abstractmethod
    def take_retry(self) -> bool:
        """Return whether a turn that a full server rejected may be sent to another."""

    @abstractmethod
    def retry_after_s(self) -> float:
        """Return the Retry-After in seconds if no server has room."""

    @abstractmethod
    def record_end(self) -> None:
        """Record the end of the request."""


class NoAdmissionCheck(AdmissionCheck):
    """Used where admission is off: every request may start."""

    async def wait_for_start(self) -> Failure | None:
        """Return None."""
        return None

    def take_retry(self) -> bool:
        """Return True."""
        return True

    def retry_after_s(self) -> float:
        """Return the default delay."""
        return DEFAULT_RETRY_S

    def record_end(self) -> None:
        """Record nothing."""


class AdmissionGate:
    """Admission of all requests of a relay.

    Parameters
    ----------
    fleet : Fleet
        The known servers.
    metrics : RelayMetrics
        Counts decisions.
    is_paced : callable or None
        Whether a server of a service has reported a fourth load figure.
    has_memory_pressure : bool
        Whether the deployment has memory pressure.
    shared : SharedLoads or None
        Source of the load of other relays.
    """

    def __init__(
        self,
        fleet: Fleet,
        metrics: RelayMetrics,
        *,
        is_paced: Callable[[str], bool] | None = None,
        has_memory_pressure: bool = False,
        shared: SharedLoads | None = None,
    ) -> None:
        self.fleet = fleet
        self.decisions = Admission(shared)
        self.turn_retries = TurnRetryBudget()
        self.randbelow = random.Random().randrange
        self._metrics = metrics
        self._is_paced = is_paced or (lambda service: False)
        self._has_memory_pressure = has_memory_pressure
        self._refusing: dict[str, bool] = {}
        self._weights_of: Customers | None = None
        self._default_weight = 1.0

    def is_on(self, service: str) -> bool:
        """Return whether admission is on for a service."""
        return self._has_memory_pressure or self._is_paced(service)

    def make_check(self, job: Job, table: RouteTable) -> AdmissionCheck:
        """Create the check of one request."""
        if not self.is_on(job.service):
            return NoAdmissionCheck()
        return _ProgramCheck(self, job, self._party(job, table))

    def _party(self, job: Job, table: RouteTable) -> Party:
        if table.customers is None:
            return Party(job.route.name)
        if table.customers is not self._weights_of:
            self._weights_of = table.customers
            self._default_weight = _mean_rate(table.customers)
        quota = job.customer.quota if job.customer else None
        weight = quota.rate_per_s if quota else self._default_weight
        return Party(job.customer_name or "", weight, has_rank=False)

    def record_decision(self, job: Job, verdict: str, reason: str, now: float) -> None:
        """Count a decision about a program, and log if a service starts refusing."""
        self._metrics.admissions.labels(job.service, verdict).inc()
        if verdict == "refused" and not self._refusing.get(job.service):
            self._refusing[job.service] = True
            extra = {"service": job.service, "reason": reason}
            log.warning("service refuses new programs", extra=extra)

    def log_recovered(self, now: float) -> None:
        """Log services that have stopped refusing; called periodically."""
        for service, was_refusing in self._refusing.items():
            if was_refusing and not self.decisions.is_refusing(service, now):
                self._refusing[service] = False
                extra = {"service": service}
                log.info("service starts new programs again", extra=extra)


class _ProgramCheck(AdmissionCheck):
    def __init__(self, gate: AdmissionGate, job: Job, party: Party) -> None:
        super().__init__()
        self._gate = gate
        # The job refers to its check: a reference back would keep the job, with its
        # body, until the garbage collector runs.
        self._job: Job = weakref.proxy(job)
        self._party = party
        self._is_new = _may_be_first_turn(job)

    async def wait_for_start(self) -> Failure | None:
        gate, job = self._gate, self._job
        if job.route.kind is not RequestKind.STREAM:
            gate.decisions.record_tool_call(self._need(), job.now())
            self.verdict = "running"
            return None
        gate.turn_retries.record_turn(job.service)
        max_wait_s = WAIT_FRACTION * job.route.target_latency_s
        is_known = gate.decisions.is_known(self._need())
        while True:
            verdict = gate.decisions.decide(
                self._need(),
                self._party,
                gate.fleet.eligible_servers(job.service, job.now()),
                gate.randbelow,
                job.now(),
                waited_s=self.waited_s,
                max_wait_s=max_wait_s,
            )
            if not isinstance(verdict, Wait):
                break
            delay_s = max(MIN_WAIT_S, verdict.seconds)
            started_at = job.now()
            await asyncio.sleep(delay_s)
            self.waited_s += job.now() - started_at
        self.verdict = "running" if is_known else "started"
        if isinstance(verdict, Refuse):
            self.verdict = "refused"
        reason = verdict.reason if verdict else ""
        gate.record_decision(job, self.verdict, reason, job.now())
        if verdict is None:
            return None
        return Failure(Code.SERVERS_FULL, verdict.reason, "no", verdict.retry_after_s)

    def take_retry(self) -> bool:
        is_new = self.verdict == "started"
        return self._gate.turn_retries.take(self._job.service, is_new_program=is_new)

    def retry_after_s(self) -> float:
        gate, job = self._gate, self._job
        now = job.now()
        states = gate.fleet.eligible_servers(job.service, now)
        return gate.decisions.retry_after_s(self._need(), states, gate.randbelow, now)

    def record_end(self) -> None:
        job = self._job
        if self.verdict == "started" and job.sent_at == 0:
            gate = self._gate
            gate.decisions.withdraw_start(self._need(), self._party, job.now())
            return
        is_complete_turn = 200 <= job.status < 300 and job.sent_at > 0
        if job.route.kind is not RequestKind.STREAM or not is_complete_turn:
            return
        now = job.now()
        state = self._gate.fleet.get(job.tried[-1])
        is_queued = state is not None and state.reports_waiting(now)
        seconds = now - job.sent_at
        self._gate.decisions.record_turn(self._need(), seconds, is_queued, now)

    def _need(self) -> RequestNeed:
        job = self._job
        req = job.caller_req
        elapsed_s = job.elapsed_s()
        finish_s = None if req.finish_s is None else max(0.0, req.finish_s - elapsed_s)
        return RequestNeed(
            job.service,
            req.parts,
            req.prompt_tokens,
            req.output_tokens,
            rank=job.priority,
            kind=job.route.name,
            customer=job.customer_name or "",
            program=job.scoped_id(req.program),
            is_new_program=self._is_new,
            finish_s=finish_s,
            remaining_s=job.remaining_s(),
        )


def _may_be_first_turn(job: Job) -> bool:
    """Return whether a request may be the first turn of its program.

    On routes without stored history, later turns name no previous turn.  Their prompts
    have a segment for the conversation so far.  If a program states no segments there,
    its turns cannot be told from each other, and none is taken for the first.
    """
    req = job.caller_req
    if job.route.kind is not RequestKind.STREAM or req.previous_id:
        return False
    if req.program and not req.parts and not job.route.retains_history:
        return False
    return len(req.parts) <= FIRST_PRIVATE + 1


def _mean_rate(customers: Customers) -> float:
    """Return the mean quota rate, the weight of a customer without a quota."""
    rates = [c.quota.rate_per_s for c in customers.by_name.values() if c.quota]
    return sum(rates) / len(rates) if rates else 1.0
