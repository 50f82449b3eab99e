"""Rendezvous hashing and ids that all processes must compute identically.

With rendezvous hashing all processes agree on an assignment without communication: each
ranks the candidates by a hash of item and candidate. If a candidate is removed, only
its own items move.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

HASH_BYTES = 8


def hash64(*parts: str) -> int:
    """Return an unsigned 64-bit hash of strings."""
    state = blake2b("\x00".join(parts).encode(), digest_size=HASH_BYTES)
    return int.from_bytes(state.digest(), "big")


def rendezvous_order(item: str, candidates: Iterable[str]) -> list[str]:
    """Order candidates by rendezvous hash of the item, the chosen one first."""
    return sorted(candidates, key=lambda name: hash64(item, name), reverse=True)


def program_id(customer: str, key: str) -> str:
    """Return the id of the program for a customer's idempotency key.

    The same key gives the same program through every entry process. A repeated request
    thus joins the program and does not start a second one.
    """
    state = blake2b(f"{customer}\x00{key}".encode(), digest_size=16)
    return state.hexdigest()


def slot_of(program: str, slots: int) -> int:
    """Return the slot of a program; sub-agents share the slot of their parent."""
    root = program.split(".", 1)[0]
    return hash64("slot", root) % slots


def address_of(member: str) -> str:
    """Return the address of a member id (``address#incarnation``)."""
    return member.split("#", 1)[0]
