"""The operators' configuration as a fold of changes.

The whole configuration is one document under one key, so the revision of the key in
the key-value service is the revision of the configuration.  Compare-and-swap puts
all changes in one order; of two concurrent changes only one succeeds.

The document stores the ids of its newest changes.  A process that received no answer
to a write reads the document back and looks for the id of its change, instead of
assuming that the write succeeded or failed.
"""

from __future__ import annotations

from typing import Final, NamedTuple

import msgspec

from ..errors import Code, Failure

CONFIG_KEY: Final = "config"
MAX_STORED_CHANGES: Final = 64
MAX_CONFIG_BYTES: Final = 1_000_000

SERVER_KINDS: Final = ("model", "plain")
SERVER_STATES: Final = ("active", "leaving")


class Tool(NamedTuple):
    """A tool of a service, the plain service behind it and whether calls may repeat."""

    name: str
    provider: str
    repeatable: bool


class Service(NamedTuple):
    """A service of agent programs.

    Attributes
    ----------
    budget : int
        Maximum number of tokens of a program.
    priority : int
        Higher goes first.
    models : tuple of str
        Model versions that the service may use, in order of preference.
    max_turns, max_tokens : int
        See `records.Limits`.
    wall_s, tool_s : float
        See `records.Limits`; seconds.
    waste_weight : float
        Weight of wasted cache against program latency, from 0 to 1.
    tools : tuple of Tool
        Tools its programs may call.
    """

    name: str
    budget: int = 40_000
    priority: int = 5
    models: tuple[str, ...] = ()
    max_turns: int = 65
    max_tokens: int = 1_024
    wall_s: float = 600.0
    tool_s: float = 30.0
    waste_weight: float = 0.5
    tools: tuple[Tool, ...] = ()


class Server(NamedTuple):
    """A backend server.

    Attributes
    ----------
    kind : str
        ``model`` or ``plain``.
    serves : tuple of str
        Model versions, or names of plain services.
    state : str
        ``active`` or ``leaving``; a leaving server gets no new calls.
    """

    name: str
    kind: str
    serves: tuple[str, ...]
    state: str = "active"


class Config(NamedTuple):
    """The whole configuration, with the ids of its newest changes."""

    services: dict[str, Service]
    servers: dict[str, Server]
    changes: tuple[str, ...]


EMPTY_CONFIG: Final = Config({}, {}, ())


class PutService(NamedTuple):
    """Create a service, or replace an existing one."""

    change: str
    create: bool
    service: Service


class DropService(NamedTuple):
    """Remove a service; its running programs finish."""

    change: str
    name: str


class PutServer(NamedTuple):
    """Declare a backend server, or change what it serves."""

    change: str
    server: Server


class SetServerState(NamedTuple):
    """Mark a backend server as leaving or active again."""

    change: str
    name: str
    state: str


class DropServer(NamedTuple):
    """Remove a backend server."""

    change: str
    name: str


Change = PutService | DropService | PutServer | SetServerState | DropServer


def apply_change(config: Config, change: Change) -> Config | Failure:
    """Apply one change.

    Returns
    -------
    Config or Failure
        The new configuration, or the reason for which the change is refused.
    """
    services = dict(config.services)
    servers = dict(config.servers)
    match change:
        case PutService():
            failure = _check_service(config, change)
            services[change.service.name] = change.service
        case DropService():
            failure = _check_known(config.services, "service", change.name)
            services.pop(change.name, None)
        case PutServer():
            failure = _check_server(change.server)
            servers[change.server.name] = change.server
        case SetServerState():
            failure = _check_known(config.servers, "server", change.name)
            if failure is None:
                server = servers[change.name]
                servers[change.name] = server._replace(state=change.state)
        case DropServer():
            failure = _check_known(config.servers, "server", change.name)
            servers.pop(change.name, None)
    if failure is not None:
        return failure
    changes = (*config.changes, change.change)[-MAX_STORED_CHANGES:]
    return Config(services, servers, changes)


def _check_service(config: Config, change: PutService) -> Failure | None:
    service = change.service
    exists = service.name in config.services
    if change.create and exists:
        return Failure(Code.CONFLICT, f"service '{service.name}' already exists")
    if not change.create and not exists:
        return Failure(Code.UNKNOWN_SERVICE, f"no service '{service.name}'")
    for field in ("budget", "max_turns", "max_tokens", "wall_s", "tool_s"):
        if getattr(service, field) <= 0:
            return Failure(Code.BAD_REQUEST, f"{field} must be greater than 0")
    if not 0 <= service.waste_weight <= 1:
        return Failure(Code.BAD_REQUEST, "waste_weight must be from 0 to 1")
    return None


def _check_server(server: Server) -> Failure | None:
    if server.kind not in SERVER_KINDS:
        allowed = " or ".join(SERVER_KINDS)
        return Failure(Code.BAD_REQUEST, f"kind must be {allowed}")
    if not server.serves:
        return Failure(Code.BAD_REQUEST, "a server must serve something")
    return None


def _check_known(
    known: dict[str, Service] | dict[str, Server], what: str, name: str
) -> Failure | None:
    if name in known:
        return None
    code = Code.UNKNOWN_SERVICE if what == "service" else Code.UNKNOWN_SERVER
    return Failure(code, f"no {what} '{name}'")


def encode_config(config: Config) -> bytes:
    """Encode for the key-value service, as JSON so that operators can read it."""
    return msgspec.json.encode(
        {
            "services": [s._asdict() for s in config.services.values()],
            "servers": [s._asdict() for s in config.servers.values()],
            "changes": config.changes,
        }
    )


class _StoredConfig(msgspec.Struct):
    services: list[dict[str, object]]
    servers: list[dict[str, object]]
    changes: tuple[str, ...]


def decode_config(data: bytes) -> Config:
    """Decode the output of `encode_config`; no bytes mean the empty configuration.

    Raises
    ------
    msgspec.ValidationError, msgspec.DecodeError
        If the value was not written by `encode_config`.
    """
    if not data:
        return EMPTY_CONFIG
    stored = msgspec.json.decode(data, type=_StoredConfig)
    services = [_decode_service(fields) for fields in stored.services]
    servers = [_decode_server(fields) for fields in stored.servers]
    return Config(
        {s.name: s for s in services}, {s.name: s for s in servers}, stored.changes
    )


def _decode_service(fields: dict[str, object]) -> Service:
    row = [
        fields.get(name, Service._field_defaults.get(name)) for name in _SERVICE_FIELDS
    ]
    return msgspec.convert(row, Service)


def _decode_server(fields: dict[str, object]) -> Server:
    row = [
        fields.get(name, Server._field_defaults.get(name)) for name in _SERVER_FIELDS
    ]
    return msgspec.convert(row, Server)


_SERVICE_FIELDS: Final = Service._fields
_SERVER_FIELDS: Final = Server._fields
