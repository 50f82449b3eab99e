"""How requests ended and why: each reason that relays write, and each doubtful case."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from wisteriastair.operators import endings
from wisteriastair.operators.endings import (
    SLOW_LEDGER_MS,
    Denied,
    Ended,
    Ending,
    Outcome,
    Why,
    classify,
    decode_request,
)
from wisteriastair.operators.trace import REQUEST_LINES, Line

RELAY = Path(endings.__file__).parent.parent / "relay"
REFUSED, FAILED, BROKEN_OFF = Outcome.REFUSED, Outcome.FAILED, Outcome.BROKEN_OFF


def ended(status: int, reason: str = "", **fields: Any) -> Ended:
    """Return a request of a program that a server got, unless said otherwise."""
    usual = {
        "took_ms": 800.0,
        "left_ms": 2_200.0,
        "program": "p1",
        "servers": ["s1"],
        "sent": True,
        "ledger_ms": 5.0,
    }
    return Ended(status=status, reason=reason, **{**usual, **fields})


def unsent(status: int, reason: str = "", **fields: Any) -> Ended:
    return ended(status, reason, **{"servers": [], "sent": False, **fields})


SLOW = SLOW_LEDGER_MS + 1


@pytest.mark.parametrize(
    ("request_", "expected"),
    [
        (unsent(402, "3 of 2 tokens are taken"), (REFUSED, Why.BUDGET)),
        (unsent(404, "no turn q0"), (REFUSED, Why.UNKNOWN_TURN)),
        (unsent(400, "odd"), (REFUSED, Why.DENIED)),
        (unsent(429, "the quota of one is used up"), (REFUSED, Why.OVER_QUOTA)),
        (
            unsent(503, "none of 3 holders of the quota answered in view 7"),
            (REFUSED, Why.QUOTA_AWAY),
        ),
        (unsent(503, "1 of 2 replicas answered in view 3"), (REFUSED, Why.LEDGER_AWAY)),
        (
            unsent(503, "1 of 2 replicas answered in view 3", ledger_ms=SLOW),
            (REFUSED, Why.LEDGER_SLOW),
        ),
        (unsent(503, "no server is there"), (REFUSED, Why.NO_SERVER)),
        (unsent(503, "no server has room"), (REFUSED, Why.SERVERS_FULL)),
        (unsent(503, "status 429", servers=["s1"]), (REFUSED, Why.SERVERS_FULL)),
        (
            unsent(503, "status 429", servers=["s1"], left_ms=0),
            (REFUSED, Why.TIME_FIRST),
        ),
        (
            unsent(503, "ConnectionRefusedError(111)", servers=["s1"]),
            (REFUSED, Why.NO_CHANNEL),
        ),
        (unsent(503, "no time left"), (REFUSED, Why.TIME_LEDGER)),
        (unsent(503, "no time left", program=""), (REFUSED, Why.TIME_FIRST)),
        (unsent(503, "a new reason"), (REFUSED, Why.OTHER)),
        (ended(502, "channel lost: odd"), (FAILED, Why.SERVER_LOST)),
        (ended(502), (FAILED, Why.SERVER_SAID)),
        (ended(500), (FAILED, Why.SERVER_SAID)),
        (ended(404), (FAILED, Why.SERVER_SAID)),
        (ended(500, "status 503", servers=["s1", "s2"]), (FAILED, Why.SERVER_SAID)),
        (ended(500, "a new reason"), (FAILED, Why.OTHER)),
        (ended(504), (FAILED, Why.SERVER_SAID)),
        (ended(504, "channel lost: odd"), (FAILED, Why.SERVER_SAID)),
        (ended(504, "status 503", left_ms=-1), (FAILED, Why.TIME_FIRST)),
        (ended(504, "no answer in time"), (FAILED, Why.TIME_FIRST)),
        (ended(504, "no answer in time", ledger_ms=500.0), (FAILED, Why.TIME_LEDGER)),
        (ended(0, "no answer in time", first_ms=50.0), (BROKEN_OFF, Why.TIME_REST)),
        (ended(0, left_ms=0, first_ms=50.0), (BROKEN_OFF, Why.TIME_REST)),
        (ended(0, "channel closed", left_ms=-3), (BROKEN_OFF, Why.TIME_FIRST)),
        (ended(0, "the turn could not be kept"), (BROKEN_OFF, Why.NOT_KEPT)),
        (ended(0, "channel closed"), (BROKEN_OFF, Why.SERVER_LOST)),
        (ended(0), (BROKEN_OFF, Why.CALLER_LEFT)),
        (ended(0, stopping_ms=40), (BROKEN_OFF, Why.STOPPING)),
        (
            Denied(status=503, reason="the configuration is not known yet"),
            (REFUSED, Why.NOT_CONFIGURED),
        ),
        (
            Denied(status=503, reason="no route known, version 3 may be old"),
            (REFUSED, Why.NOT_CONFIGURED),
        ),
        (
            Denied(status=503, reason="no customer known, version 3 may be old"),
            (REFUSED, Why.NOT_CONFIGURED),
        ),
        (
            Denied(status=401, reason="no customer holds the key in version 3"),
            (REFUSED, Why.NO_KEY),
        ),
        (
            Denied(status=401, reason="one key is needed: Bearer KEY"),
            (REFUSED, Why.NO_KEY),
        ),
        (
            Denied(status=404, reason="no route for a.example/x in version 3"),
            (REFUSED, Why.UNKNOWN_ROUTE),
        ),
        (
            Denied(status=503, reason="this process is stopping"),
            (REFUSED, Why.STOPPING),
        ),
        (Denied(status=400, reason="two lengths"), (REFUSED, Why.DENIED)),
    ],
)
def test_each_reason(request_: Denied | Ended, expected: tuple[Outcome, Why]) -> None:
    assert classify(request_, aim_s=1.0, is_cut=False) == Ending(*expected)


@pytest.mark.parametrize(
    ("aim_s", "fields", "expected"),
    [
        (None, {}, (Outcome.ANSWERED, Why.NO_AIM)),
        (0.8, {}, (Outcome.IN_TIME, Why.WITHIN_AIM)),
        (0.7, {}, (Outcome.LATE, Why.TIME_FIRST)),
        (0.7, {"first_ms": 90.0}, (Outcome.LATE, Why.TIME_REST)),
        (0.7, {"ledger_ms": SLOW}, (Outcome.LATE, Why.LEDGER_SLOW)),
        # It would have been late with any ledger.
        (0.1, {"ledger_ms": SLOW}, (Outcome.LATE, Why.TIME_FIRST)),
    ],
)
def test_answers_against_the_aim(
    aim_s: float | None, fields: dict[str, Any], expected: tuple[Outcome, Why]
) -> None:
    assert classify(ended(200, **fields), aim_s, is_cut=False) == Ending(*expected)


def test_a_cut_relay_explains_only_what_nothing_else_does() -> None:
    cut = classify(ended(0), None, is_cut=True)
    over = classify(ended(0, left_ms=0), None, is_cut=True)
    assert cut.why is Why.STOPPING
    assert over.why is Why.TIME_FIRST


def test_an_answer_after_another_try_is_an_answer() -> None:
    again = ended(200, "status 503", servers=["s1", "s2"])
    assert classify(again, 1.0, is_cut=False).outcome is Outcome.IN_TIME


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"status": "200", "took_ms": 1.0, "left_ms": 1},
        {"status": 200, "took_ms": 1.0},
        {"status": 200, "took_ms": 1.0, "left_ms": 1, "servers": "s1"},
    ],
)
def test_a_line_with_wrong_fields_is_no_request(fields: dict[str, Any]) -> None:
    assert decode_request(Line(1.0, "r1", REQUEST_LINES[0], fields)) is None


def test_relays_still_write_these_reasons() -> None:
    sources = "".join(path.read_text("utf-8") for path in RELAY.glob("*.py"))
    for name in (
        "NO_CONFIGURATION",
        "OLD_CONFIGURATION",
        "NO_ROUTE",
        "LAST_CALL",
        "NO_BUDGET",
        "NO_TURN",
        "FEW_REPLICAS",
        "NOT_KEPT",
        "NO_SERVER",
        "NO_ROOM",
        "SAID_FULL",
        "NO_ANSWER",
        "NO_TIME",
    ):
        assert getattr(endings, name) in sources, name
