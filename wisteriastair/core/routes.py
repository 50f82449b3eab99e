"""The operators' configuration of routes, services and limits; route lookup.

A request gets the route with the longest matching path prefix among the routes of its
host. A route may split its requests between several services by weight.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import NamedTuple

from .customers import Customers
from .hashing import hash64

HASH_RANGE = 2.0**64


class RequestKind(Enum):
    """Determines whether and how a request may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route.

    Attributes
    ----------
    host, prefix : str
        Host in lower case and path prefix that select the route.
    weighted_services : tuple of WeightedService
        Services that answer, at least one.
    timeout_s : float
        Seconds after which a request gets its final response; 0 for no limit.
    target_latency_s : float
        Seconds within which a response is on time.
    rank : int
        Urgency; 0 is the most urgent.
    max_servers : int
        Maximum number of servers on which one request may run.
    retains_history : bool
        A turn contains only its new input; the system adds the conversation so far.
    retention_s : float
        Seconds for which turns and budgets are stored.
    resumable : bool
        A stream may be resumed on another server after its last event.
    target_gap_s : float
        Longest pause in seconds between events that are on time.
    is_public : bool
        Requests need no API key.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    weighted_services: tuple[WeightedService, ...]
    timeout_s: float
    target_latency_s: float
    rank: int
    max_servers: int
    retains_history: bool
    retention_s: float
    sticky: bool
    resumable: bool
    target_gap_s: float
    is_public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether the same request may run twice."""
        return self.kind is RequestKind.SAFE

    def service_for(self, request_id: str) -> str:
        """Choose a service by weight; the same request id gives the same service."""
        if len(self.weighted_services) == 1:
            return self.weighted_services[0].service
        total = sum(share.weight for share in self.weighted_services)
        position = hash64("share", self.name, request_id) / HASH_RANGE * total
        for share in self.weighted_services:
            position -= share.weight
            if position < 0:
                return share.service
        return self.weighted_services[-1].service


class EngineSpec(NamedTuple):
    """Configured properties of a service's engines.

    Attributes
    ----------
    slots : int
        Maximum number of requests in one batch.
    memory_tokens : int
        Tokens that fit into the memory of one engine.
    tokens_per_event : int
        Tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int


class Service(NamedTuple):
    """A service; `engine` is None for a plain service.

    Attributes
    ----------
    max_connections : int
        Maximum number of connections to one server from all callers together.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None


class CallerLimits(NamedTuple):
    """Limits of a caller's request sizes (bytes) and timeouts (seconds)."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Increases with each change. A lower version never replaces a higher one.
    customers : Customers or None
        Customers with API keys; None if no key is required.

    Attributes
    ----------
    max_timeout_s : float
        Longest timeout of any route in seconds; infinite if a route has no limit.
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: dict[str, Service],
        limits: CallerLimits,
        customers: Customers | None = None,
    ) -> None:
        self.customers = customers
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self._by_host: dict[str, dict[str, Route]] = {}
        self._ranks: dict[str, frozenset[int]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route
        self.max_timeout_s = max(
            (r.timeout_s or math.inf for r in routes), default=math.inf
        )

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None.

        Every route prefix starts and ends with a slash, so it is enough to look up the
        parts of the path that end with a slash, longest first.
        """
        routes = self._by_host.get(host)
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def ranks(self, service: str) -> frozenset[int]:
        """Return the ranks that streamed requests to a service may have."""
        known = self._ranks.get(service)
        if known is None:
            known = self._ranks[service] = self._find_ranks(service)
        return known

    def _find_ranks(self, service: str) -> frozenset[int]:
        routes = [
            route
            for route in self.routes
            if route.kind is RequestKind.STREAM
            and any(share.service == service for share in route.weighted_services)
        ]
        ranks = {route.rank for route in routes}
        if self.customers is not None and any(not r.is_public for r in routes):
            customers = self.customers.by_name.values()
            ranks |= {c.rank for c in customers if c.rank is not None}
        return frozenset(ranks)
