"""Settings of the daemons: defaults, and validation at startup.

Each setting is a flag and an environment variable (``--platform-url`` and
``WISTERIASTAIR_PLATFORM_URL``); the flag takes precedence.  An invalid setting ends the
process at startup, with one line that contains its name, its value and the allowed
values.
"""

from __future__ import annotations

import os
import re
from typing import Final, NamedTuple
from urllib.parse import urlsplit

from .core.ordering import ORDERS
from .core.routing import ROUTERS

ENV_PREFIX: Final = "WISTERIASTAIR_"
ADDRESS_PATTERN: Final = re.compile(r"^[0-9.]+:[0-9]{1,5}$")
MAX_SLOTS: Final = 65_536
MAX_PORT: Final = 65_535
BYTES_PER_MB: Final = 1024 * 1024
DEFAULT_MEMORY_MB: Final = 1024


class CommonOptions(NamedTuple):
    """Settings of every daemon.

    Attributes
    ----------
    listen : str
        ``IP:PORT`` for the other processes of the system.
    http : str
        ``IP:PORT`` for callers and operators (entry), or metrics (side).
    domain : str
        Failure domain of this instance.
    platform_url : str
        Base URL of the platform's key-value service and instance list.
    deployment : str
        Name of the deployment; the same in every process, and in no other deployment
        that shares addresses with it.
    slots, segments : int
        Size of the slot table; the same in every process, fixed for a deployment.
    log_level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    trace_file : str
        File for spans, one JSON object per line; empty for none.
    memory_mb : int
        Memory in MB that the process may use.
    """

    listen: str
    http: str
    domain: str
    platform_url: str
    deployment: str = "default"
    slots: int = 64
    segments: int = 4
    log_level: str = "info"
    trace_file: str = ""
    memory_mb: int = DEFAULT_MEMORY_MB


class SideOptions(NamedTuple):
    """Settings of a side process.

    Attributes
    ----------
    models, plain : tuple of str
        Backend servers as ``NAME=URL``: model engines and plain services.
    router, order : str
        Names of policies; see `core.routing` and `core.ordering`.
    running, queued : int
        Maximum number of concurrent and of waiting calls of a gate.
    kv_tokens : int
        Maximum number of tokens of concurrent calls of a gate.
    max_active : int
        Maximum number of running programs on this process.
    max_wait_s : float
        Predicted wait in seconds above which a new program is rejected; 0 for none.
    stop_s : float
        Seconds after which a planned stop exits even if slots could not be handed over;
        0 for no limit.
    prefill_tokens_s : float
        Prompt tokens per second that one engine computes, used to compare costs.
    """

    common: CommonOptions
    models: tuple[str, ...] = ()
    plain: tuple[str, ...] = ()
    router: str = "cost"
    order: str = "program"
    running: int = 8
    queued: int = 64
    kv_tokens: int = 200_000
    max_active: int = 256
    max_wait_s: float = 4.0
    stop_s: float = 0.0
    prefill_tokens_s: float = 8_000.0


class EntryOptions(NamedTuple):
    """Settings of an entry.

    Attributes
    ----------
    caller_tokens : tuple of str
        ``CUSTOMER=TOKEN`` for each customer's bearer token.
    operator_tokens : tuple of str
        ``OPERATOR=TOKEN`` for each operator's bearer token.
    patience_s : float
        Seconds without a message from the primary after which a request times out.
    max_body : int
        Maximum size of a request body in bytes.
    tls_cert, tls_key : str
        Files for TLS with callers and operators; empty for plain HTTP.
    """

    common: CommonOptions
    caller_tokens: tuple[str, ...]
    operator_tokens: tuple[str, ...]
    patience_s: float = 20.0
    max_body: int = 2_000_000
    tls_cert: str = ""
    tls_key: str = ""


class BadSetting(NamedTuple):
    """An invalid setting."""

    name: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"setting {self.name}={self.value!r} is wrong: allowed is {self.allowed}"


