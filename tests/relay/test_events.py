"""Splitting of a byte stream into whole events."""

from __future__ import annotations

from wisteriastair.relay.events import EventSplitter

STREAM = b"id: 1\ndata: one\n\nx-weight-versions: 2\nid: 2\ndata: two\n\n"


def test_events_do_not_depend_on_chunk_boundaries() -> None:
    for cut in range(len(STREAM) + 1):
        splitter = EventSplitter(collect=True)
        passed = splitter.feed(STREAM[:cut]) + splitter.feed(STREAM[cut:])
        assert passed == STREAM
        assert splitter.count == 2
        assert splitter.last_id == "2"
        assert bytes(splitter.content) == b"one\ntwo\n"
        assert splitter.partial == b""


def test_partial_event_is_not_forwarded() -> None:
    """A server fails in the middle of an event.

    The caller must not get the partial event: a stream that resumes on another server
    begins with the event after the last whole one.
    """
    splitter = EventSplitter(collect=True)
    assert splitter.feed(STREAM[:-3]) == STREAM[: STREAM.index(b"x-weight")]
    assert splitter.count == 1
    assert splitter.partial
