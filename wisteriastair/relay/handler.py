"""What a relay does with a request: find its route, then answer by its kind.

What is not known is answered "come back", never "not there": a process that has no
configuration yet cannot say that a route does not exist.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Final

from ..core.customers import Customer
from ..core.routes import CallerLimits, RequestKind, Route, RouteTable
from ..core.stopping import Shutdown
from ..errors import Code, Failure
from ..http1.caller import CallerConnection, Handler
from ..http1.messages import BadRequest, Request
from ..nodemetrics import RelayMetrics
from ..platform.headers import READY_PATH, InvalidHeader, decode_request
from .answers import code_of, fail
from .dispatch import Dispatcher
from .job import Job
from .permission import Permission
from .plain import COME_BACK_S, run_plain
from .quota import QuotaClient
from .streams import StreamRelay

# When to come back to another process if this one is stopping, in seconds: at once,
# but for a pause that keeps a caller from spinning where all of them are.
ELSEWHERE_S: Final = 0.05

log = logging.getLogger(__name__)


class RelayHandler(Handler):
    """Answers callers' requests by the configuration in force.

    Parameters
    ----------
    dispatcher : Dispatcher
        Sends requests to servers.
    streams : StreamRelay
        Answers streamed turns.
    quota : QuotaClient
        Asks for permits of customers with a quota.
    is_ready : callable
        Whether callers are wanted here.
    metrics : RelayMetrics
        Counts what becomes of requests.

    Attributes
    ----------
    shutdown : Shutdown or None
        The planned stop under way.
    last_call : bool
        Whether the stop has come so far that nothing more is taken, early or in time.
    under_way : int
        Requests that were taken and have not ended.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        streams: StreamRelay,
        quota: QuotaClient,
        is_ready: Callable[[], bool],
        metrics: RelayMetrics,
    ) -> None:
        self.table: RouteTable | None = None
        # Whether the configuration is known to be the newest one.
        self.certain = True
        self.shutdown: Shutdown | None = None
        self.last_call = False
        self.under_way = 0
        self._dispatcher = dispatcher
        self._streams = streams
        self._quota = quota
        self._is_ready = is_ready
        self._metrics = metrics

    def is_closing(self) -> bool:
        """Whether channels are to end after their next answer.

        An open channel stays with its process, so callers of one that is cut off would
        meet refusals here for as long as they keep it; on a new channel the platform
        leads them elsewhere.
        """
        return self.shutdown is not None or not self._is_ready()

    def takes_no_more(self) -> bool:
        """Whether requests that come now are refused, since the process is to end.

        The clock decides, not who looks at it from time to time: a process that stood
        still would take requests at its end, and cut them.
        """
        if self.shutdown is None or self.last_call:
            return self.last_call
        max_timeout_s = self.table.max_timeout_s if self.table else math.inf
        now = asyncio.get_running_loop().time()
        return now >= self.shutdown.stop_accepting_at(max_timeout_s)

    def limits(self) -> CallerLimits:
        """Limits in force."""
        return self.table.limits if self.table else CallerLimits()

    def refuse(self, bad: BadRequest, caller_conn: CallerConnection) -> None:
        """Answer a request that could not be taken."""
        log.info("request refused", extra={"status": bad.status, "reason": bad.reason})
        fail(caller_conn, "", Failure(code_of(bad.status), bad.reason))

    async def handle(self, req: Request, caller_conn: CallerConnection) -> None:
        """Answer one request."""
        asked = decode_request(req)
        if isinstance(asked, InvalidHeader):
            self._deny(caller_conn, "", Failure(Code.BAD_REQUEST, str(asked)))
            return
        table = self.table
        if table is None:
            detail = "the configuration is not known yet"
            failure = Failure(Code.NOT_CONFIGURED, detail, "no", COME_BACK_S)
            self._deny(caller_conn, asked.id, failure)
            return
        route = table.find(asked.host, req.path)
        if route is None and not self.certain:
            # The route may have been added since the store was last heard.
            detail = f"no route known, version {table.version} may be old"
            failure = Failure(Code.NOT_CONFIGURED, detail, "no", COME_BACK_S)
            self._deny(caller_conn, asked.id, failure)
            return
        if route is None:
            detail = f"no route for {asked.host}{req.path} in version {table.version}"
            self._deny(caller_conn, asked.id, Failure(Code.UNKNOWN_ROUTE, detail))
            return
        customer = self._customer(table, route, asked.key)
        if isinstance(customer, Failure):
            self._deny(caller_conn, asked.id, customer)
            return
        if self.takes_no_more():
            # Taken now it would be cut by the end of the process, with its server at
            # work.  Nothing has been sent anywhere, so another relay can run it.
            detail = "this process is stopping"
            failure = Failure(Code.STOPPING, detail, "no", ELSEWHERE_S)
            self._deny(caller_conn, asked.id, failure)
            return
        ticket = None
        if customer is not None:
            starts = route.kind is RequestKind.STREAM and not asked.previous_id
            kind = route.name if starts else ""
            ticket = self._quota.ask(customer, asked.program, kind)
        permission = Permission(self._quota, ticket)
        job = Job(
            req, asked, route, table, caller_conn, self.shutdown, customer, permission
        )
        self.under_way += 1
        try:
            if route.kind is RequestKind.STREAM:
                await self._streams.run(job)
            else:
                await run_plain(job, self._dispatcher)
        finally:
            self.under_way -= 1
            job.permission.drop()
            job.log()
            self._count(job)

    def _customer(
        self, table: RouteTable, route: Route, key: str
    ) -> Customer | None | Failure:
        """Return who asks; None where no key is asked for."""
        if table.customers is None or route.is_public:
            return None
        if not key:
            return Failure(Code.UNAUTHORIZED, "one key is needed: Bearer KEY")
        customer = table.customers.find_by_digest(key)
        if customer is not None:
            return customer
        if not self.certain:
            # It may have been added since the store was last heard.
            detail = f"no customer known, version {table.version} may be old"
            return Failure(Code.NOT_CONFIGURED, detail, "no", COME_BACK_S)
        detail = f"no customer holds the key in version {table.version}"
        return Failure(Code.UNAUTHORIZED, detail)

    def _count(self, job: Job) -> None:
        metrics = self._metrics
        code = job.failure.code.value if job.failure else ""
        metrics.requests.labels(job.service, job.status, code).inc()
        metrics.took.labels(job.service).observe(job.age_s())
        if job.first_s:
            metrics.first.labels(job.service).observe(job.first_s)
        if job.customer is not None:
            metrics.count_customer(job.customer.name, code or "answered")
            metrics.permit.observe(job.permission.waited_s)
        if job.ledger_s:
            metrics.ledger.observe(job.ledger_s)

    def _deny(
        self, caller_conn: CallerConnection, request_id: str, failure: Failure
    ) -> None:
        status = fail(caller_conn, request_id, failure)
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
    """Answers the platform's question whether to send callers here.

    Parameters
    ----------
    is_ready : callable
        Whether everything is known that answers need, and no stop is under way.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def is_closing(self) -> bool:
        """Keep channels of the platform open."""
        return False

    def limits(self) -> CallerLimits:
        """Limits of its own, whatever the operators' configuration says."""
        return CallerLimits()

    def refuse(self, bad: BadRequest, caller_conn: CallerConnection) -> None:
        """Answer a request that could not be taken."""
        fail(caller_conn, "", Failure(code_of(bad.status), bad.reason))

    async def handle(self, req: Request, caller_conn: CallerConnection) -> None:
        """Answer the question."""
        if req.path != READY_PATH:
            fail(caller_conn, "", Failure(Code.UNKNOWN_ROUTE, f"no {req.path} here"))
            return
        caller_conn.respond(200 if self._is_ready() else 503, [], b"")