def check_common(cfg: CommonOptions) -> BadSetting | None:
    """Check the settings of every daemon; None if all are valid."""
    for name in ("listen", "http"):
        value = getattr(cfg, name)
        if not _is_address(value):
            return BadSetting(f"--{name}", value, "IP:PORT, such as 127.0.0.1:7001")
    if not cfg.deployment:
        return BadSetting("--deployment", cfg.deployment, "a name")
    if not cfg.domain:
        return BadSetting("--domain", cfg.domain, "the name of a failure domain")
    if not _is_url(cfg.platform_url):
        return BadSetting("--platform-url", cfg.platform_url, "http(s)://HOST:PORT")
    if not 1 <= cfg.slots <= MAX_SLOTS:
        return BadSetting("--slots", str(cfg.slots), f"1 to {MAX_SLOTS}")
    if not 1 <= cfg.segments <= cfg.slots:
        return BadSetting("--segments", str(cfg.segments), f"1 to {cfg.slots}")
    if cfg.memory_mb <= 0:
        return BadSetting("--memory-mb", str(cfg.memory_mb), "MB above 0")
    levels = ("debug", "info", "warning", "error")
    if cfg.log_level not in levels:
        return BadSetting("--log-level", cfg.log_level, ", ".join(levels))
    return None


def check_side(cfg: SideOptions) -> BadSetting | None:
    """Check the settings of a side process."""
    bad_setting = check_common(cfg.common)
    if bad_setting is not None:
        return bad_setting
    for name in ("models", "plain"):
        for value in getattr(cfg, name):
            server, _, url = value.partition("=")
            if not server or not _is_url(url):
                return BadSetting(f"--{name}", value, "NAME=http(s)://HOST:PORT")
    if cfg.router not in ROUTERS:
        return BadSetting("--router", cfg.router, ", ".join(ROUTERS))
    if cfg.order not in ORDERS:
        return BadSetting("--order", cfg.order, ", ".join(ORDERS))
    for name in ("running", "queued", "kv_tokens", "max_active", "prefill_tokens_s"):
        number = getattr(cfg, name)
        if number <= 0:
            flag = "--" + name.replace("_", "-")
            return BadSetting(flag, str(number), "a number greater than 0")
    for name in ("max_wait_s", "stop_s"):
        seconds = getattr(cfg, name)
        if seconds < 0:
            flag = "--" + name.replace("_", "-")
            return BadSetting(flag, str(seconds), "seconds, or 0")
    return None


def check_entry(cfg: EntryOptions) -> BadSetting | None:
    """Check the settings of an entry."""
    bad_setting = check_common(cfg.common)
    if bad_setting is not None:
        return bad_setting
    for name in ("caller_tokens", "operator_tokens"):
        flag = "--" + name.replace("_", "-")
        for value in getattr(cfg, name):
            owner, _, token = value.partition("=")
            if not owner or not token:
                return BadSetting(flag, f"{owner}=...", "NAME=TOKEN")
    if cfg.patience_s <= 0:
        return BadSetting("--patience-s", str(cfg.patience_s), "seconds above 0")
    if cfg.max_body <= 0:
        return BadSetting("--max-body", str(cfg.max_body), "bytes above 0")
    if bool(cfg.tls_cert) != bool(cfg.tls_key):
        allowed = "both --tls-cert and --tls-key, or neither"
        return BadSetting("--tls-cert", cfg.tls_cert, allowed)
    for name in ("tls_cert", "tls_key"):
        path = getattr(cfg, name)
        if path and not os.path.isfile(path):
            return BadSetting("--" + name.replace("_", "-"), path, "a file that exists")
    return None


def split_pairs(values: tuple[str, ...]) -> dict[str, str]:
    """Split ``NAME=VALUE`` settings that have been checked."""
    return dict(value.split("=", 1) for value in values)


def _is_address(value: str) -> bool:
    if not ADDRESS_PATTERN.match(value):
        return False
    return 0 < int(value.rsplit(":", 1)[1]) <= MAX_PORT


def _is_url(value: str) -> bool:
    parts = urlsplit(value)
    return parts.scheme in ("http", "https") and bool(parts.netloc)
