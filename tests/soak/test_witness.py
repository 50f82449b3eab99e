"""What the witness of planned stops takes for broken, and what it excuses."""

from __future__ import annotations

from tests.soak.witness import Failure, Witness


def _judged(failure: Failure, *, ran: bool) -> list[list[str]]:
    """Return what is broken and what is excused by a failure at a relay.

    It is told to stop at second 10 and ends at 15; the machine holds something up from
    second 2 to 3.
    """
    witness = Witness()
    witness.sends(failure.id, "unsafe")
    if ran:
        witness.runs(failure.id, "")
    number = witness.stop_begins("relay-1", 10.0)
    witness.held_up.append((2.0, 3.0))
    witness.fails(failure)
    witness.stop_ends(number, 15.0)
    return [
        [line.partition(":")[0] for line in lines]
        for lines in (witness.judge(), witness.excused)
    ]


def test_a_request_that_ran_is_answered_whole() -> None:
    """Only a relay that was told to stop is judged, within a caller's own time."""
    cut = Failure("u1", "relay-1", 12.0, 12.1, 0)
    assert _judged(cut, ran=True) == [["cut"], []]
    assert _judged(cut._replace(status=502), ran=True) == [["cut"], []]
    # Sent before the signal, cut after it.
    assert _judged(cut._replace(sent=9.0, ended=10.5), ran=True) == [["cut"], []]
    for allowed in (
        cut._replace(relay="relay-2"),
        cut._replace(ended=14.0),
        cut._replace(sent=16.0, ended=16.1),
        cut._replace(sent=8.0, ended=8.5),
    ):
        assert _judged(allowed, ran=True) == [[], []]


def test_a_channel_ends_soon_or_with_an_answer() -> None:
    """A request that crosses the end of its channel is no loss."""
    crossing = Failure("u1", "relay-1", 12.0, 12.1, 0)
    assert _judged(crossing, ran=False) == [[], []]
    assert _judged(crossing._replace(ended=12.3), ran=False) == [["held"], []]


def test_what_something_unplanned_may_have_caused_is_excused() -> None:
    """From three seconds after it a failure counts again."""
    near = Failure("u1", "relay-1", 9.5, 10.5, 0)
    witness = Witness()
    witness.runs("u1", "")
    witness.broken.clear()
    witness.stop_begins("relay-1", 10.0)
    witness.held_up.append((6.0, 6.6))
    witness.fails(near)
    witness.fails(near._replace(sent=9.7))
    assert [line.partition(":")[0] for line in witness.judge()] == ["cut"]
    assert [line.partition(":")[0] for line in witness.excused] == ["cut"]


def test_a_process_that_needs_the_kill_is_told() -> None:
    """Unless the machine held something up at that moment."""
    witness = Witness()
    witness.stop_fails(witness.stop_begins("relay-1", 10.0))
    assert witness.judge() == ["stop: relay-1 had to be killed"]
