"""Rendezvous hashing and ids that all processes must compute identically.

With rendezvous hashing all processes agree on an assignment without communication: each
ranks the candidates by a hash of item and candidate. If a candidate is removed, only
its own items move.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import Final

HASH_BYTES = 8
# Bits of a hash that make up a score: a float holds them and half of the last one, so
# that no score is infinite.
SCORE_BITS: Final = 52


def hash64(*parts: str) -> int:
    """Return an unsigned 64-bit hash of strings."""
    state = blake2b("\x00".join(parts).encode(), digest_size=HASH_BYTES)
    return int.from_bytes(state.digest(), "big")


def rendezvous_order(item: str, candidates: Iterable[str]) -> list[str]:
    """Order candidates by rendezvous hash of the item, the chosen one first."""
    return sorted(candidates, key=lambda name: hash64(item, name), reverse=True)


def weighted_score(hash_value: int, weight: float) -> float:
    """Return the score of a candidate in weighted rendezvous hashing.

    The candidate with the highest score is chosen. Its probability is proportional to
    its weight, and if a weight changes, only items of that candidate move. With equal
    weights the order is that of the hashes.

    Parameters
    ----------
    hash_value : int
        Hash of item and candidate.
    weight : float
        Greater than 0.
    """
    leading_bits = hash_value >> (8 * HASH_BYTES - SCORE_BITS)
    return -weight / math.log((leading_bits + 0.5) / 2.0**SCORE_BITS)


def weighted_rendezvous_order(item: str, weights: Mapping[str, float]) -> list[str]:
    """Order candidates by weighted rendezvous hash of the item."""
    return sorted(
        weights,
        key=lambda name: weighted_score(hash64(item, name), weights[name]),
        reverse=True,
    )


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
