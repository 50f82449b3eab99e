"""The operators' configuration: routes, services and limits, and the choice of a route.

The route of a request is the one with the longest prefix of its path among the routes
of its host.  A route that is split between services gives each its share of requests.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import NamedTuple

from .customers import Customers
from .hashing import hash64

HASH_RANGE = 2.0**64


class RequestKind(Enum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """A service and its weight among the requests of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route.

    Attributes
    ----------
    host, prefix : str
        What selects it; the host is in lower case.
    weighted_services : tuple of WeightedService
        Services that answer, at least one.
    timeout_s : float
        Seconds after which a request gets its final answer; 0 for no limit.
    target_latency_s : float
        Seconds within which an answer is on time.
    rank : int
        Urgency; 0 is the most urgent.
    max_servers : int
        Servers on which one request may be run.
    retains_history : bool
        A turn carries only its new input; the system adds what was said before.
    retention_s : float
        Seconds for which turns and budgets are kept.
    resumable : bool
        A stream may go on at another server after its last event.
    target_gap_s : float
        Longest pause between events that is still on time.
    is_public : bool
        Requests need no key.
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
        """Choose the service of a request by its share; stable for a request id."""
        if len(self.weighted_services) == 1:
            return self.weighted_services[0].service
        total = sum(share.weight for share in self.weighted_services)
        mark = hash64("share", self.name, request_id) / HASH_RANGE * total
        for share in self.weighted_services:
            mark -= share.weight
            if mark < 0:
                return share.service
        return self.weighted_services[-1].service


class EngineSpec(NamedTuple):
    """What the configuration says of the engines of a service.

    Attributes
    ----------
    slots : int
        Requests in one batch.
    memory_tokens : int
        Tokens that fit into the memory of one engine.
    tokens_per_event : int
        Tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int


class Service(NamedTuple):
    """A service; `engine` is None if it is a plain one.

    Attributes
    ----------
    max_connections : int
        Connections that one server takes from all callers together.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle, in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Grows with each change; a lower one never replaces a higher one.
    customers : Customers or None
        Who may ask; None where no key is asked for.

    Attributes
    ----------
    max_timeout_s : float
        The longest time that any route gives a request, in seconds; infinite if one
        has no limit.
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
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route
        self.max_timeout_s = max(
            (r.timeout_s or math.inf for r in routes), default=math.inf
        )

    def find(self, host: str, path: str) -> Route | None:
        """Find the route of a request.

        Every prefix begins and ends with a slash, so it is enough to look up each
        part of the path that ends with one, the longest first.
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
