"""Decoding of the documents in the platform's store.

`op/config` holds the operators' whole configuration, `servers/ID` the entry of one
backend server, and `op/retire/NAME` the request to retire an instance with a disk.
`status/quarantine/KEY` tells operators of a request that is not sent any more.  A
document that does not decode yields an error with its key and the reason, never an
empty document.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Final, NamedTuple

import msgspec

from ..core.customers import Customer, CustomerProblem, Customers, Quota
from ..core.membership import View
from ..core.routes import (
    CallerLimits,
    EngineSpec,
    RequestKind,
    Route,
    RouteTable,
    Service,
    WeightedService,
)
from ..decoding import DECODE_ERRORS
from ..scheduling.fleet import Server
from .credentials import KEY_DIGESTS_FIELD

CONFIG_KEY: Final = "op/config"
SERVER_KEY_PREFIX: Final = "servers/"
RETIRE_KEY_PREFIX: Final = "op/retire/"
RETIRE_STATUS_KEY_PREFIX: Final = "status/retire/"
QUARANTINE_KEY_PREFIX: Final = "status/quarantine/"
RETIRE_DONE: Final = b'{"state":"done"}'
RETIRE_RUNNING: Final = b'{"state":"running"}'
# Prefix of the keys that the system itself writes.
SYSTEM_KEY_PREFIX: Final = "wisteriastair/"
VIEW_KEY: Final = SYSTEM_KEY_PREFIX + "ledger-view"
MS_PER_S: Final = 1000.0
MAX_PORT: Final = 65_535
DEFAULT_RETENTION_S: Final = 60.0


class InvalidDocument(NamedTuple):
    """A value in the store that does not decode."""

    key: str
    reason: str


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    prefix: str
    kind: str
    # Longest time that a request may wait for its response; not a connection timeout.
    timeout_ms: float = 0.0
    target_latency_ms: float = 0.0
    # 0 is the most urgent.
    priority: int = 0
    service: str = ""
    split: list[_Split] = []
    # Maximum number of servers that one request is sent to, including the first.
    max_attempts: int = 1
    retain_history: bool = False
    retention_s: float = DEFAULT_RETENTION_S
    sticky: bool = False
    resumable: bool = False
    target_gap_ms: float = 0.0
    no_auth: bool = False


class _Engine(msgspec.Struct, rename="camel"):
    slots: int = 0
    kv_capacity_tokens: int = 0
    tokens_per_event: int = 1


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_conns: int = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct, rename="camel"):
    name: Annotated[str, msgspec.Meta(min_length=1)]
    key_digests: list[str] = []
    # Overrides the priority of the route.
    priority: int | None = None
    # 0 for no limit.
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Decoded one by one, so that one invalid tenant does not invalidate the others.
    tenants: list[object] | msgspec.UnsetType = msgspec.UNSET


class _State(Enum):
    READY = "ready"
    DRAINING = "draining"


class _Server(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: _State
    cold_left_ms: float = 0.0
    # Start time of the server process, in Unix milliseconds.
    born: int = 0


_TENANT_FIELDS: Final = ("name", KEY_DIGESTS_FIELD, "priority", "ratePerS", "burst")


def decode_config(value: bytes) -> RouteTable | InvalidDocument:
    """Decode the operators' configuration."""
    try:
        raw = msgspec.json.decode(value, type=_Config)
        routes = tuple(_route(r) for r in raw.routes)
    except (*DECODE_ERRORS, ValueError) as exc:
        return InvalidDocument(CONFIG_KEY, str(exc))
    services = {s.name: _service(s) for s in raw.services}
    limits = CallerLimits(
        max_header_bytes=raw.limits.max_header_bytes,
        max_body_bytes=raw.limits.max_body_bytes,
        header_timeout_s=raw.limits.header_timeout_ms / MS_PER_S,
        idle_timeout_s=raw.limits.idle_timeout_ms / MS_PER_S,
    )
    customers = None if raw.tenants is msgspec.UNSET else _customers(raw.tenants)
    return RouteTable(raw.version, routes, services, limits, customers)


def _customers(tenants: list[object]) -> Customers:
    customers: list[tuple[Customer, list[str]]] = []
    problems: list[CustomerProblem] = []
    for position, raw in enumerate(tenants):
        name = raw.get("name", position) if isinstance(raw, dict) else position
        try:
            tenant = msgspec.convert(raw, type=_Tenant)
        except msgspec.ValidationError as exc:
            problems.append(CustomerProblem(str(name), "", str(exc)))
            continue
        unknown = sorted(set(_field_names(raw)) - set(_TENANT_FIELDS))
        problems.extend(CustomerProblem(tenant.name, f, "unknown") for f in unknown)
        digests = [digest for digest in tenant.key_digests if digest]
        if len(set(digests)) < len(tenant.key_digests):
            reason = "a key comes twice, or is none"
            problems.append(CustomerProblem(tenant.name, "keys", reason))
        quota = None
        if tenant.rate_per_s > 0:
            quota = Quota(tenant.rate_per_s, tenant.burst)
        customers.append((Customer(tenant.name, tenant.priority, quota), digests))
    return Customers(customers, problems)


def _field_names(document: object) -> list[str]:
    return list(document) if isinstance(document, dict) else []


def _route(raw: _Route) -> Route:
    weighted_services = tuple(WeightedService(s.service, s.weight) for s in raw.split)
    return Route(
        name=raw.name,
        host=raw.host.lower(),
        prefix=raw.prefix,
        kind=RequestKind(raw.kind),
        weighted_services=weighted_services or (WeightedService(raw.service, 1.0),),
        timeout_s=raw.timeout_ms / MS_PER_S,
        target_latency_s=raw.target_latency_ms / MS_PER_S,
        rank=raw.priority,
        max_servers=max(1, raw.max_attempts),
        retains_history=raw.retain_history,
        retention_s=raw.retention_s,
        sticky=raw.sticky,
        resumable=raw.resumable,
        target_gap_s=raw.target_gap_ms / MS_PER_S,
        is_public=raw.no_auth,
    )


def _service(raw: _Service) -> Service:
    engine = None
    if raw.engine is not None:
        engine = EngineSpec(
            raw.engine.slots,
            raw.engine.kv_capacity_tokens,
            raw.engine.tokens_per_event,
        )
    return Service(raw.name, raw.max_conns, engine)


def decode_view(value: bytes) -> View | InvalidDocument:
    """Decode the members of the ledger."""
    try:
        return msgspec.json.decode(value, type=View)
    except DECODE_ERRORS as exc:
        return InvalidDocument(VIEW_KEY, str(exc))


def decode_server(key: str, value: bytes) -> Server | InvalidDocument:
    """Decode the entry of a backend server, whose id is the last part of the key."""
    try:
        raw = msgspec.json.decode(value, type=_Server)
    except DECODE_ERRORS as exc:
        return InvalidDocument(key, str(exc))
    host, _, port = raw.address.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or not 0 < int(port[:6]) <= MAX_PORT:
        return InvalidDocument(key, f"no address: {raw.address!r}")
    return Server(
        id=key.removeprefix(SERVER_KEY_PREFIX),
        service=raw.service,
        address=raw.address,
        domain=raw.zone,
        slots=raw.slots,
        draining=raw.state is _State.DRAINING,
        warmup_s=raw.cold_left_ms / MS_PER_S,
        born=raw.born,
    )
