"""Which programs may start, and when refused callers come back."""

from __future__ import annotations

import random

import pytest

from wisteriastair.scheduling.admission import (
    MAX_PROGRAMS,
    MAX_RETRY_FRACTION,
    MIN_RETRY_S,
    PROGRAM_MEMORY_S,
    REFUSING_S,
    Admission,
    Party,
)
from wisteriastair.scheduling.fleet import Load, Server, ServerState
from wisteriastair.scheduling.need import Refuse, RequestNeed, Wait

SLOTS = 6
SERVERS = 4
TURN_S = 0.4
# Nine turns; 1.5 times the time on idle servers.
FINISH_S = 9 * TURN_S * 1.5
PARTY = Party("turn")


def need(program: str = "p", **changed: object) -> RequestNeed:
    plain = RequestNeed(
        "svc",
        kind="turn",
        program=program,
        is_new_program=True,
        finish_s=FINISH_S,
        remaining_s=2 * FINISH_S,
    )
    return plain._replace(**changed)  # type: ignore[arg-type]


class Setting:
    """One relay's admission, and servers with a given number of waiting requests."""

    def __init__(
        self, waiting: int, running: int = SLOTS, parties: tuple[str, ...] = ("turn",)
    ) -> None:
        self.admission = Admission()
        self.admission.record_turn(need("earlier"), TURN_S, False, 0.0)
        self.rng = random.Random(5)
        self.states = [
            ServerState(Server(f"s{n}", "svc", "a:1", "d", SLOTS, False, 0.0))
            for n in range(SERVERS)
        ]
        for state in self.states:
            state.in_flight = 2
        # Parties without any start get one in spite of a queue.
        for name in parties:
            self.decide(need(f"earlier {name}"), Party(name), now=-1.0)
        self.report(waiting, running)

    def report(self, waiting: int, running: int = SLOTS, now: float = 0.0) -> None:
        for state in self.states:
            state.record_load(Load(running, waiting, SLOTS), now)

    def report_each(self, *waiting: int, now: float = 0.0) -> None:
        for state, number in zip(self.states, waiting, strict=True):
            state.record_load(Load(SLOTS, number, SLOTS), now)

    def decide(
        self,
        request: RequestNeed,
        party: Party = PARTY,
        now: float = 0.0,
        *,
        waited_s: float = 0.0,
        max_wait_s: float = 0.0,
    ) -> Wait | Refuse | None:
        return self.admission.decide(
            request,
            party,
            self.states,
            self.rng.randrange,
            now,
            waited_s=waited_s,
            max_wait_s=max_wait_s,
        )


def refused(verdict: Wait | Refuse | None) -> Refuse:
    assert isinstance(verdict, Refuse)
    return verdict


def test_nothing_is_refused_while_slots_are_free() -> None:
    """One server queues because a prompt is cached there; others have free slots."""
    setting = Setting(0, running=2)
    setting.states[0].record_load(Load(SLOTS, 3, SLOTS), 0.0)
    assert setting.decide(need()) is None


def test_nothing_is_refused_if_servers_are_busy_but_nothing_waits() -> None:
    """Servers are merely slow: work that is put off comes back into the burst."""
    setting = Setting(0)
    for state in setting.states:
        state.in_flight = 5 * SLOTS
    for number in range(50):
        assert setting.decide(need(f"p{number}")) is None


def test_nothing_is_refused_with_unknown_load() -> None:
    """A relay has just started, or all reports are lost."""
    setting = Setting(90)
    assert setting.decide(need(), now=30.0) is None


def test_a_relay_with_an_empty_memory_decides_by_the_queue() -> None:
    """A relay comes back in an overload and knows no times of turns."""
    setting = Setting(1)
    for waiting in (1, 2 * SLOTS):
        setting.report(waiting)
        fresh = Admission()
        verdict = fresh.decide(
            need(), PARTY, setting.states, setting.rng.randrange, 0.0
        )
        assert isinstance(verdict, Refuse) == (waiting > 1)


def test_a_program_that_cannot_end_in_time_is_refused() -> None:
    verdict = refused(Setting(2 * SLOTS).decide(need()))
    assert "turns wait" in verdict.reason


def test_a_program_that_can_end_in_time_starts_in_spite_of_a_queue() -> None:
    assert Setting(1).decide(need()) is None


def test_turns_of_running_programs_are_never_refused() -> None:
    """Work that was done for a program is wasted if one of its turns is refused."""
    setting = Setting(1)
    assert setting.decide(need("known")) is None
    setting.report(100)
    assert setting.decide(need("known")) is None, "its first turn is sent again"
    assert setting.decide(need("other", is_new_program=False)) is None
    assert setting.decide(need("other")) is None, "a sub-agent of a running program"


