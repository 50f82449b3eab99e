"""Decoding of the platform's settings file into `NodeOptions`.

The file is TOML.  Unknown fields are ignored, since later versions may add fields.  A
field that is missing or has the wrong type is reported by name, and the process does
not start.
"""

from __future__ import annotations

import tomllib
from typing import Annotated, Final

import msgspec

from ..core.quota import QuotaBounds
from ..nodeoptions import DEFAULT_MAX_DESCRIPTORS, BadNodeSetting, NodeOptions

SETTINGS_VARIABLE: Final = "WISTERIASTAIR_BOOT"
RELAY_CLASS: Final = "front"
BYTES_PER_MB: Final = 1024 * 1024
BYTES_PER_MEGABIT: Final = 1_000_000 / 8
MS_PER_S: Final = 1000.0
# Rules of the platform under which callers and servers may read slowly, and servers
# crash if the requests that they hold exceed their memory.
PRESSURE_CONTRACT: Final = "pressure"


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""


class _Limits(msgspec.Struct, rename="camel"):
    memory_mb: float
    cpu_share: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    cores: Annotated[float, msgspec.Meta(ge=0)] = 1
    link_mbps: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    max_fds: Annotated[int, msgspec.Meta(gt=0)] = DEFAULT_MAX_DESCRIPTORS


class _Tolerate(msgspec.Struct):
    machines: int


class _Bounds(msgspec.Struct, rename="camel"):
    drain_ms: float
    grace_s: float
    settle_ms: float = 1000.0
    config_ms: float = 2000.0
    contact_ms: float = 3000.0
    quota_window_s: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    quota_over: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    quota_slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Platform(msgspec.Struct):
    address: str


class _Settings(msgspec.Struct, rename="camel"):
    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    listen: _Listen
    limits: _Limits
    tolerate: _Tolerate
    bounds: _Bounds
    platform: _Platform
    # True only for the first start of the whole system, on empty disks.
    bootstrap: bool
    data_dir: str = ""
    # Addresses of the instances that serve `control`, which share one internal port.
    seeds: list[str] = []
    # Names of the platform's rules that are in force.
    contracts: list[str] = []


def load_settings(path: str) -> NodeOptions | BadNodeSetting:
    """Load and validate the settings file.

    Parameters
    ----------
    path : str
        Path of the file; empty if the environment names none.

    Returns
    -------
    NodeOptions or BadNodeSetting
        The settings, or the first invalid field.
    """
    if not path:
        return BadNodeSetting(SETTINGS_VARIABLE, "the variable is not set")
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except OSError as exc:
        return BadNodeSetting(path, exc.strerror or str(exc))
    except tomllib.TOMLDecodeError as exc:
        return BadNodeSetting(path, f"not TOML: {exc}")
    try:
        settings = msgspec.convert(raw, type=_Settings)
    except msgspec.ValidationError as exc:
        return _invalid_field(str(exc))
    return _validate(settings)


def _invalid_field(text: str) -> BadNodeSetting:
    """Extract the field from a validation error, such as ``... - at `$.listen```."""
    reason, _, json_path = text.partition(" - at ")
    field = json_path.strip("`").removeprefix("$.") or reason
    return BadNodeSetting(field, reason)


def _validate(settings: _Settings) -> NodeOptions | BadNodeSetting:
    addresses = {
        "platform.address": settings.platform.address,
        "listen.front": settings.listen.front,
        "listen.ready": settings.listen.ready,
    }
    for field, address in addresses.items():
        if address and not _is_address(address):
            return BadNodeSetting(field, f"{address!r} is not IP:PORT")
    if not settings.platform.address:
        return BadNodeSetting("platform.address", "is empty")
    if settings.tolerate.machines < 0:
        return BadNodeSetting("tolerate.machines", "is below 0")
    if settings.bounds.config_ms <= 0:
        return BadNodeSetting("bounds.configMs", "is not above 0")
    if settings.bounds.contact_ms <= 0:
        return BadNodeSetting("bounds.contactMs", "is not above 0")
    return NodeOptions(
        name=settings.node_name,
        ip_address=settings.ip,
        domain=settings.zone,
        internal_port=settings.internal_ports[0],
        store_address=settings.platform.address,
        caller_address=settings.listen.front,
        ready_address=settings.listen.ready,
        data_dir=settings.data_dir,
        memory_bytes=int(settings.limits.memory_mb * BYTES_PER_MB),
        max_failures=settings.tolerate.machines,
        is_first_start=settings.bootstrap,
        grace_s=settings.bounds.grace_s,
        drain_s=settings.bounds.drain_ms / MS_PER_S,
        settle_deadline_s=settings.bounds.settle_ms / MS_PER_S,
        config_deadline_s=settings.bounds.config_ms / MS_PER_S,
        contact_s=settings.bounds.contact_ms / MS_PER_S,
        seeds=tuple(_internal_address(seed, settings) for seed in settings.seeds),
        quota=QuotaBounds(
            settings.bounds.quota_window_s,
            settings.bounds.quota_over,
            settings.bounds.quota_slack,
        ),
        cpu_cores=settings.limits.cpu_share * settings.limits.cores,
        link_bytes_per_s=settings.limits.link_mbps * BYTES_PER_MEGABIT,
        has_memory_pressure=PRESSURE_CONTRACT in settings.contracts,
        max_descriptors=settings.limits.max_fds,
    )


def _internal_address(seed: str, settings: _Settings) -> str:
    return f"{seed.rpartition(':')[0]}:{settings.internal_ports[0]}"


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    return bool(host) and port.isdigit()
