"""Writing of the platform's settings file for processes started by tests."""

from __future__ import annotations

import json
from pathlib import Path


def write_settings(
    path: Path,
    *,
    name: str,
    ip: str,
    zone: str,
    internal_port: int,
    store: str,
    data_dir: Path,
    seeds: tuple[str, ...] = (),
    front: str = "",
    ready: str = "",
    memory_mb: int = 150,
    max_fds: int = 4100,
    contracts: tuple[str, ...] = (),
    grace_s: int = 8,
) -> Path:
    """Write a settings file and return its path.

    Parameters
    ----------
    seeds : tuple of str
        ``IP:PORT`` of instances with a disk.
    front, ready : str
        Addresses that a relay listens on; empty for a keeper.
    contracts : tuple of str
        Names of the platform's rules that are in force.
    """
    path.write_text(
        f"""
nodeName = "{name}"
ip = "{ip}"
zone = "{zone}"
internalPorts = [{internal_port}, {internal_port}]
seeds = {json.dumps(list(seeds))}
bootstrap = true
contracts = {json.dumps(list(contracts))}
dataDir = "{data_dir}"
listen = {{ front = "{front}", ready = "{ready}" }}
platform = {{ address = "{store}" }}
limits = {{ memoryMb = {memory_mb}, maxFds = {max_fds} }}
tolerate = {{ machines = 1 }}

[bounds]
drainMs = 2000
graceS = {grace_s}
quotaWindowS = 5
quotaOver = 0.1
quotaSlack = 20

"""
    )
    return path
