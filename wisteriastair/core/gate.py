"""The gate: the only path to a backend server.

Every call to a server passes through its gate, so one process has a record of all
dispatched calls.  This gives the following guarantees:

* At most once: one incarnation of the gate dispatches a call id at most once.
* Reliable "not run": only the gate reports it, for an id that it has never
  dispatched.  It then stores a tombstone for the id, so a delayed copy of the call
  that arrives later is refused.
* Fencing: a call or look-up from an older epoch of the slot than the gate has seen is
  ignored, so a primary that resumes after a pause cannot run outdated calls.
* No leaked cache: the cache lease of a program on an engine expires unless the primary
  of the program renews it.

A gate has no record of calls from before its restart.  A call that names an earlier
incarnation is answered "unknown", never "not run".
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import Final, NamedTuple

from .events import BackendCall, BackendCancel, BackendEnded, BackendRelease
from .ordering import QueuedCall, QueueOrder
from .outbox import Outbox
from .wire import (
    CallId,
    CallPending,
    CallResult,
    CallText,
    GateCall,
    GateLookup,
    ServerLoad,
)

OUTCOME_RETENTION_S: Final = 600.0
MAX_CALL_AGE_S: Final = 120.0
CACHE_LEASE_S: Final = 15.0
MIN_RETRY_AFTER_S: Final = 0.5


class GateLimits(NamedTuple):
    """Limits on the calls that a gate admits to its server.

    Attributes
    ----------
    max_running : int
        Maximum number of concurrent calls.
    max_tokens : int
        Maximum number of prompt and completion tokens of concurrent calls, so that
        the engine does not evict the cached prefix of one program for another.
    max_queued : int
        Maximum number of waiting calls; further calls are refused at once.
    """

    max_running: int = 8
    max_tokens: int = 200_000
    max_queued: int = 64


class _State(IntEnum):
    QUEUED = 0
    RUNNING = 1
    DONE = 2
    TOMBSTONE = 3


class _CallState:
    """State of one call at the gate."""

    def __init__(self, call: GateCall | None, reply_to: str, now: float) -> None:
        self.call = call
        self.reply_to = reply_to
        self.state = _State.QUEUED if call is not None else _State.TOMBSTONE
        self.state_since = now
        self.text_offset = call.offset if call is not None else 0
        self.text = ""
        self.result: CallResult | None = None


class Gate:
    """Gate of one backend server.

    Parameters
    ----------
    server : str
        Name of the backend server.
    me : str
        Member id of this process.
    limits : GateLimits
        Admission limits.
    order : QueueOrder
        Order of the queue.
    out : Outbox
        Receives the effects.
    """

    def __init__(
        self, server: str, me: str, limits: GateLimits, order: QueueOrder, out: Outbox
    ) -> None:
        self.server = server
        self.leaving = False
        self.stale_epoch_count = 0
        self._me = me
        self._limits = limits
        self._order = order
        self._out = out
        self._calls: dict[CallId, _CallState] = {}
        self._queue: list[CallId] = []
        # Ended calls in order of time, so that a tick visits only the expired ones.
        self._ended: deque[tuple[float, CallId]] = deque()
        self._running: set[CallId] = set()
        self._tokens = 0
        self._epochs: dict[int, int] = {}
        self._leases: dict[str, float] = {}

    def load(self) -> ServerLoad:
        """Return the load of the server as known to this gate."""
        limits = self._limits
        return ServerLoad(
            len(self._queue), len(self._running), self._tokens, limits.max_tokens
        )

    def leased_programs(self) -> list[str]:
        """Programs for which the engine may have cached memory."""
        return sorted(self._leases)

    @property
    def call_count(self) -> int:
        """Number of stored calls, waiting, running or ended."""
        return len(self._calls)

    @property
    def idle(self) -> bool:
        """Whether no call waits or runs."""
        return not self._queue and not self._running

    # Messages

    def on_call(self, sender: str, call: GateCall, now: float) -> None:
        """Admit a call, report the state of a known one, or refuse it."""
        if not self._check_epoch(call.slot, call.epoch):
            return
        known = self._calls.get(call.call)
        if known is not None:
            known.reply_to = sender
            self._report(known, 0, now)
            return
        if call.gate != self._me:
            self._send_result(sender, self._unknown_result(call.call))
            return
        retry_after_s = self._refusal_retry_s(call, now)
        if retry_after_s is not None:
            self._refuse(sender, call.call, retry_after_s, now)
            return
        self._calls[call.call] = _CallState(call, sender, now)
        self._queue.append(call.call)
        self._dispatch_queued(now)

    def _check_epoch(self, slot: int, epoch: int) -> bool:
        newest = max(self._epochs.get(slot, 0), epoch)
        self._epochs[slot] = newest
        if epoch < newest:
            self.stale_epoch_count += 1
        return epoch == newest

    def _refusal_retry_s(self, call: GateCall, now: float) -> float | None:
        """Seconds after which to try again, or None to admit the call."""
        if self.leaving or now - call.issued_at > MAX_CALL_AGE_S:
            return MIN_RETRY_AFTER_S
        if len(self._queue) >= self._limits.max_queued:
            return self._drain_time_s()
        return None

    def _drain_time_s(self) -> float:
        return max(MIN_RETRY_AFTER_S, len(self._queue) / self._limits.max_running)

    def _refuse(self, to: str, call: CallId, retry_after_s: float, now: float) -> None:
        """Report "not run" and store a tombstone, so that the call never runs."""
        tombstone = _CallState(None, to, now)
        tombstone.result = self._result(call, "refused", "no", retry_after_s)
        self._calls[call] = tombstone
        self._ended.append((now, call))
        self._send_result(to, tombstone.result)

    def on_lookup(self, sender: str, lookup: GateLookup, now: float) -> None:
        """Report the state of a call; store a tombstone if it is unknown."""
        if not self._check_epoch(lookup.slot, lookup.epoch):
            return
        known = self._calls.get(lookup.call)
        if known is not None:
            known.reply_to = sender
            self._report(known, lookup.offset, now)
        elif lookup.gate != self._me:
            self._send_result(sender, self._unknown_result(lookup.call))
        else:
            self._refuse(sender, lookup.call, 0.0, now)

    def _report(self, known: _CallState, offset: int, now: float) -> None:
        if known.result is not None:
            self._send_result(known.reply_to, known.result)
            return
        assert known.call is not None, "a call without a result was admitted"
        call = known.call.call
        end = known.text_offset + len(known.text)
        if known.text and offset < end:
            start = max(0, offset - known.text_offset)
            text = CallText(call, known.text_offset + start, known.text[start:])
            self._out.send(known.reply_to, text)
        pending = CallPending(call, self.server, self.load())
        self._out.send(known.reply_to, pending)

    def on_cancel(self, call: CallId, now: float) -> None:
        """Stop a call whose result is no longer needed."""
        known = self._calls.get(call)
        if known is None:
            self._refuse("", call, 0.0, now)
        elif known.state is _State.QUEUED:
            self._queue.remove(call)
            self._finish(call, self._result(call, "refused", "no", 0.0), now)
        elif known.state is _State.RUNNING:
            self._out.add(BackendCancel(call, self.server))

    def on_discard(self, call: CallId) -> None:
        """Drop the content of a stored result; the id is still refused."""
        known = self._calls.get(call)
        if known is not None and known.result is not None:
            known.text = ""
            known.call = None
            known.result = known.result._replace(text="", actions=())

    # Backend

    def on_text(self, call: CallId, text: str) -> None:
        """Forward output to the primary."""
        known = self._calls.get(call)
        if known is None or known.state is not _State.RUNNING:
            return
        offset = known.text_offset + len(known.text)
        known.text += text
        self._out.send(known.reply_to, CallText(call, offset, text))

    def on_ended(self, event: BackendEnded, now: float) -> None:
        """Store and report the outcome of a dispatched call."""
        known = self._calls.get(event.call)
        if known is None or known.state is not _State.RUNNING:
            return
        result = CallResult(
            event.call,
            self.server,
            event.status,
            event.ran,
            event.text or known.text,
            event.actions,
            event.prompt_tokens,
            event.cached_tokens,
            event.completion_tokens,
            0.0,
            self.load(),
        )
        self._finish(event.call, result, now)
        self._dispatch_queued(now)

    def _finish(self, call: CallId, result: CallResult, now: float) -> None:
        known = self._calls[call]
        if known.state is _State.RUNNING and known.call is not None:
            self._running.discard(call)
            self._tokens -= _token_weight(known.call)
        known.state = _State.DONE
        self._ended.append((now, call))
        known.result = result._replace(load=self.load())
        self._send_result(known.reply_to, known.result)

    def _dispatch_queued(self, now: float) -> None:
        """Dispatch calls from the queue while the server has capacity."""
        while self._queue and len(self._running) < self._limits.max_running:
            call = min(self._queue, key=lambda c: self._sort_key(c, now))
            known = self._calls[call]
            assert known.call is not None, "a queued call has its request"
            tokens = _token_weight(known.call)
            if self._running and self._tokens + tokens > self._limits.max_tokens:
                return
            self._queue.remove(call)
            self._running.add(call)
            self._tokens += tokens
            known.state = _State.RUNNING
            known.state_since = now
            if known.call.kind == "model":
                self._leases[call.program] = now + CACHE_LEASE_S
            self._out.add(BackendCall(known.call))

    def _sort_key(self, call: CallId, now: float) -> tuple[float, ...]:
        known = self._calls[call]
        assert known.call is not None, "a queued call has its request"
        request = known.call
        started_at = known.state_since - request.age_s
        queued_call = QueuedCall(request.priority, known.state_since, started_at)
        return self._order.key(queued_call, now)

    # Cache leases

    def renew(self, programs: tuple[str, ...], now: float) -> None:
        """Renew the cache leases of live programs."""
        for program in programs:
            if program in self._leases:
                self._leases[program] = now + CACHE_LEASE_S

    def release(self, programs: tuple[str, ...]) -> None:
        """End the cache leases of programs and release their cache."""
        for program in programs:
            self._leases.pop(program, None)
        if programs:
            self._out.add(BackendRelease(self.server, programs))

    def reconcile(self, reported: tuple[str, ...]) -> None:
        """Release cached memory that the engine reports but that has no lease.

        This repairs a release whose message or whose call to the engine was lost.
        """
        extra = tuple(p for p in reported if p not in self._leases)
        if extra:
            self._out.add(BackendRelease(self.server, extra))

    # Time

    def tick(self, now: float) -> None:
        """Expire cache leases, overdue calls and old outcomes."""
        busy = {call.program for call in self._running}
        expired = [p for p, end in self._leases.items() if now > end and p not in busy]
        self.release(tuple(expired))
        for call in [*self._queue, *self._running]:
            self._expire(call, now)
        while self._ended and now - self._ended[0][0] > OUTCOME_RETENTION_S:
            _, call = self._ended.popleft()
            self._calls.pop(call, None)
        self._dispatch_queued(now)

    def _expire(self, call: CallId, now: float) -> None:
        known = self._calls[call]
        age_s = now - known.state_since
        assert known.call is not None, "a queued or running call has its request"
        if age_s <= known.call.timeout_s:
            return
        if known.state is _State.QUEUED:
            self._queue.remove(call)
            self._finish(call, self._result(call, "refused", "no", 0.0), now)
        else:
            self._out.add(BackendCancel(call, self.server))
            self._finish(call, self._result(call, "lost", "unknown", 0.0), now)

    def _unknown_result(self, call: CallId) -> CallResult:
        return self._result(call, "lost", "unknown", 0.0)

    def _result(
        self, call: CallId, status: str, ran: str, retry_after_s: float
    ) -> CallResult:
        load = self.load()
        return CallResult(
            call, self.server, status, ran, "", (), 0, 0, 0, retry_after_s, load
        )

    def _send_result(self, to: str, result: CallResult) -> None:
        if to:
            self._out.send(to, result)


def _token_weight(call: GateCall) -> int:
    return call.prompt_tokens + call.max_tokens
