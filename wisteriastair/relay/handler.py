"""Handling of callers' requests: find the route, then answer by its kind.

While the configuration is missing or may be outdated, an unknown route is answered
"retry later", not "not found": the route may exist in the current configuration.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Final

from ..core.customers import Customer, scoped_name
from ..core.routes import CallerLimits, RequestKind, Route, RouteTable
from ..core.stopping import Shutdown
from ..errors import Code, Failure
from ..http1.caller import CallerConnection, Handler
from ..http1.messages import BadRequest, Request
from ..nodemetrics import RelayMetrics
from ..platform.headers import READY_PATH, CallerRequest, InvalidHeader, decode_request
from .admission import AdmissionGate
from .answers import code_for_status, send_failure
from .dispatch import Dispatcher
from .job import Job
from .permission import QuotaCheck
from .plain import RETRY_AFTER_S, handle_plain_request
from .pressure import RelayPressure
from .quota import QuotaClient
from .streams import StreamRelay

# Delay before a retry on another process while this one shuts down.  Short, but long
# enough that callers do not spin when all processes shut down.
STOPPING_RETRY_S: Final = 0.05

log = logging.getLogger(__name__)


class RelayHandler(Handler):
    """Answers callers' requests according to the configuration in force.

    Parameters
    ----------
    dispatcher : Dispatcher
        Sends requests to servers.
    streams : StreamRelay
        Answers streamed turns.
    quota : QuotaClient
        Requests permits for customers with a quota.
    is_ready : callable
        Whether this process is ready for callers.
    metrics : RelayMetrics
        Counts requests by outcome.
    pressure : RelayPressure or None
        Load of this process; None if it limits nothing.
    admission : AdmissionGate or None
        Decides which programs may start; None to start all.

    Attributes
    ----------
    table : RouteTable or None
        The configuration in force.
    is_config_current : bool
        Whether the configuration is known to be the newest one.
    shutdown : Shutdown or None
        The planned shutdown in progress.
    stopped_accepting : bool
        Whether new requests are refused because of the shutdown.
    active_requests : int
        Number of requests that were accepted and have not ended.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        streams: StreamRelay,
        quota: QuotaClient,
        is_ready: Callable[[], bool],
        metrics: RelayMetrics,
        pressure: RelayPressure | None = None,
        admission: AdmissionGate | None = None,
    ) -> None:
        self.table: RouteTable | None = None
        self.is_config_current = True
        self.shutdown: Shutdown | None = None
        self.stopped_accepting = False
        self.active_requests = 0
        self._dispatcher = dispatcher
        self._streams = streams
        self._quota = quota
        self._is_ready = is_ready
        self._metrics = metrics
        self._pressure = pressure
        self._admission = admission or AdmissionGate(dispatcher.fleet, metrics)

    def is_closing(self) -> bool:
        """Whether connections are closed after their next response.

        An open connection stays with its process, so its caller would get refusals for
        as long as this process is not ready.  The platform routes new connections to
        other processes.
        """
        return self.shutdown is not None or not self._is_ready()

    def rejects_new_requests(self) -> bool:
        """Whether new requests are refused because the process is about to end.

        The time is checked for each request, not by a periodic task: a process that was
        suspended would otherwise accept requests at its end and cut them.
        """
        if self.shutdown is None or self.stopped_accepting:
            return self.stopped_accepting
        max_timeout_s = self.table.max_timeout_s if self.table else math.inf
        now = asyncio.get_running_loop().time()
        return now >= self.shutdown.stop_accepting_at(max_timeout_s)

    def limits(self) -> CallerLimits:
        """Limits in force."""
        return self.table.limits if self.table else CallerLimits()

    def refuse(self, bad: BadRequest, caller_conn: CallerConnection) -> None:
        """Answer a request that could not be read."""
        log.info(
            "request refused",
            extra={
                "request": bad.request_id,
                "status": bad.status,
                "reason": bad.reason,
            },
        )
        failure = Failure(
            code_for_status(bad.status), bad.reason, "no", bad.retry_after_s
        )
        send_failure(caller_conn, bad.request_id, failure)

    async def handle(self, req: Request, caller_conn: CallerConnection) -> None:
        """Answer one request."""
        caller_req = decode_request(req)
        if isinstance(caller_req, InvalidHeader):
            self._reject(caller_conn, "", Failure(Code.BAD_REQUEST, str(caller_req)))
            return
        table = self.table
        if table is None:
            detail = "the configuration is not known yet"
            failure = Failure(Code.NOT_CONFIGURED, detail, "no", RETRY_AFTER_S)
            self._reject(caller_conn, caller_req.id, failure)
            return
        route = table.find(caller_req.host, req.path)
        if route is None and not self.is_config_current:
            # The route may have been added since contact with the store was lost.
            detail = f"no route known, version {table.version} may be old"
            failure = Failure(Code.NOT_CONFIGURED, detail, "no", RETRY_AFTER_S)
            self._reject(caller_conn, caller_req.id, failure)
            return
        if route is None:
            detail = (
                f"no route for {caller_req.host}{req.path} in version {table.version}"
            )
            self._reject(
                caller_conn, caller_req.id, Failure(Code.UNKNOWN_ROUTE, detail)
            )
            return
        customer = self._find_customer(table, route, caller_req.key)
        if isinstance(customer, Failure):
            self._reject(caller_conn, caller_req.id, customer)
            return
        if self.rejects_new_requests():
            # If accepted, it could be cut by the end of the process while its server
            # works.  Nothing has been sent, so another relay can run it.
            detail = "this process is stopping"
            failure = Failure(Code.STOPPING, detail, "no", STOPPING_RETRY_S)
            self._reject(caller_conn, caller_req.id, failure)
            return
        overload = self._find_overload(route, caller_req, customer)
        if overload is not None:
            self._reject(caller_conn, caller_req.id, overload)
            return
        job = Job(
            req,
            caller_req,
            route,
            table,
            caller_conn,
            self.shutdown,
            customer,
            QuotaCheck(self._quota, None),
        )
        job.admission = self._admission.make_check(job, table)
        self.active_requests += 1
        try:
            refusal = self._dispatcher.crashes.refusal(job)
            refusal = refusal or await job.admission.wait_for_start()
            if refusal is not None:
                job.refuse(refusal)
                return
            job.quota_check = self._make_quota_check(job)
            if route.kind is RequestKind.STREAM:
                await self._streams.run(job)
            else:
                await handle_plain_request(job, self._dispatcher)
        finally:
            self.active_requests -= 1
            job.quota_check.cancel()
            job.reason = job.reason or caller_conn.close_reason
            job.admission.record_end()
            self._dispatcher.crashes.record_end(job)
            job.log()
            self._record_metrics(job)

    def _find_overload(
        self, route: Route, caller_req: CallerRequest, customer: Customer | None
    ) -> Failure | None:
        """Return why this process is too loaded for a request; None if it is not."""
        if self._pressure is None:
            return None
        program = scoped_name(customer.name if customer else "", caller_req.program)
        is_running = self._admission.decisions.knows_program(program)
        return self._pressure.refusal(route, caller_req, is_running=is_running)

    def _make_quota_check(self, job: Job) -> QuotaCheck:
        """Request the permit of the customer's quota, if there is one."""
        if job.customer is None:
            return QuotaCheck(self._quota, None)
        is_stream = job.route.kind is RequestKind.STREAM
        may_start = is_stream and not job.caller_req.previous_id
        pending_permit = self._quota.request_permit(
            job.customer, job.caller_req.program, job.route.name if may_start else ""
        )
        return QuotaCheck(self._quota, pending_permit)

    def _find_customer(
        self, table: RouteTable, route: Route, key: str
    ) -> Customer | None | Failure:
        """Return the customer of a request; None if the route needs no key."""
        if table.customers is None or route.is_public:
            return None
        if not key:
            return Failure(Code.UNAUTHORIZED, "one key is needed: Bearer KEY")
        customer = table.customers.find_by_digest(key)
        if customer is not None:
            return customer
        if not self.is_config_current:
            # The key may have been added since contact with the store was lost.
            detail = f"no customer known, version {table.version} may be old"
            return Failure(Code.NOT_CONFIGURED, detail, "no", RETRY_AFTER_S)
        detail = f"no customer holds the key in version {table.version}"
        return Failure(Code.UNAUTHORIZED, detail)

    def _record_metrics(self, job: Job) -> None:
        metrics = self._metrics
        code = job.failure.code.value if job.failure else ""
        metrics.requests.labels(job.service, job.status, code).inc()
        metrics.request_duration.labels(job.service).observe(job.elapsed_s())
        if job.first_event_s:
            metrics.first_event_delay.labels(job.service).observe(job.first_event_s)
        if len(job.tried) > 1:
            metrics.resent_requests.labels(job.service).inc(len(job.tried) - 1)
        if job.customer is not None:
            metrics.count_customer_request(job.customer.name, code or "answered")
            metrics.permit_wait.observe(job.quota_check.waited_s)
        if job.engine_priority is not None:
            metrics.engine_turns.labels(job.engine_priority).inc()
        if job.memory_wait_s:
            metrics.memory_wait.observe(job.memory_wait_s)
        if job.ledger_s:
            metrics.reserve_duration.observe(job.ledger_s)

    def _reject(
        self, caller_conn: CallerConnection, request_id: str, failure: Failure
    ) -> None:
        status = send_failure(caller_conn, request_id, failure)
        self._metrics.requests.labels("", status, failure.code.value).inc()
        log.info(
            "request refused",
            extra={
                "request": request_id,
                "status": status,
                "reason": failure.detail,
            },
        )


class ReadyHandler(Handler):
    """Answers the platform's readiness probes.

    Parameters
    ----------
    is_ready : callable
        Whether the process can serve callers and is not shutting down.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def is_closing(self) -> bool:
        """Keep the platform's connections open."""
        return False

    def limits(self) -> CallerLimits:
        """Limits for probes; the operators' configuration does not change them."""
        return CallerLimits()

    def refuse(self, bad: BadRequest, caller_conn: CallerConnection) -> None:
        """Answer a request that could not be read."""
        send_failure(caller_conn, "", Failure(code_for_status(bad.status), bad.reason))

    async def handle(self, req: Request, caller_conn: CallerConnection) -> None:
        """Answer a probe."""
        if req.path != READY_PATH:
            send_failure(
                caller_conn, "", Failure(Code.UNKNOWN_ROUTE, f"no {req.path} here")
            )
            return
        caller_conn.respond(200 if self._is_ready() else 503, [], b"")
