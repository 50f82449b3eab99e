"""Addresses of a deployment's processes."""

from __future__ import annotations

import socket

from wisteriastair.standins.deployment import HOST, free_address


def test_others_are_not_assigned_the_port_of_a_free_address() -> None:
    """A process could not listen: a port had been assigned after it was given out."""
    given_out = {free_address() for _ in range(300)}
    listeners = []
    for _ in range(2000):
        listener = socket.socket()
        listener.bind((HOST, 0))
        listeners.append(listener)
    assigned = {f"{HOST}:{conn.getsockname()[1]}" for conn in listeners}
    for listener in listeners:
        listener.close()
    assert given_out.isdisjoint(assigned)
    assert len(given_out) == 300
