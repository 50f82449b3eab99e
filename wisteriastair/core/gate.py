"""The gate: the one way to a backend server.

Every call to a server passes the side process in front of it, so one place knows
what was dispatched.  From this follow

* at most once: a call id is dispatched at most once by one incarnation of the gate;
* a true "not run": only the gate says it, about an id it has never dispatched, and
  by saying it remembers the id (*poisons* it), so a delayed copy of the call that
  arrives later is refused;
* fencing: a call or question of an older epoch of the slot than the gate has seen is
  ignored, so a paused carrier that wakes up does no harm;
* no held memory: what an engine holds for a program expires unless the program's
  carrier renews it.

A gate that has restarted knows nothing of the past.  A call that names the earlier
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

MEMORY_S: Final = 600.0
LATEST_ISSUE_S: Final = 120.0
HOLD_S: Final = 15.0
DRAIN_RETRY_S: Final = 0.5


class GateLimits(NamedTuple):
    """How much a gate lets into its server.

    Attributes
    ----------
    running : int
        Calls at once.
    tokens : int
        Prompt and completion tokens at once, so that the engine's memory does not
        evict one program's prefix for another's.
    queued : int
        Calls that may wait; one more is refused at once.
    """

    running: int = 8
    tokens: int = 200_000
    queued: int = 64


class _State(IntEnum):
    QUEUED = 0
    RUNNING = 1
    DONE = 2
    POISONED = 3


class _Call:
    """One call as the gate knows it."""

    def __init__(self, call: GateCall | None, reply_to: str, now: float) -> None:
        self.call = call
        self.reply_to = reply_to
        self.state = _State.QUEUED if call is not None else _State.POISONED
        self.since = now
        self.base = call.offset if call is not None else 0
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
        Where effects go.
    """

    def __init__(
        self, server: str, me: str, limits: GateLimits, order: QueueOrder, out: Outbox
    ) -> None:
        self.server = server
        self.leaving = False
        self.late_refused = 0
        self._me = me
        self._limits = limits
        self._order = order
        self._out = out
        self._calls: dict[CallId, _Call] = {}
        self._queue: list[CallId] = []
        # Ends of calls in their order, so that forgetting them costs nothing a tick.
        self._ended: deque[tuple[float, CallId]] = deque()
        self._running: set[CallId] = set()
        self._tokens = 0
        self._epochs: dict[int, int] = {}
        self._holds: dict[str, float] = {}

    def load(self) -> ServerLoad:
        """Return the load as this gate sees it."""
        limits = self._limits
        return ServerLoad(
            len(self._queue), len(self._running), self._tokens, limits.tokens
        )

    def leased_programs(self) -> list[str]:
        """Programs for which the engine may hold memory."""
        return sorted(self._holds)

    @property
    def remembered(self) -> int:
        """Calls known here, under way or ended."""
        return len(self._calls)

    @property
    def idle(self) -> bool:
        """Whether nothing waits or runs."""
        return not self._queue and not self._running

    # Messages

    def on_call(self, sender: str, call: GateCall, now: float) -> None:
        """Admit, repeat the outcome of, or refuse a call."""
        if not self._is_current(call.slot, call.epoch):
            return
        known = self._calls.get(call.call)
        if known is not None:
            known.reply_to = sender
            self._report(known, 0, now)
            return
        if call.gate != self._me:
            self._answer(sender, self._unknown(call.call))
            return
        refusal = self._refusal(call, now)
        if refusal is not None:
            self._refuse(sender, call.call, refusal, now)
            return
        self._calls[call.call] = _Call(call, sender, now)
        self._queue.append(call.call)
        self._pump(now)

    def _is_current(self, slot: int, epoch: int) -> bool:
        newest = max(self._epochs.get(slot, 0), epoch)
        self._epochs[slot] = newest
        if epoch < newest:
            self.late_refused += 1
        return epoch == newest

    def _refusal(self, call: GateCall, now: float) -> float | None:
        """Seconds after which to try again, or None to admit the call."""
        if self.leaving or now - call.issued_at > LATEST_ISSUE_S:
            return DRAIN_RETRY_S
        if len(self._queue) >= self._limits.queued:
            return self._drain_time()
        return None

    def _drain_time(self) -> float:
        return max(DRAIN_RETRY_S, len(self._queue) / self._limits.running)

    def _refuse(self, to: str, call: CallId, retry_after_s: float, now: float) -> None:
        """Answer "not run" and make sure that it stays true."""
        poisoned = _Call(None, to, now)
        poisoned.result = self._result(call, "refused", "no", retry_after_s)
        self._calls[call] = poisoned
        self._ended.append((now, call))
        self._answer(to, poisoned.result)

    def on_lookup(self, sender: str, lookup: GateLookup, now: float) -> None:
        """Tell what became of a call; poison it if it never came."""
        if not self._is_current(lookup.slot, lookup.epoch):
            return
        known = self._calls.get(lookup.call)
        if known is not None:
            known.reply_to = sender
            self._report(known, lookup.offset, now)
        elif lookup.gate != self._me:
            self._answer(sender, self._unknown(lookup.call))
        else:
            self._refuse(sender, lookup.call, 0.0, now)

    def _report(self, known: _Call, offset: int, now: float) -> None:
        if known.result is not None:
            self._answer(known.reply_to, known.result)
            return
        assert known.call is not None, "a call without outcome was admitted"
        call = known.call.call
        have = known.base + len(known.text)
        if known.text and offset < have:
            start = max(0, offset - known.base)
            text = CallText(call, known.base + start, known.text[start:])
            self._out.send(known.reply_to, text)
        pending = CallPending(call, self.server, self.load())
        self._out.send(known.reply_to, pending)

    def on_cancel(self, call: CallId, now: float) -> None:
        """Stop a call that nobody needs."""
        known = self._calls.get(call)
        if known is None:
            self._refuse("", call, 0.0, now)
        elif known.state is _State.QUEUED:
            self._queue.remove(call)
            self._finish(call, self._result(call, "refused", "no", 0.0), now)
        elif known.state is _State.RUNNING:
            self._out.add(BackendCancel(call, self.server))

    def on_forget(self, call: CallId) -> None:
        """Drop a stored result; the id stays refused."""
        known = self._calls.get(call)
        if known is not None and known.result is not None:
            known.text = ""
            known.call = None
            known.result = known.result._replace(text="", actions=())

    # Backend

    def on_text(self, call: CallId, text: str) -> None:
        """Pass output on to the carrier."""
        known = self._calls.get(call)
        if known is None or known.state is not _State.RUNNING:
            return
        offset = known.base + len(known.text)
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
        self._pump(now)

    def _finish(self, call: CallId, result: CallResult, now: float) -> None:
        known = self._calls[call]
        if known.state is _State.RUNNING and known.call is not None:
            self._running.discard(call)
            self._tokens -= _weight(known.call)
        known.state = _State.DONE
        self._ended.append((now, call))
        known.result = result._replace(load=self.load())
        self._answer(known.reply_to, known.result)

    def _pump(self, now: float) -> None:
        """Dispatch from the queue while the server has room."""
        while self._queue and len(self._running) < self._limits.running:
            call = min(self._queue, key=lambda c: self._sort_key(c, now))
            known = self._calls[call]
            assert known.call is not None, "a queued call has its request"
            weight = _weight(known.call)
            if self._running and self._tokens + weight > self._limits.tokens:
                return
            self._queue.remove(call)
            self._running.add(call)
            self._tokens += weight
            known.state = _State.RUNNING
            known.since = now
            if known.call.kind == "model":
                self._holds[call.program] = now + HOLD_S
            self._out.add(BackendCall(known.call))

    def _sort_key(self, call: CallId, now: float) -> tuple[float, ...]:
        known = self._calls[call]
        assert known.call is not None, "a queued call has its request"
        request = known.call
        began = known.since - request.age_s
        waiting = QueuedCall(request.priority, known.since, began)
        return self._order.key(waiting, now)

    # Holds

    def renew(self, programs: tuple[str, ...], now: float) -> None:
        """Keep what the engine holds for programs that live."""
        for program in programs:
            if program in self._holds:
                self._holds[program] = now + HOLD_S

    def release(self, programs: tuple[str, ...]) -> None:
        """Drop what the engine holds for programs that have ended."""
        for program in programs:
            self._holds.pop(program, None)
        if programs:
            self._out.add(BackendRelease(self.server, programs))

    def reconcile(self, held: tuple[str, ...]) -> None:
        """Release what the engine reports beyond what carriers have renewed.

        This mends a release whose message or whose call to the engine was lost.
        """
        extra = tuple(p for p in held if p not in self._holds)
        if extra:
            self._out.add(BackendRelease(self.server, extra))

    # Time

    def tick(self, now: float) -> None:
        """Expire holds, overdue calls and old outcomes."""
        busy = {call.program for call in self._running}
        expired = [p for p, end in self._holds.items() if now > end and p not in busy]
        self.release(tuple(expired))
        for call in [*self._queue, *self._running]:
            self._expire(call, now)
        while self._ended and now - self._ended[0][0] > MEMORY_S:
            _, call = self._ended.popleft()
            self._calls.pop(call, None)
        self._pump(now)

    def _expire(self, call: CallId, now: float) -> None:
        known = self._calls[call]
        age = now - known.since
        assert known.call is not None, "a live call has its request"
        if age <= known.call.timeout_s:
            return
        if known.state is _State.QUEUED:
            self._queue.remove(call)
            self._finish(call, self._result(call, "refused", "no", 0.0), now)
        else:
            self._out.add(BackendCancel(call, self.server))
            self._finish(call, self._result(call, "lost", "unknown", 0.0), now)

    def _unknown(self, call: CallId) -> CallResult:
        return self._result(call, "lost", "unknown", 0.0)

    def _result(
        self, call: CallId, status: str, ran: str, retry_after_s: float
    ) -> CallResult:
        load = self.load()
        return CallResult(
            call, self.server, status, ran, "", (), 0, 0, 0, retry_after_s, load
        )

    def _answer(self, to: str, result: CallResult) -> None:
        if to:
            self._out.send(to, result)


def _weight(call: GateCall) -> int:
    return call.prompt_tokens + call.max_tokens
