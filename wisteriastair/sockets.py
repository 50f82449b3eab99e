"""Limit of open descriptors, and TCP options that detect half-open connections.

A device between the two ends may lose the state of a connection, or drop all its
packets, while new connections work.  Keep-alive probes and a timeout for unacknowledged
data close such a connection in about two seconds.  Without them it would stay open for
hours.
"""

from __future__ import annotations

import resource
import socket
from typing import Final

KEEPALIVE_S: Final = 1
KEEPALIVE_PROBES: Final = 2
UNACKED_DATA_TIMEOUT_MS: Final = 2_000

SOCKET_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_DATA_TIMEOUT_MS),
)


def max_open_descriptors(configured: int) -> int:
    """Return the number of descriptors that the process may have open.

    Parameters
    ----------
    configured : int
        Limit in the settings; the system's limit may be lower.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return configured
    return min(configured, soft_limit)


def set_options(sock: socket.socket) -> None:
    """Set the options on a connected socket."""
    for level, option, value in SOCKET_OPTIONS:
        sock.setsockopt(level, option, value)
