"""State of one caller's request: its parameters, its deadline, and its outcome.

Every request ends with one log line that holds the inputs of its outcome.
"""

from __future__ import annotations

import asyncio
import logging
from functools import cached_property
from typing import Final

from ..core.customers import Customer, scoped_name
from ..core.routes import RequestKind, Route, RouteTable
from ..core.stopping import Shutdown
from ..errors import Failure
from ..http1.caller import CallerConnection
from ..http1.messages import Request
from ..platform.headers import CallerRequest, common_headers
from ..scheduling.crashes import RequestIdentity, headers_digest
from ..scheduling.fleet import ServerState
from .admission import AdmissionCheck, NoAdmissionCheck
from .answers import send_failure
from .permission import QuotaCheck
from .places import Places

# Statuses of requests whose key is not logged.
UNSUSPICIOUS_STATUSES: Final = range(200, 400)
# Largest body of a request whose key is logged, in bytes.
MAX_KEYED_BODY: Final = 65_536
# For a request without a deadline on a route without a time limit.
DEFAULT_TIMEOUT_S: Final = 30.0

log = logging.getLogger(__name__)


class Job:
    """A caller's request that is being handled.

    Attributes
    ----------
    deadline : float
        Time on the loop's clock by which the answer must be complete: the caller's
        deadline or the route's time limit, whichever is earlier.
    status : int
        Status sent to the caller; 0 if the connection ended without an answer.
    reason : str
        Why the request failed or was retried; empty if neither happened.
    failure : Failure or None
        Failure that the relay itself reported.
    predicted_ms : float
        Predicted milliseconds at the last server, of a paced service; 0 otherwise.
    tried : list of str
        Ids of the servers that were tried, in order.
    sent_to : ServerState or None
        Server that has the request and has not answered it completely.
    was_sent : bool
        Whether a server may have received the request.
    engine_priority : int or None
        Priority at the engine that ran the request last; None if none did.
    memory_wait_s : float
        Seconds for which the request waited for memory of an engine.
    service_ranks : frozenset of int
        Ranks that requests to the service may have.
    sent_at : float
        Time on the loop's clock at which the request was last sent to a server; 0 if it
        was not sent.
    is_reported : bool
        Whether keepers were told of the server that has the request.
    has_place : bool
        Whether that server takes one of the places of the request since then.
    places : Places
        Servers that this attempt may be sent to.
    admission : AdmissionCheck
        Admission of the request.
    customer_name : str or None
        Name that servers receive; empty on a route without keys, None if the
        configuration has no customers.

    Parameters
    ----------
    shutdown : Shutdown or None
        The planned shutdown in progress when the request was accepted.
    customer : Customer or None
        The customer; None on a route without keys.
    quota_check : QuotaCheck
        Permit of the customer's quota.
    """

    def __init__(
        self,
        req: Request,
        caller_req: CallerRequest,
        route: Route,
        table: RouteTable,
        caller_conn: CallerConnection,
        shutdown: Shutdown | None,
        customer: Customer | None,
        quota_check: QuotaCheck,
    ) -> None:
        self.req = req
        self.caller_req = caller_req
        self.route = route
        self.service = route.service_for(caller_req.id)
        self.engine = (
            table.services[self.service].engine
            if (self.service in table.services)
            else None
        )
        self.caller_conn = caller_conn
        self.status = 0
        self.reason = ""
        self.failure: Failure | None = None
        self.tried: list[str] = []
        self.event_count = 0
        self.sent_to: ServerState | None = None
        self.was_sent = False
        self.sent_at = 0.0
        self.is_reported = False
        self.has_place = False
        self.places = Places()
        self.admission: AdmissionCheck = NoAdmissionCheck()
        self.ledger_s = 0.0
        self.first_event_s = 0.0
        self.predicted_ms = 0.0
        self.engine_priority: int | None = None
        self.memory_wait_s = 0.0
        self.service_ranks = table.ranks(self.service)
        self.customer = customer
        self.quota_check = quota_check
        self.customer_name: str | None = None
        if table.customers is not None:
            self.customer_name = customer.name if customer else ""
        self._config_version = table.version
        self._shutdown = shutdown
        wait_s = DEFAULT_TIMEOUT_S if caller_req.wait_s is None else caller_req.wait_s
        if route.timeout_s > 0:
            wait_s = min(wait_s, route.timeout_s)
        self.deadline = req.received_at + wait_s

    @property
    def priority(self) -> int:
        """Priority, 0 is the most urgent; the customer's overrides the route's."""
        customer = self.customer
        if customer is None or customer.rank is None:
            return self.route.rank
        return customer.rank

    @property
    def turn_id(self) -> str:
        """Id of this turn, unique among all customers."""
        return self.scoped_id(self.caller_req.id)

    @cached_property
    def identity(self) -> RequestIdentity:
        """What all attempts of this request have in common."""
        req, caller_req = self.req, self.caller_req
        return RequestIdentity(
            self.customer_name or "",
            req.method,
            caller_req.host,
            req.target,
            caller_req.program,
            caller_req.session,
            caller_req.previous_id,
            req.body,
            b"" if caller_req.program else self.variant,
        )

    @cached_property
    def variant(self) -> bytes:
        """Digest of the headers that all attempts of this request have in common."""
        return headers_digest(common_headers(self.req))

    @cached_property
    def envelope(self) -> RequestIdentity:
        """Identity without the body, which may be large."""
        return self.identity._replace(body=b"")

    @cached_property
    def request_digest(self) -> bytes:
        """Digest of what all attempts have in common, whatever their headers.

        Requests that differ only in the middle of a large body have the same one.
        """
        return self.identity._replace(variant=b"").sampled_digest()

    @property
    def hash_item(self) -> str:
        """What the servers of this request are computed from.

        The turns of a session have the same servers, which hold its prompt.
        """
        if self.route.kind is not RequestKind.STREAM or not self.caller_req.program:
            return self.request_digest.hex()
        return f"{self.scoped_id(self.caller_req.program)}\0{self.caller_req.session}"

    @property
    def admitted_at(self) -> float:
        """Time on the loop's clock at which keepers could be asked first."""
        return self.req.received_at + self.admission.waited_s

    def scoped_id(self, name: str) -> str:
        """Return the id of a program or turn, made unique among all customers."""
        return scoped_name(self.customer_name or "", name)

    def remaining_s(self) -> float:
        """Seconds until the response must be complete."""
        return self.deadline - self.now()

    def elapsed_s(self) -> float:
        """Seconds since the request arrived."""
        return self.now() - self.req.received_at

    def now(self) -> float:
        """Time on the loop's clock."""
        return asyncio.get_running_loop().time()

    def refuse(self, failure: Failure) -> None:
        """Answer the request with a failure before anything was done for it."""
        self.failure = failure
        self.reason = failure.detail
        self.status = send_failure(self.caller_conn, self.caller_req.id, failure)

    def log(self) -> None:
        """Log the end of the request."""
        stopping = {}
        if self._shutdown is not None:
            since_shutdown_s = self.req.received_at - self._shutdown.started_at
            stopping["stopping_ms"] = round(since_shutdown_s * 1000)
        predicted = {}
        if self.predicted_ms:
            predicted["predicted_ms"] = round(self.predicted_ms)
        key = {}
        is_keyed = self.was_sent and self.status not in UNSUSPICIOUS_STATUSES
        if is_keyed and len(self.req.body) <= MAX_KEYED_BODY:
            key["key"] = self.identity.key().hex()
        log.info(
            "request ended" if self.status else "request broken off",
            extra={
                **stopping,
                **predicted,
                **key,
                "request": self.caller_req.id,
                "program": self.caller_req.program,
                "customer": self.customer_name or "",
                "route": self.route.name,
                "service": self.service,
                "config": self._config_version,
                "status": self.status,
                "reason": self.reason,
                "servers": self.tried,
                "sent": self.was_sent,
                "events": self.event_count,
                "engine_priority": self.engine_priority,
                "memory_ms": round(self.memory_wait_s * 1000, 1),
                "ledger_ms": round(self.ledger_s * 1000, 1),
                "permit_ms": round(self.quota_check.waited_s * 1000, 1),
                "admission": self.admission.verdict,
                "admission_ms": round(self.admission.waited_s * 1000, 1),
                "first_ms": round(self.first_event_s * 1000, 1),
                "took_ms": round(self.elapsed_s() * 1000, 1),
                "left_ms": round(self.remaining_s() * 1000),
            },
        )
