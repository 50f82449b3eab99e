"""Settings of the processes that run on the users' platform.

`NodeOptions` contains the settings of a relay or a keeper.  `platform.settings` creates
it from the platform's settings file; no other module reads that file.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from .core.quota import QuotaBounds
from .scheduling.crashes import CrashLimits

# Most servers that operators may allow to crash under one request, and the longest
# quarantine in seconds: a day.
MAX_MAX_CRASHES: Final = 100
MAX_QUARANTINE_S: Final = 86_400.0
# For settings without a limit of descriptors.
DEFAULT_MAX_DESCRIPTORS: Final = 4_096


class NodeOptions(NamedTuple):
    """Settings of one process on one machine.

    Attributes
    ----------
    name : str
        Name of the instance.
    ip_address : str
        IP address of the instance.
    domain : str
        Failure domain of the instance.
    internal_port : int
        Port for connections of other processes of the system.
    store_address : str
        ``IP:PORT`` of the platform's store.
    caller_address : str
        ``IP:PORT`` on which callers are served; empty on a keeper.
    ready_address : str
        ``IP:PORT`` on which the platform checks the readiness for callers; empty on a
        keeper.
    data_dir : str
        Data directory on the disk; empty on a relay.
    memory_bytes : int
        Memory limit above which the process is killed.
    max_failures : int
        Number of instances with a disk that may fail at once.
    is_first_start : bool
        True if the whole system starts for the first time.
    grace_s : float
        Seconds between the signal to stop and the kill.
    drain_s : float
        Seconds for which a server still serves after it has left.
    seeds : tuple of str
        Internal addresses of some instances with a disk; they may be outdated.
    settle_deadline_s : float
        Seconds within which an ended turn must be settled in the ledger.
    config_deadline_s : float
        Seconds within which a configuration must be in force everywhere.
    contact_s : float
        Seconds within which a process must have read the store after an outage of the
        store or of the process.
    quota : QuotaBounds
        Criteria by which the operators judge quotas.
    cpu_cores : float
        Processor time per second that the process may use, in cores; 0 if unknown.
    link_bytes_per_s : float
        Bandwidth of the instance's network link in bytes per second; 0 if unknown.
    has_memory_pressure : bool
        Whether callers and servers may read slowly, and servers crash if the requests
        that they hold exceed their memory.
    max_descriptors : int
        Maximum number of open descriptors of the process.
    crash_limits : CrashLimits
        When a request is quarantined, and for how long.
    """

    name: str
    ip_address: str
    domain: str
    internal_port: int
    store_address: str
    caller_address: str
    ready_address: str
    data_dir: str
    memory_bytes: int
    max_failures: int
    is_first_start: bool
    grace_s: float
    drain_s: float
    settle_deadline_s: float
    config_deadline_s: float
    contact_s: float
    seeds: tuple[str, ...]
    quota: QuotaBounds = QuotaBounds()
    cpu_cores: float = 0.0
    link_bytes_per_s: float = 0.0
    has_memory_pressure: bool = False
    crash_limits: CrashLimits = CrashLimits()
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS

    @property
    def change_deadline_s(self) -> float:
        """Seconds within which a change in the store must be in force."""
        return min(self.drain_s, self.config_deadline_s)

    @property
    def internal_address(self) -> str:
        """``IP:PORT`` for connections of other processes of the system."""
        return f"{self.ip_address}:{self.internal_port}"


class BadNodeSetting(NamedTuple):
    """A field of the settings file, or a flag, that is missing or invalid."""

    field: str
    reason: str

    def __str__(self) -> str:
        source = "" if self.field.startswith("--") else "settings file: "
        return f"{source}{self.field}: {self.reason}"


def check_crash_limits(limits: CrashLimits) -> BadNodeSetting | None:
    """Return the flag of a limit that is out of range; None if there is none."""
    if not 1 <= limits.max_crashes <= MAX_MAX_CRASHES:
        return BadNodeSetting("--max-crashes", f"is not in 1 to {MAX_MAX_CRASHES}")
    # A comparison with NaN is false.
    if not 0 < limits.quarantine_s <= MAX_QUARANTINE_S:
        return BadNodeSetting(
            "--quarantine-s", f"is not above 0 and at most {MAX_QUARANTINE_S:.0f}"
        )
    return None
