"""Settings of the processes that run on the users' platform.

One typed object holds what a relay or a keeper needs to know.  It is filled from the
platform's settings file by `platform.settings`; nothing else reads that file.
"""

from __future__ import annotations

from typing import NamedTuple

from .core.quota import QuotaBounds


class NodeOptions(NamedTuple):
    """Settings of one process on one machine.

    Attributes
    ----------
    name : str
        Name of the instance.
    address : str
        IP number of the instance.
    domain : str
        Failure domain of the instance.
    internal_port : int
        Port for the other processes of the system.
    store : str
        ``IP:PORT`` of the platform's store.
    caller_address : str
        ``IP:PORT`` on which callers are served; empty on a keeper.
    ready_address : str
        ``IP:PORT`` on which the platform asks whether to send callers; empty on a
        keeper.
    data_dir : str
        Folder on the disk; empty on a relay.
    memory_bytes : int
        Memory over which the process is killed.
    max_failures : int
        Instances with a disk that may be lost at once.
    first_start : bool
        True if the whole system starts for the first time.
    grace_s : float
        Seconds between the signal to stop and the kill.
    drain_s : float
        Seconds for which a server that has left still serves.
    seeds : tuple of str
        Addresses for the system's processes of some instances with a disk; they may be
        stale.
    settle_deadline_s : float
        Seconds within which an ended turn must be settled in the ledger.
    config_deadline_s : float
        Seconds within which a configuration must be in force everywhere.
    contact_s : float
        Seconds after the store's return, or its own, within which a process must know
        what the store holds.
    quota : QuotaBounds
        How customers' quotas are judged.
    """

    name: str
    address: str
    domain: str
    internal_port: int
    store: str
    caller_address: str
    ready_address: str
    data_dir: str
    memory_bytes: int
    max_failures: int
    first_start: bool
    grace_s: float
    drain_s: float
    settle_deadline_s: float
    config_deadline_s: float
    contact_s: float
    seeds: tuple[str, ...]
    quota: QuotaBounds = QuotaBounds()

    @property
    def change_s(self) -> float:
        """Seconds within which any change in the store has to be in force."""
        return min(self.drain_s, self.config_deadline_s)

    @property
    def internal(self) -> str:
        """Address for the other processes of the system."""
        return f"{self.address}:{self.internal_port}"


class BadNodeSetting(NamedTuple):
    """A field of the settings file that is missing or cannot be used."""

    field: str
    reason: str

    def __str__(self) -> str:
        return f"settings file: {self.field}: {self.reason}"
