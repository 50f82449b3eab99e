"""A caller's request under way: what it is, how long it may take, what happened.

Every request ends in one log line with the inputs that decided it.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Final

from ..core.customers import Customer, scoped_name
from ..core.routes import Route, RouteTable
from ..core.stopping import Shutdown
from ..errors import Failure
from ..http1.caller import CallerConnection
from ..http1.messages import Request
from ..platform.headers import CallerRequest
from .permission import Permission

# For a caller that does not say how long it waits, on a route without a limit; seconds.
WAIT_S: Final = 30.0

log = logging.getLogger(__name__)


class Job:
    """A request on its way.

    Attributes
    ----------
    until : float
        When the answer must be complete, on the loop's clock: the caller's patience or
        the route's limit, whichever ends first.
    status : int
        What the caller was answered; 0 for a channel that ended without an answer.
    reason : str
        Why it did not go well; empty if it did.
    failure : Failure or None
        What the system itself answered.

    Parameters
    ----------
    shutdown : Shutdown or None
        The planned stop that was under way when the request was taken.
    customer : Customer or None
        Who asks; None on a route without keys.
    permission : Permission
        What its customer's quota says.
    """

    def __init__(
        self,
        req: Request,
        asked: CallerRequest,
        route: Route,
        table: RouteTable,
        caller_conn: CallerConnection,
        shutdown: Shutdown | None,
        customer: Customer | None,
        permission: Permission,
    ) -> None:
        self.req = req
        self.asked = asked
        self.route = route
        self.service = route.service_for(asked.id)
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
        self.events = 0
        self.sent = False
        self.ledger_s = 0.0
        self.first_s = 0.0
        self.customer = customer
        self.permission = permission
        # What servers are told; None where the configuration names no customers.
        self.customer_name: str | None = None
        if table.customers is not None:
            self.customer_name = customer.name if customer else ""
        self._config = table.version
        self._shutdown = shutdown
        wait_s = WAIT_S if asked.wait_s is None else asked.wait_s
        if route.timeout_s > 0:
            wait_s = min(wait_s, route.timeout_s)
        self.until = req.received_at + wait_s

    @property
    def rank(self) -> int:
        """Urgency, 0 first: the customer's comes before the route's."""
        customer = self.customer
        if customer is None or customer.rank is None:
            return self.route.rank
        return customer.rank

    @property
    def turn(self) -> str:
        """Name of this turn among those of all customers."""
        return self.own(self.asked.id)

    def own(self, name: str) -> str:
        """Name of a program or turn of this customer among those of all."""
        return scoped_name(self.customer_name or "", name)

    def remaining_s(self) -> float:
        """Seconds until the answer must be complete."""
        return self.until - self.now()

    def age_s(self) -> float:
        """Seconds since the request arrived."""
        return self.now() - self.req.received_at

    def now(self) -> float:
        """Time on the loop's clock."""
        return asyncio.get_running_loop().time()

    def log(self) -> None:
        """Write the line that explains the request."""
        stopping = {}
        if self._shutdown is not None:
            taken_s = self.req.received_at - self._shutdown.started_at
            stopping["stopping_ms"] = round(taken_s * 1000)
        log.info(
            "request ended" if self.status else "request broken off",
            extra={
                **stopping,
                "request": self.asked.id,
                "program": self.asked.program,
                "customer": self.customer_name or "",
                "route": self.route.name,
                "service": self.service,
                "config": self._config,
                "status": self.status,
                "reason": self.reason,
                "servers": self.tried,
                "sent": self.sent,
                "events": self.events,
                "ledger_ms": round(self.ledger_s * 1000, 1),
                "permit_ms": round(self.permission.waited_s * 1000, 1),
                "first_ms": round(self.first_s * 1000, 1),
                "took_ms": round(self.age_s() * 1000, 1),
                "left_ms": round(self.remaining_s() * 1000),
            },
        )
