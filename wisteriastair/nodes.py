"""Commands of the processes that run on the users' platform.

They read their settings from the platform's settings file.  Each imports only the
modules that it runs, which saves startup time and memory.
"""

from __future__ import annotations

import gc
import os
import sys
from collections.abc import Callable
from typing import Final

import anyio

from .allocator import return_large_blocks
from .logs import set_up_daemon_logs
from .nodeoptions import BadNodeSetting, NodeOptions, check_crash_limits
from .platform.settings import SETTINGS_VARIABLE, load_settings
from .scheduling.crashes import MAX_CRASHES, QUARANTINE_S, CrashLimits

EXIT_BAD_SETTING: Final = 2
# Allocations between two garbage collections of the youngest generation.  The default
# of 700 collects several times per request, but reference counting frees nearly all
# objects.
GC_THRESHOLD: Final = 20_000


def relay(
    *,
    settings: str = "",
    log_level: str = "info",
    max_crashes: int = MAX_CRASHES,
    quarantine_s: float = QUARANTINE_S,
) -> int:
    """Run a relay, which forwards callers' requests to backend servers.

    Parameters
    ----------
    settings : str
        Path of the platform's settings file; the default is $WISTERIASTAIR_BOOT.
    log_level : str
        debug, info, warning or error.
    max_crashes : int
        Servers that may crash under one request; the same in every process.
    quarantine_s : float
        Seconds after the last of them for which it is not sent again; at most 30
        for a request without a program.
    """
    limits = CrashLimits(max_crashes, quarantine_s)
    return _start(settings, log_level, limits, _run_relay)


def keeper(
    *,
    settings: str = "",
    log_level: str = "info",
    max_crashes: int = MAX_CRASHES,
    quarantine_s: float = QUARANTINE_S,
) -> int:
    """Run a keeper, which stores a replica of the ledger on an instance with a disk.

    Parameters
    ----------
    settings : str
        Path of the platform's settings file; the default is $WISTERIASTAIR_BOOT.
    log_level : str
        debug, info, warning or error.
    max_crashes : int
        Servers that may crash under one request; the same in every process.
    quarantine_s : float
        Seconds after the last of them for which it is not sent again; at most 30
        for a request without a program.
    """
    limits = CrashLimits(max_crashes, quarantine_s)
    return _start(settings, log_level, limits, _run_keeper)


def _run_relay(cfg: NodeOptions) -> BadNodeSetting | None:
    from .relay.daemon import Relay

    if not cfg.caller_address or not cfg.ready_address:
        return BadNodeSetting("listen.front, listen.ready", "missing")
    anyio.run(Relay(cfg).run)
    return None


def _run_keeper(cfg: NodeOptions) -> BadNodeSetting | None:
    from .keeper.daemon import Keeper

    if not cfg.data_dir:
        return BadNodeSetting("dataDir", "missing")
    anyio.run(Keeper(cfg).run)
    return None


def _start(
    settings: str,
    log_level: str,
    limits: CrashLimits,
    run: Callable[[NodeOptions], BadNodeSetting | None],
) -> int:
    gc.set_threshold(GC_THRESHOLD)
    return_large_blocks()
    cfg = load_settings(settings or os.environ.get(SETTINGS_VARIABLE, ""))
    if not isinstance(cfg, BadNodeSetting):
        cfg = check_crash_limits(limits) or cfg._replace(crash_limits=limits)
    name = "" if isinstance(cfg, BadNodeSetting) else cfg.name
    set_up_daemon_logs(log_level, name)
    bad_setting = cfg if isinstance(cfg, BadNodeSetting) else run(cfg)
    if bad_setting is None:
        return 0
    print(f"wisteriastair: {bad_setting}", file=sys.stderr)
    return EXIT_BAD_SETTING
