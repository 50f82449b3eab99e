"""Outcome and cause of requests, for each reason text and for ambiguous cases."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from wisteriastair.operators import endings
from wisteriastair.operators.endings import (
    SLOW_LEDGER_MS,
    Cause,
    Classification,
    Outcome,
    RequestRecord,
    RoutedRequestRecord,
    classify,
    decode_request,
)
from wisteriastair.operators.trace import REQUEST_TEXTS, LogLine

PACKAGE = Path(endings.__file__).parent.parent
RELAY_SOURCES = (*PACKAGE.glob("relay/*.py"), *PACKAGE.glob("http1/*.py"))
REFUSED, FAILED, BROKEN_OFF = Outcome.REFUSED, Outcome.FAILED, Outcome.BROKEN_OFF


def sent_request(status: int, reason: str = "", **fields: Any) -> RoutedRequestRecord:
    """Return a request of a program that was sent to a server."""
    defaults = {
        "took_ms": 800.0,
        "left_ms": 2_200.0,
        "program": "p1",
        "servers": ["s1"],
        "sent": True,
        "ledger_ms": 5.0,
    }
    return RoutedRequestRecord(status=status, reason=reason, **{**defaults, **fields})


def unsent_request(status: int, reason: str = "", **fields: Any) -> RoutedRequestRecord:
    return sent_request(status, reason, **{"servers": [], "sent": False, **fields})


SLOW_MS = SLOW_LEDGER_MS + 1


@pytest.mark.parametrize(
    ("request_record", "expected"),
    [
        (
            unsent_request(402, "3 of 2 tokens are taken"),
            (REFUSED, Cause.BUDGET_EXHAUSTED),
        ),
        (unsent_request(404, "no turn q0"), (REFUSED, Cause.UNKNOWN_TURN)),
        (unsent_request(400, "odd"), (REFUSED, Cause.OTHER_REJECTION)),
        (
            unsent_request(429, "the quota of one is used up"),
            (REFUSED, Cause.OVER_QUOTA),
        ),
        (
            unsent_request(503, "none of 3 holders of the quota answered in view 7"),
            (REFUSED, Cause.QUOTA_UNREACHABLE),
        ),
        (
            unsent_request(503, "1 of 2 replicas answered in view 3"),
            (REFUSED, Cause.LEDGER_UNREACHABLE),
        ),
        (
            unsent_request(503, "keepers have no room for the turn"),
            (REFUSED, Cause.LEDGER_FULL),
        ),
        (
            unsent_request(
                503, "1 of 2 replicas answered in view 3", ledger_ms=SLOW_MS
            ),
            (REFUSED, Cause.LEDGER_SLOW),
        ),
        (unsent_request(503, "no server is there"), (REFUSED, Cause.NO_SERVER)),
        (unsent_request(503, "no server has room"), (REFUSED, Cause.SERVERS_FULL)),
        (
            unsent_request(503, "quarantined: 3 servers crashed under 0a1b"),
            (REFUSED, Cause.QUARANTINED),
        ),
        (
            unsent_request(503, "status 429", servers=["s1"]),
            (REFUSED, Cause.SERVERS_FULL),
        ),
        (
            unsent_request(503, "status 429", servers=["s1"], left_ms=0),
            (REFUSED, Cause.OVERRUN_BEFORE_FIRST_EVENT),
        ),
        (
            unsent_request(503, "ConnectionRefusedError(111)", servers=["s1"]),
            (REFUSED, Cause.NO_SERVER_CONNECTION),
        ),
        (unsent_request(503, "no time left"), (REFUSED, Cause.OVERRUN_IN_LEDGER)),
        (
            unsent_request(503, "no time left", program=""),
            (REFUSED, Cause.OVERRUN_BEFORE_FIRST_EVENT),
        ),
        (unsent_request(503, "a new reason"), (REFUSED, Cause.UNRECOGNIZED)),
        (sent_request(502, "channel lost: odd"), (FAILED, Cause.SERVER_DISCONNECTED)),
        (sent_request(502), (FAILED, Cause.SERVER_RESPONSE)),
        (sent_request(500), (FAILED, Cause.SERVER_RESPONSE)),
        (sent_request(404), (FAILED, Cause.SERVER_RESPONSE)),
        (
            sent_request(500, "status 503", servers=["s1", "s2"]),
            (FAILED, Cause.SERVER_RESPONSE),
        ),
        (sent_request(500, "a new reason"), (FAILED, Cause.UNRECOGNIZED)),
        (sent_request(504), (FAILED, Cause.SERVER_RESPONSE)),
        (sent_request(504, "channel lost: odd"), (FAILED, Cause.SERVER_RESPONSE)),
        (
            sent_request(504, "status 503", left_ms=-1),
            (FAILED, Cause.OVERRUN_BEFORE_FIRST_EVENT),
        ),
        (
            sent_request(504, "no answer in time"),
            (FAILED, Cause.OVERRUN_BEFORE_FIRST_EVENT),
        ),
        (
            sent_request(504, "no answer in time", ledger_ms=500.0),
            (FAILED, Cause.OVERRUN_IN_LEDGER),
        ),
        (
            sent_request(0, "no answer in time", first_ms=50.0),
            (BROKEN_OFF, Cause.OVERRUN_AFTER_FIRST_EVENT),
        ),
        (
            sent_request(0, left_ms=0, first_ms=50.0),
            (BROKEN_OFF, Cause.OVERRUN_AFTER_FIRST_EVENT),
        ),
        (
            sent_request(0, "channel closed", left_ms=-3),
            (BROKEN_OFF, Cause.OVERRUN_BEFORE_FIRST_EVENT),
        ),
        (
            sent_request(0, "the turn could not be kept"),
            (BROKEN_OFF, Cause.TURN_NOT_STORED),
        ),
        (sent_request(0, "channel closed"), (BROKEN_OFF, Cause.SERVER_DISCONNECTED)),
        (sent_request(0), (BROKEN_OFF, Cause.CALLER_DISCONNECTED)),
        (sent_request(0, stopping_ms=40), (BROKEN_OFF, Cause.RELAY_STOPPING)),
        (
            RequestRecord(status=503, reason="the configuration is not known yet"),
            (REFUSED, Cause.NOT_CONFIGURED),
        ),
        (
            RequestRecord(status=503, reason="no route known, version 3 may be old"),
            (REFUSED, Cause.NOT_CONFIGURED),
        ),
        (
            RequestRecord(status=503, reason="no customer known, version 3 may be old"),
            (REFUSED, Cause.NOT_CONFIGURED),
        ),
        (
            RequestRecord(status=401, reason="no customer holds the key in version 3"),
            (REFUSED, Cause.NO_CUSTOMER_KEY),
        ),
        (
            RequestRecord(status=401, reason="one key is needed: Bearer KEY"),
            (REFUSED, Cause.NO_CUSTOMER_KEY),
        ),
        (
            RequestRecord(status=404, reason="no route for a.example/x in version 3"),
            (REFUSED, Cause.UNKNOWN_ROUTE),
        ),
        (
            RequestRecord(status=503, reason="this process is stopping"),
            (REFUSED, Cause.RELAY_STOPPING),
        ),
        (
            RequestRecord(status=503, reason="this relay is overloaded: lag 50 ms"),
            (REFUSED, Cause.RELAY_OVERLOADED),
        ),
        (
            RequestRecord(status=503, reason="buffers are full"),
            (REFUSED, Cause.RELAY_BUFFERS),
        ),
        (
            sent_request(0, "the caller reads too slowly: share", left_ms=-3),
            (BROKEN_OFF, Cause.CALLER_SLOW),
        ),
        (
            sent_request(502, "buffers of the relay are full"),
            (FAILED, Cause.RELAY_BUFFERS),
        ),
        (
            sent_request(0, "buffers of the relay are full"),
            (BROKEN_OFF, Cause.RELAY_BUFFERS),
        ),
        (
            RequestRecord(status=400, reason="two lengths"),
            (REFUSED, Cause.OTHER_REJECTION),
        ),
    ],
)
def test_outcome_and_cause_of_each_reason(
    request_record: RequestRecord | RoutedRequestRecord, expected: tuple[Outcome, Cause]
) -> None:
    assert classify(
        request_record, target_latency_s=1.0, is_aborted=False
    ) == Classification(*expected)


@pytest.mark.parametrize(
    ("target_latency_s", "fields", "expected"),
    [
        (None, {}, (Outcome.ANSWERED, Cause.NO_TARGET)),
        (0.8, {}, (Outcome.IN_TIME, Cause.WITHIN_TARGET)),
        (0.7, {}, (Outcome.LATE, Cause.OVERRUN_BEFORE_FIRST_EVENT)),
        (0.7, {"first_ms": 90.0}, (Outcome.LATE, Cause.OVERRUN_AFTER_FIRST_EVENT)),
        (0.7, {"ledger_ms": SLOW_MS}, (Outcome.LATE, Cause.LEDGER_SLOW)),
        # Late even without the time spent in the ledger.
        (0.1, {"ledger_ms": SLOW_MS}, (Outcome.LATE, Cause.OVERRUN_BEFORE_FIRST_EVENT)),
    ],
)
def test_response_time_against_the_target(
    target_latency_s: float | None,
    fields: dict[str, Any],
    expected: tuple[Outcome, Cause],
) -> None:
    assert classify(
        sent_request(200, **fields), target_latency_s, is_aborted=False
    ) == Classification(*expected)


def test_abort_is_the_cause_only_if_no_other_applies() -> None:
    aborted = classify(sent_request(0), None, is_aborted=True)
    timed_out = classify(sent_request(0, left_ms=0), None, is_aborted=True)
    assert aborted.cause is Cause.RELAY_STOPPING
    assert timed_out.cause is Cause.OVERRUN_BEFORE_FIRST_EVENT


def test_response_after_a_retry_is_in_time() -> None:
    retried = sent_request(200, "status 503", servers=["s1", "s2"])
    assert classify(retried, 1.0, is_aborted=False).outcome is Outcome.IN_TIME


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"status": "200", "took_ms": 1.0, "left_ms": 1},
        {"status": 200, "took_ms": 1.0},
        {"status": 200, "took_ms": 1.0, "left_ms": 1, "servers": "s1"},
    ],
)
def test_line_with_invalid_fields_is_not_decoded(fields: dict[str, Any]) -> None:
    assert decode_request(LogLine(1.0, "r1", REQUEST_TEXTS[0], fields)) is None


def test_relays_write_these_reasons() -> None:
    sources = "".join(path.read_text("utf-8") for path in RELAY_SOURCES)
    for name in (
        "NO_CONFIGURATION",
        "STALE_ROUTES",
        "NO_ROUTE",
        "PROCESS_STOPPING",
        "BUDGET_EXHAUSTED",
        "UNKNOWN_TURN",
        "TOO_FEW_REPLICAS",
        "NO_ROOM_FOR_TURN",
        "TURN_NOT_STORED",
        "NO_SERVER",
        "SERVERS_FULL",
        "QUARANTINED",
        "REJECTED_BY_SERVER",
        "RESPONSE_TIMEOUT",
        "NO_TIME_LEFT",
        "RELAY_OVERLOADED",
        "BUFFERS_FULL",
        "SLOW_CALLER",
        "BUDGET_EXCEEDED",
    ):
        assert getattr(endings, name) in sources, name
