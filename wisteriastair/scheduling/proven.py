"""Requests without a program that a server has answered and outlived.

Many callers ask for the same page. Confined to a few servers, a popular page would
overload these, so a page that is known to do no harm may go to any server. An answer
alone proves nothing, as the server may end right after it: the server must have
responded to a request that it got some time later.
"""

from __future__ import annotations

import math
from typing import Final, NamedTuple

from .crashes import MAX_ANSWERED_BODY, RequestIdentity

# Seconds after an answer at which its server must have been alive.
PROOF_S: Final = 2.0
# Seconds for which a proof is valid, if no other follows.
PROVEN_S: Final = 10.0
# Requests that are remembered; some 300 bytes each.
MAX_PROVEN: Final = 2048


class _Answer(NamedTuple):
    """The last proof of a request, and an answer that may become the next one."""

    proven_at: float
    incarnation: str
    answered_at: float


class ProvenRequests:
    """Requests that are known to do no harm, each with its headers."""

    def __init__(self) -> None:
        # In the order of their first answer.
        self._answers: dict[RequestIdentity, _Answer] = {}
        # Time at which each server got the last request that it has responded to.
        self._alive_at: dict[str, float] = {}

    def add(self, identity: RequestIdentity, incarnation: str, now: float) -> None:
        """Record an answer, unless the request is one of a program or is large."""
        if identity.program or len(identity.body) > MAX_ANSWERED_BODY:
            return
        answer = self._answers.get(identity)
        proven_at = -math.inf
        if answer is not None:
            proven_at = self._proven_at(answer)
            is_open = proven_at == answer.proven_at
            if is_open and now - answer.answered_at <= 2 * PROOF_S:
                return
        elif len(self._answers) >= MAX_PROVEN:
            del self._answers[next(iter(self._answers))]
        self._answers[identity] = _Answer(proven_at, incarnation, now)

    def record_life(self, incarnation: str, sent_at: float) -> None:
        """Record that a server has responded to a request that it got at some time."""
        self._alive_at[incarnation] = max(sent_at, self._alive_at.get(incarnation, 0.0))

    def _proven_at(self, answer: _Answer) -> float:
        alive_at = self._alive_at.get(answer.incarnation, -math.inf)
        if alive_at >= answer.answered_at + PROOF_S:
            return answer.answered_at + PROOF_S
        return answer.proven_at

    def is_proven(self, identity: RequestIdentity, now: float) -> bool:
        """Return whether a request may go to any server."""
        if identity.program or not self._answers:
            return False
        answer = self._answers.get(identity)
        return answer is not None and now - self._proven_at(answer) <= PROVEN_S

    def forget(self, identity: RequestIdentity) -> None:
        """Forget a request that was not answered with success."""
        self._answers.pop(identity, None)

    def expire(self, now: float) -> None:
        """Forget what is too old to prove anything."""
        self._alive_at = {
            incarnation: at
            for incarnation, at in self._alive_at.items()
            if now - at <= PROVEN_S
        }
