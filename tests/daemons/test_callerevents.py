"""Events that wait for callers of an entry."""

from __future__ import annotations

import anyio

from wisteriastair.core.entry import CallerEvent, Done, OutputText
from wisteriastair.core.wire import ProgramOutcome
from wisteriastair.daemons.callerevents import CallerEvents
from wisteriastair.scheduling.buffers import BufferBudget, BufferLimits

LIMITS = BufferLimits(1_000_000, 700_000, 500_000)
TEXT = "x" * 10_000
END = Done(ProgramOutcome("r", "p", "done", "yes", "answer", "", 0.0, 1, 1))


def text_event(number: int) -> OutputText:
    return OutputText(1, number * len(TEXT), TEXT)


def test_callers_that_read_nothing_hold_no_more_than_the_budget() -> None:
    """Guards against attached callers that fill the memory of an entry."""
    budget = BufferBudget(LIMITS, refuses_small=False)
    slow = [CallerEvents(budget) for _ in range(20)]
    reader = CallerEvents(budget)

    async def main() -> list[CallerEvent]:
        received: list[CallerEvent] = []
        for number in range(50):
            for events in (*slow, reader):
                events.put(text_event(number))
            event = await reader.get()
            assert event is not None, "a caller that reads must keep its events"
            received.append(event)
        reader.put(END)
        received += [event async for event in reader.until_final()]
        # Those that were cut end without a final event.
        for events in slow:
            events.put(END)
        kept = [[e async for e in events.until_final()] for events in slow]
        assert any(not one for one in kept)
        return received

    received = anyio.run(main)
    assert received == [*(text_event(n) for n in range(50)), END]
    assert budget.peak_bytes <= LIMITS.budget_bytes
    for events in (*slow, reader):
        events.close()
    assert budget.held_bytes == 0