def test_a_program_with_tool_calls_here_is_known() -> None:
    setting = Setting(100)
    setting.admission.record_request(need("p", is_new_program=False), 0.0)
    assert setting.decide(need("p")) is None
    setting.admission.record_tool_call(need("q", is_new_program=False), 0.0)
    assert setting.decide(need("q")) is None


def test_the_pause_between_turns_includes_tool_calls() -> None:
    """A pause that ended at the tool call would make programs look longer."""
    admission = Admission()
    admission.record_request(need(), 0.0)
    admission.record_turn(need(), TURN_S, False, 0.0)
    tool_call = need(service="tools", kind="tool", is_new_program=False)
    admission.record_tool_call(tool_call, 0.1)
    admission.record_request(need(), 0.5)
    assert admission._services["svc"].times_of("turn").pause_s > 0
    assert "tools" not in admission._services


def test_a_request_without_a_stated_end_needs_time_for_one_turn() -> None:
    """A caller states no end of its program; only its deadline is known."""
    setting = Setting(2 * SLOTS)
    assert setting.decide(need("a", finish_s=None)) is None
    refused(setting.decide(need("b", finish_s=None, remaining_s=0.5)))


def test_a_caller_that_was_refused_goes_before_new_programs() -> None:
    """Otherwise callers that come back queue behind new ones each time."""
    setting = Setting(2 * SLOTS)
    refused(setting.decide(need("returning")))
    # Between the two limits of the wait: 15 waiting requests for 24 slots.
    setting.report_each(4, 4, 4, 3)
    refused(setting.decide(need("new")))
    assert setting.decide(need("returning")) is None


def test_a_program_that_did_not_run_goes_before_new_programs() -> None:
    """It was allowed to start, but no server had memory for it."""
    setting = Setting(0)
    assert setting.decide(need("returning")) is None
    setting.admission.withdraw_start(need("returning"), PARTY, 0.0)
    setting.report_each(4, 4, 4, 3)
    refused(setting.decide(need("new")))
    assert setting.decide(need("returning")) is None
    setting.report(100)
    assert setting.decide(need("returning")) is None, "it runs now"


def test_retry_after_is_at_most_a_third_of_the_remaining_time() -> None:
    """Callers honour no longer delay, and come back at a time of their own."""
    setting = Setting(50 * SLOTS)
    for number in range(300):
        finish_s = setting.rng.uniform(0.01, 20.0)
        request = need(f"p{number}", finish_s=finish_s, remaining_s=8.0)
        delay_s = refused(setting.decide(request)).retry_after_s
        assert 0 < delay_s <= min(finish_s, 8.0) * MAX_RETRY_FRACTION


@pytest.mark.parametrize("remaining_s", [8.0, 0.0])
def test_a_late_program_is_told_when_to_retry(remaining_s: float) -> None:
    """Its target time is over, so a third of that is nothing."""
    setting = Setting(50 * SLOTS)
    request = need(finish_s=0.0, remaining_s=remaining_s)
    delay_s = refused(setting.decide(request)).retry_after_s
    assert MIN_RETRY_S <= delay_s <= max(MIN_RETRY_S, 8.0 * MAX_RETRY_FRACTION)


def test_retry_after_grows_with_the_queue_and_is_spread() -> None:
    """Callers that were refused together must not come back together."""
    short = refused(Setting(SLOTS).decide(need())).retry_after_s
    long = refused(Setting(3 * SLOTS).decide(need())).retry_after_s
    assert short < long
    setting = Setting(50 * SLOTS)
    drawn = [refused(setting.decide(need(f"p{n}"))).retry_after_s for n in range(100)]
    assert max(drawn) - min(drawn) > 0.3 * max(drawn)
    assert min(drawn) >= MIN_RETRY_S


def test_a_short_excess_is_waited_for_within_the_bound() -> None:
    """A slot becomes free within the wait; a refusal would cost a round trip."""
    setting = Setting(2 * SLOTS)
    verdict = setting.decide(need(), max_wait_s=1.0)
    assert isinstance(verdict, Wait) and 0 < verdict.seconds <= 1.0
    refused(setting.decide(need(), max_wait_s=1.0, waited_s=0.9))


def test_a_wait_leaves_the_request_most_of_its_time() -> None:
    """The caller waits 0.1 s for this request, the route allows a wait of 1 s."""
    setting = Setting(2 * SLOTS)
    refused(setting.decide(need(remaining_s=0.1), max_wait_s=1.0))


