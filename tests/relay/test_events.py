"""Splitting of a byte stream into whole events."""

from __future__ import annotations

import time

import pytest

from wisteriastair.relay.events import MAX_EVENT_BYTES, EventSplitter

STREAM = b"id: 1\ndata: one\n\nx-weight-versions: 2\nid: 2\ndata: two\n\n"


def test_events_do_not_depend_on_chunk_boundaries() -> None:
    for cut in range(len(STREAM) + 1):
        splitter = EventSplitter(collect=True)
        passed = splitter.feed(STREAM[:cut]) + splitter.feed(STREAM[cut:])
        assert passed == STREAM
        assert splitter.count == 2
        assert splitter.last_id == "2"
        assert bytes(splitter.content) == b"one\ntwo\n"
        assert not splitter.partial


def test_partial_event_is_not_forwarded() -> None:
    """A server fails in the middle of an event.

    The caller must not get the partial event: a stream that resumes on another server
    begins with the event after the last whole one.
    """
    splitter = EventSplitter(collect=True)
    assert splitter.feed(STREAM[:-3]) == STREAM[: STREAM.index(b"x-weight")]
    assert splitter.count == 1
    assert splitter.partial


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
def test_comments_are_no_events(line_end: bytes) -> None:
    """A server sends comments, which keep its connection open, between events.

    They are forwarded, and are neither counted as tokens nor added to the history.
    """
    stream = b": still here\n\n" + STREAM.replace(b"data: two", b": x\ndata: two")
    stream = stream.replace(b"\n", line_end)
    splitter = EventSplitter(collect=True)
    assert splitter.feed(stream) == stream
    assert splitter.count == 2
    assert bytes(splitter.content) == b"one\ntwo\n"


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
@pytest.mark.parametrize("part_bytes", [1, 7, 1000])
def test_events_above_the_maximum_are_dropped(part_bytes: int, line_end: bytes) -> None:
    """Guards against a server that sends more tokens than were reserved."""
    stream = (STREAM + STREAM).replace(b"\n", line_end)
    splitter = EventSplitter(collect=True, max_count=3)
    forwarded = b"".join(
        splitter.feed(stream[position : position + part_bytes])
        for position in range(0, len(stream), part_bytes)
    )
    first_event = STREAM[: STREAM.index(b"x-weight")]
    assert forwarded == (STREAM + first_event).replace(b"\n", line_end)
    assert splitter.count == 3
    assert splitter.has_too_many
    assert bytes(splitter.content) == b"one\ntwo\none\n"


def test_an_event_in_small_parts_takes_linear_time() -> None:
    """Guards against copies and searches of the whole event for each part of it."""

    def seconds(size: int) -> float:
        splitter = EventSplitter(collect=True)
        started_at = time.process_time()
        for _ in range(size):
            splitter.feed(b"x")
        return time.process_time() - started_at

    # Quadratic time would be sixteen times as long.
    assert seconds(MAX_EVENT_BYTES) < 8 * seconds(MAX_EVENT_BYTES // 4)
