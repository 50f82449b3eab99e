"""Choices that every process must make alike, and ids.

Rendezvous hashing lets all processes agree on who does a job without talking:
each ranks the candidates by a hash of job and candidate.  When a candidate goes,
only its own jobs move.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

WORD_BYTES = 8


def hash64(*parts: str) -> int:
    """Hash of strings as an unsigned 64-bit number."""
    state = blake2b("\x00".join(parts).encode(), digest_size=WORD_BYTES)
    return int.from_bytes(state.digest(), "big")


def rendezvous_order(job: str, candidates: Iterable[str]) -> list[str]:
    """Order candidates by rendezvous hash, the chosen one first."""
    return sorted(candidates, key=lambda name: hash64(job, name), reverse=True)


def program_id(customer: str, key: str) -> str:
    """Id of the program for a customer's idempotency key.

    The same key always gives the same program, through whichever entry it comes, so
    a repeated request joins the program instead of starting a second one.
    """
    state = blake2b(f"{customer}\x00{key}".encode(), digest_size=16)
    return state.hexdigest()


def slot_of(program: str, slots: int) -> int:
    """Slot of a program; sub-agents live in their parent's slot."""
    root = program.split(".", 1)[0]
    return hash64("slot", root) % slots


def address_of(member: str) -> str:
    """Address part of a member id (``address#incarnation``)."""
    return member.split("#", 1)[0]
