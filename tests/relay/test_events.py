"""Events are cut out whole, wherever the bytes are split."""

from __future__ import annotations

from wisteriastair.relay.events import EventSplitter

STREAM = b"id: 1\ndata: one\n\nx-weight-versions: 2\nid: 2\ndata: two\n\n"


def test_every_split_gives_the_same_events() -> None:
    for cut in range(len(STREAM) + 1):
        splitter = EventSplitter(keep=True)
        passed = splitter.feed(STREAM[:cut]) + splitter.feed(STREAM[cut:])
        assert passed == STREAM
        assert splitter.count == 2
        assert splitter.last_id == "2"
        assert bytes(splitter.content) == b"one\ntwo\n"
        assert splitter.rest == b""


def test_a_broken_event_is_not_passed_on() -> None:
    """A server stops in the middle of an event.

    The caller must not get half of it: a stream that goes on elsewhere begins with
    the event after the last whole one.
    """
    splitter = EventSplitter(keep=True)
    assert splitter.feed(STREAM[:-3]) == STREAM[: STREAM.index(b"x-weight")]
    assert splitter.count == 1
    assert splitter.rest