def test_a_flooding_customer_leaves_others_their_share() -> None:
    """A customer with a small weight floods; one within its share asks too.

    The customer in its share may use a longer queue, so it gets in where the flood is
    refused.
    """
    setting = Setting(1, parties=("flood", "small"))
    flood = Party("flood", 1.0, has_rank=False)
    small = Party("small", 1.0, has_rank=False)
    now = 0.0
    for number in range(40):
        now = 0.05 * number
        setting.report(1, now=now)
        setting.decide(need(f"f{number}"), flood, now)
    for number in range(5):
        setting.report(2 * SLOTS, now=now)
        setting.decide(need(f"s{number}"), small, now)
    now += 0.1
    # Between the limits of both: 13 waiting requests for 24 slots.
    setting.report_each(4, 3, 3, 3, now=now)
    refused(setting.decide(need("f-last"), flood, now))
    assert setting.decide(need("s4"), small, now) is None


def test_a_less_urgent_kind_is_not_served_better() -> None:
    """The less urgent kind pauses between its turns, so it can bear longer waits."""
    setting = Setting(SLOTS, parties=("urgent", "single"))
    relaxed = need("relaxed", rank=2, kind="single")
    setting.admission.record_request(relaxed._replace(program="x"), 0.0)
    for _ in range(200):
        setting.admission.record_turn(relaxed._replace(program="x"), TURN_S, False, 0.0)
        setting.admission.record_request(relaxed._replace(program="x"), 0.9)
    assert setting.decide(relaxed, Party("single")) is None, "alone it fits in"
    refused(setting.decide(need("urgent", rank=0), Party("urgent")))
    other = relaxed._replace(program="relaxed 2")
    refused(setting.decide(other, Party("single"), now=0.1))


def test_no_party_starves() -> None:
    """The queue stays too long for ever; each kind still gets some starts.

    The exceptions are a small fraction of what this relay could start.
    """
    setting = Setting(2 * SLOTS, parties=())
    starts = dict.fromkeys(("a", "b", "c"), 0)
    now = 0.0
    for number in range(6_000):
        now = number * 0.01
        setting.report(2 * SLOTS, now=now)
        name = "abc"[number % 3]
        party = Party(name, has_rank=False)
        if setting.decide(need(f"p{number}"), party, now) is None:
            starts[name] += 1
    own_share = 2 / (3 * SLOTS + 2)
    capacity = now * SERVERS * SLOTS / (9 * TURN_S) * own_share
    assert min(starts.values()) >= 1
    assert sum(starts.values()) <= 0.2 * capacity + 3


def test_others_are_assumed_to_start_programs_too() -> None:
    """Many programs arrive at once, before any load report shows them."""
    setting = Setting(1)
    verdicts = [setting.decide(need(f"p{n}")) for n in range(100)]
    started = verdicts.count(None)
    assert 1 <= started < 20
    setting.report(1, now=0.9)
    assert setting.decide(need("later"), now=0.9) is None, "newer observations"


def test_a_service_stops_refusing_after_a_while() -> None:
    setting = Setting(2 * SLOTS)
    assert not setting.admission.is_refusing("svc", 0.0)
    refused(setting.decide(need()))
    assert setting.admission.is_refusing("svc", 0.0)
    assert not setting.admission.is_refusing("svc", REFUSING_S + 0.1)


def test_retry_after_of_rejected_turns_follows_the_queue() -> None:
    def delay_s(waiting: int) -> float:
        setting = Setting(waiting)
        return setting.admission.retry_after_s(
            need(is_new_program=False), setting.states, lambda n: n // 2, 0.0
        )

    assert delay_s(SLOTS) == pytest.approx(TURN_S)
    assert delay_s(3 * SLOTS) > 2 * delay_s(SLOTS)


def test_memory_is_bounded() -> None:
    """Each caller makes up a program id; refused callers may never come back."""
    setting = Setting(2 * SLOTS)
    for number in range(MAX_PROGRAMS + 500):
        setting.admission.record_request(need(f"run{number}"), 0.0)
        setting.admission.record_turn(need(f"run{number}"), TURN_S, False, 0.0)
    assert len(setting.admission._programs) <= MAX_PROGRAMS
    assert len(setting.admission._turn_ends) <= MAX_PROGRAMS
    for number in range(100):
        refused(setting.decide(need(f"p{number}")))
    later = PROGRAM_MEMORY_S + 1
    setting.report(2 * SLOTS, now=later)
    for number in range(100):
        setting.admission.record_request(need("run"), later)
        setting.decide(need(f"q{number}"), now=later)
    assert len(setting.admission._refused) <= 100
