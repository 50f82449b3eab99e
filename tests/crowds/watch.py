"""What a process holds, sampled from outside: memory, unread data and descriptors."""

from __future__ import annotations

import threading
from pathlib import Path
from typing import Final, NamedTuple

import psutil

SAMPLE_INTERVAL_S: Final = 0.05
LISTENING: Final = "0A"


class Peak(NamedTuple):
    """Largest values since the start.

    Attributes
    ----------
    memory_bytes : int
        Resident memory and data that has arrived but is unread, together.
    descriptors : int
        Open descriptors.
    """

    memory_bytes: int
    descriptors: int


class Watch:
    """Samples a process until the end of a ``with`` block.

    Parameters
    ----------
    ports : set of int
        Ports on which the process listens.
    """

    def __init__(self, pid: int, ports: set[int]) -> None:
        self._process = psutil.Process(pid)
        self._ports = ports
        self._peak = Peak(0, 0)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> Watch:
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stopped.set()
        self._thread.join()

    def peak(self) -> Peak:
        """Return the largest values so far."""
        return self._peak

    def _run(self) -> None:
        while not self._stopped.wait(SAMPLE_INTERVAL_S):
            try:
                memory_bytes = self._process.memory_info().rss
                descriptors = self._process.num_fds()
            except psutil.NoSuchProcess:
                return
            memory_bytes += unread_bytes(self._ports)
            self._peak = Peak(
                max(self._peak.memory_bytes, memory_bytes),
                max(self._peak.descriptors, descriptors),
            )


def unread_bytes(ports: set[int]) -> int:
    """Return how much data has arrived at some local ports and is unread."""
    unread = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        port = int(fields[1].rpartition(":")[2], 16)
        if port in ports and fields[3] != LISTENING:
            unread += int(fields[4].rpartition(":")[2], 16)
    return unread
