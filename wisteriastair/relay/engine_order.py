"""Connects the order of turns at engines, and the engines' memory, to requests.

Where both are off, a turn has the priority of its rank, and any server may get it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from ..errors import Code, Failure
from ..scheduling.engine_memory import (
    EngineMemory,
    MemoryNeed,
    Reservation,
    SharedLoad,
    Ticket,
)
from ..scheduling.fleet import Fleet, ServerState
from ..scheduling.need import Refuse, Wait
from ..scheduling.reuse import FIRST_PRIVATE
from ..scheduling.urgency import (
    PRIORITIES,
    ProgramNeeds,
    engine_priority,
    rank_bands,
)

if TYPE_CHECKING:
    from .job import Job


class _Turn:
    """What is known of a turn until it ends."""

    def __init__(self) -> None:
        self.reservation: Reservation | None = None
        self.ticket: Ticket | None = None
        self.sent_at = 0.0


class EngineOrder:
    """Priorities of turns at engines, and the memory that they need there.

    Parameters
    ----------
    fleet : Fleet
        The known servers.
    has_memory_pressure : bool
        Whether servers crash if their requests exceed their memory.
    counts_memory : bool or None
        Whether requests wait for memory of an engine; None for `has_memory_pressure`.
    is_paced : callable or None
        Whether a server of a service has reported a fourth load figure.
    shared : SharedLoad or None
        Source of the load of other relays.
    name : str
        Name of this process.
    """

    def __init__(
        self,
        fleet: Fleet,
        *,
        name: str = "",
        has_memory_pressure: bool = False,
        counts_memory: bool | None = None,
        is_paced: Callable[[str], bool] | None = None,
        shared: SharedLoad | None = None,
    ) -> None:
        self.memory = EngineMemory(shared, name)
        self._fleet = fleet
        self._has_memory_pressure = has_memory_pressure
        self._counts_memory = (
            has_memory_pressure if counts_memory is None else counts_memory
        )
        self._is_paced = is_paced or (lambda service: False)
        self._needs = ProgramNeeds()
        self._turns: dict[Job, _Turn] = {}

    def _is_on(self, service: str) -> bool:
        return self._has_memory_pressure or self._is_paced(service)

    # Priority

    def priority(self, job: Job) -> int:
        """Return the priority of a turn that is about to be sent."""
        if not self._is_on(job.service):
            job.engine_priority = min(PRIORITIES - 1, job.priority)
            return job.engine_priority
        now = job.now()
        turn = self._turns.setdefault(job, _Turn())
        req = job.caller_req
        program = job.scoped_id(req.program)
        if not turn.sent_at:
            is_first = not req.previous_id and len(req.parts) <= FIRST_PRIVATE + 1
            self._needs.record_start(job.route.name, program, now, is_first=is_first)
        turn.sent_at = now
        left_s = None
        if req.finish_s is not None:
            left_s = max(0.0, req.finish_s - job.elapsed_s())
        need_s = self._needs.need_s(job.route.name, program, req.output_tokens)
        band = rank_bands(job.service_ranks)[job.priority]
        job.engine_priority = engine_priority(band, left_s, need_s)
        return job.engine_priority

    # Memory

    async def take_room(
        self, job: Job, state: ServerState, excluded: Collection[str]
    ) -> frozenset[str] | Failure:
        """Reserve memory at the chosen server, or wait until one has room.

        Parameters
        ----------
        excluded : collection of str
            Servers that have rejected the request.

        Returns
        -------
        frozenset of str or Failure
            Empty if the chosen server has room. Otherwise the servers that must not be
            chosen, or why the request is refused.
        """
        memory_tokens = job.engine.memory_tokens if job.engine else 0
        if not self._counts_memory or memory_tokens <= 0:
            return frozenset()
        turn = self._turns.setdefault(job, _Turn())
        self._release(turn)
        req = job.caller_req
        need = MemoryNeed(req.parts, req.prompt_tokens, req.output_tokens)
        while True:
            now = job.now()
            candidates = self._candidates(job.service, excluded, now)
            self.memory.observe(job.service, candidates, now)
            is_next = self.memory.is_next(job.service, job.priority, turn.ticket)
            if is_next and self.memory.has_room(state, need, memory_tokens, now):
                turn.reservation = self.memory.reserve(state, need, now)
                self._leave_queue(job, turn)
                return frozenset()
            verdict = self.memory.decide(
                candidates,
                need,
                memory_tokens,
                now,
                is_next=is_next,
                waited_s=job.memory_wait_s,
                remaining_s=job.remaining_s(),
            )
            if isinstance(verdict, Refuse):
                self._leave_queue(job, turn)
                return Failure(
                    Code.SERVERS_FULL, verdict.reason, "no", verdict.retry_after_s
                )
            if not isinstance(verdict, Wait):
                return verdict | {state.server.id}
            if turn.ticket is None:
                turn.ticket = self.memory.enter(job.service, job.priority)
            await asyncio.sleep(verdict.seconds)
            job.memory_wait_s += job.now() - now

    def finish(self, job: Job, *, is_answered: bool) -> None:
        """Release what a turn holds, and learn from it if its server answered it."""
        turn = self._turns.pop(job, None)
        if turn is None:
            return
        self._release(turn)
        self._leave_queue(job, turn)
        if turn.sent_at and is_answered:
            req = job.caller_req
            now = job.now()
            self._needs.record_end(
                job.route.name,
                job.scoped_id(req.program),
                req.output_tokens,
                now - turn.sent_at,
                now,
            )

    def _candidates(
        self, service: str, excluded: Collection[str], now: float
    ) -> list[ServerState]:
        states = self._fleet.eligible_servers(service, now)
        return [state for state in states if state.server.id not in excluded]

    def _release(self, turn: _Turn) -> None:
        if turn.reservation is not None:
            self.memory.release(turn.reservation)
            turn.reservation = None

    def _leave_queue(self, job: Job, turn: _Turn) -> None:
        if turn.ticket is not None:
            self.memory.leave(job.service, turn.ticket)
            turn.ticket = None
