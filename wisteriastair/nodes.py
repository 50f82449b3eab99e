"""Commands of the processes that run on the users' platform.

They take their settings from the platform's file and import only what they run, since
start and memory of every one of them are paid for.
"""

from __future__ import annotations

import gc
import os
import sys
from typing import Final

import anyio

from .logs import set_up_daemon_logs
from .nodeoptions import BadNodeSetting, NodeOptions
from .platform.settings import SETTINGS_VARIABLE, load_settings

EXIT_BAD_SETTING: Final = 2
# Objects allocated between two collections of the youngest generation.  The default of
# 700 collects several times a request; nearly all objects here die by their counts.
GC_THRESHOLD: Final = 20_000


def relay(*, settings: str = "", log_level: str = "info") -> int:
    """Run a relay: callers' requests on their way to backend servers.

    Parameters
    ----------
    settings : str
        Path of the platform's settings file; by default what WISTERIASTAIR_BOOT names.
    log_level : str
        debug, info, warning or error.
    """
    from .relay.daemon import Relay

    cfg = _prepare(settings, log_level)
    if isinstance(cfg, BadNodeSetting):
        return _complain(cfg)
    if not cfg.callers or not cfg.ready:
        return _complain(BadNodeSetting("listen.front, listen.ready", "missing"))
    anyio.run(Relay(cfg).run)
    return 0


def keeper(*, settings: str = "", log_level: str = "info") -> int:
    """Run a keeper: a replica of the ledger on an instance with a disk.

    Parameters
    ----------
    settings : str
        Path of the platform's settings file; by default what WISTERIASTAIR_BOOT names.
    log_level : str
        debug, info, warning or error.
    """
    from .keeper.daemon import Keeper

    cfg = _prepare(settings, log_level)
    if isinstance(cfg, BadNodeSetting):
        return _complain(cfg)
    if not cfg.data_dir:
        return _complain(BadNodeSetting("dataDir", "missing"))
    anyio.run(Keeper(cfg).run)
    return 0


def _prepare(settings: str, log_level: str) -> NodeOptions | BadNodeSetting:
    set_up_daemon_logs(log_level)
    gc.set_threshold(GC_THRESHOLD)
    return load_settings(settings or os.environ.get(SETTINGS_VARIABLE, ""))


def _complain(bad: BadNodeSetting) -> int:
    print(f"wisteriastair: {bad}", file=sys.stderr)
    return EXIT_BAD_SETTING
