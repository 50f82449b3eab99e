"""How many connections of callers and of probes a process may have.

Load pattern: hundreds or thousands of connections that send nothing, or parts of
requests.  Each takes memory and a descriptor, whether or not it has a request, and data
that has arrived counts as memory of the process before it is read.  Connections to
servers, keepers and the store, and files, need descriptors too.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from .buffers import RESTING_BYTES

# Size of the receive buffer of a connection.  The system lets half as much more arrive.
RECEIVE_BUFFER_BYTES: Final = 16 * 1024
# Objects of a connection without a request.
CONNECTION_BYTES: Final = 12 * 1024 + RECEIVE_BUFFER_BYTES * 3 // 2
# Part of the memory of a process, less that at rest and its caches, for connections.
MEMORY_FRACTION: Final = 0.4
# For memory limits near the size of a process without load.
MIN_CALLER_CONNECTIONS: Final = 64
# Descriptors that the platform reserves.
RESERVED_DESCRIPTORS: Final = 200
# Part of the other descriptors for callers; the rest is for servers, keepers and files.
DESCRIPTOR_FRACTION: Final = 0.5
# For each listener for probes or scrapes.  The platform probes on one connection.
MAX_PROBE_CONNECTIONS: Final = 16
# Connections accepted in one iteration of the event loop.  They have descriptors before
# others can be closed in return.
ACCEPTS_PER_ITERATION: Final = 16


class ConnectionLimits(NamedTuple):
    """Maximum numbers of connections of callers, and of each listener for probes."""

    callers: int
    probes: int = MAX_PROBE_CONNECTIONS


def make_connection_limits(
    memory_bytes: int, cache_bytes: int, max_descriptors: int
) -> ConnectionLimits:
    """Compute the limits of a process.

    Parameters
    ----------
    memory_bytes : int
        Memory limit above which the process is killed.
    cache_bytes : int
        Maximum size of its caches.
    max_descriptors : int
        Maximum number of open descriptors, those included that the platform reserves.
    """
    free_bytes = memory_bytes - RESTING_BYTES - cache_bytes
    by_memory = int(free_bytes * MEMORY_FRACTION) // CONNECTION_BYTES
    free_descriptors = max(0, max_descriptors - RESERVED_DESCRIPTORS)
    by_descriptors = int(free_descriptors * DESCRIPTOR_FRACTION)
    callers = min(max(MIN_CALLER_CONNECTIONS, by_memory), max(1, by_descriptors))
    return ConnectionLimits(callers)
