"""What callers see of a relay, before servers that misbehave."""

from __future__ import annotations

import asyncio

import anyio

from tests.relay.harness import (
    Exchange,
    RelayHarness,
    ScriptedServer,
    answer_ok,
    run_scenario,
)
from wisteriastair.core.fleet import EJECTION_FAILURES

EVENTS = ("id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n")
TURN = {
    "X_Program_Id": "p",
    "X_Token_Usage": "10,200",
    "X_Token_Budget": "1000",
}


async def resets(exchange: Exchange) -> None:
    exchange.reset()


async def sheds(exchange: Exchange) -> None:
    await exchange.write_text(
        "HTTP/1.1 503 Service Unavailable\nX-Not-Executed: 1\nContent-Length: 0\n\n"
    )


async def streams(exchange: Exchange) -> None:
    await exchange.stream(*EVENTS)


def test_answer_is_passed_on_whole_with_its_stamp() -> None:
    server = ScriptedServer("s1", answer_ok)

    async def story(at: RelayHarness) -> None:
        reply = await at.ask("safe")
        assert (reply.status, reply.body) == (200, b"fine")
        assert "X-Server-Stamp: s1" in reply.head
        got = server.exchanges[0]
        assert got.header("X-Expect-Instance") == "s1"
        assert 0 < int(got.header("X-Deadline-Ms")) <= 2_000

    run_scenario([server], story)


def test_lost_answer_is_asked_again_only_if_it_may_be() -> None:
    """Each server takes the request and resets the channel: it may have run.

    A safe request is sent to the next server.  An unsafe one must not be; and since it
    may have run, the answer must not be one that promises the opposite.
    """
    servers = [ScriptedServer("s1", resets), ScriptedServer("s2", resets)]

    async def story(at: RelayHarness) -> None:
        assert (await at.ask("safe", "a")).status == 502
        assert sorted(len(s.exchanges) for s in servers) == [1, 1]
        assert (await at.ask("unsafe", "b")).status == 502
        assert sum(len(s.exchanges) for s in servers) == 3

    run_scenario(servers, story)


def test_refused_request_goes_to_another_server() -> None:
    """One server is full and says so; the other one has room."""
    servers = [ScriptedServer("s1", sheds), ScriptedServer("s2", answer_ok)]

    async def story(at: RelayHarness) -> None:
        for number in range(6):
            reply = await at.ask("unsafe", f"q{number}")
            assert reply.status == 200

    run_scenario(servers, story)


def test_refused_everywhere_tells_when_to_come_back() -> None:
    async def story(at: RelayHarness) -> None:
        reply = await at.ask("unsafe")
        assert reply.status == 503
        assert "Retry-After: " in reply.head
        assert b'"ran":"no"' in reply.body

    run_scenario([ScriptedServer("s1", sheds)], story)


def test_503_without_the_servers_word_is_no_promise() -> None:
    """A server answers 503 but does not say that it has not run the request.

    Passed on as it is, the caller would take it for a promise and send it again.
    """

    async def bare(exchange: Exchange) -> None:
        await exchange.answer("", status="503 Service Unavailable")

    async def story(at: RelayHarness) -> None:
        reply = await at.ask("unsafe")
        assert reply.status == 502
        assert "X-Server-Stamp" not in reply.head

    run_scenario([ScriptedServer("s1", bare)], story)


def test_late_second_answer_is_not_given_to_the_next_request() -> None:
    """A server sends an earlier answer once more where the next one is expected.

    Without the check of its id the next caller would get another caller's answer.
    """

    async def doubles(exchange: Exchange) -> None:
        if exchange.header("X-Request-Id") == "second":
            await exchange.write_text(
                "HTTP/1.1 200 OK\nX-Request-Id: first\nX-Server-Stamp: s1\n"
                "Content-Length: 5\n\nstale"
            )
        await exchange.answer("fresh")

    async def story(at: RelayHarness) -> None:
        assert (await at.ask("safe", "first")).body == b"fresh"
        assert (await at.ask("safe", "second")).body == b"fresh"
        assert (await at.ask("safe", "third")).body == b"fresh"

    run_scenario([ScriptedServer("s1", doubles)], story)


def test_answer_without_a_length_is_whole_only_at_an_orderly_end() -> None:
    """The server gives no length; the end of the channel ends the answer.

    If the channel is reset instead, what came must not pass for a whole answer.
    """
    ends: list[str] = []

    async def unframed(exchange: Exchange) -> None:
        request_id = exchange.header("X-Request-Id")
        await exchange.write_text(
            f"HTTP/1.1 200 OK\nX-Request-Id: {request_id}\nX-Server-Stamp: s1\n\nbody"
        )
        if ends.pop(0) == "orderly":
            exchange.writer.close()
        else:
            await asyncio.sleep(0.05)
            exchange.reset()

    async def story(at: RelayHarness) -> None:
        ends[:] = ["orderly"]
        reply = await at.ask("unsafe", "a")
        assert (reply.status, reply.body) == (200, b"body")
        ends[:] = ["reset"]
        assert (await at.ask("unsafe", "b")).status == 502

    run_scenario([ScriptedServer("s1", unframed)], story)


def test_caller_that_leaves_frees_the_server() -> None:
    """The caller closes while the server works; the server must see it at once."""

    async def story(at: RelayHarness) -> None:
        caller = await at.open()
        await caller.send("unsafe", "q")
        while not server.exchanges:
            await asyncio.sleep(0.01)
        caller.writer.close()
        with anyio.fail_after(0.5):
            assert await server.exchanges[0].reader.read() == b""

    async def works(exchange: Exchange) -> None:
        await asyncio.sleep(5)

    server = ScriptedServer("s1", works)
    run_scenario([server], story)


def test_kept_turn_gets_what_was_said_before() -> None:
    """The second turn carries only its new input; the server needs the whole chain."""
    server = ScriptedServer("s1", streams)

    async def story(at: RelayHarness) -> None:
        first = await at.ask("turn", "t1", body="ask", **TURN)
        assert first.whole and first.body == "".join(EVENTS).encode()
        second = await at.ask("turn", "t2", body="more", X_Previous_Turn="t1", **TURN)
        assert second.whole
        assert server.exchanges[1].body == b"askone\ntwo\nmore"
        third = await at.ask("turn", "t3", body="", X_Previous_Turn="none", **TURN)
        assert third.status == 404

    run_scenario([server], story)


def test_turn_is_durable_before_its_end_is_passed_on() -> None:
    """Two of three keepers are lost while a turn is streamed.

    The events have gone out, but the turn cannot be kept.  If the caller saw the end
    it would continue from a turn that a later loss can take away.
    """

    async def story(at: RelayHarness) -> None:
        at.keepers.cut = {"k1:1", "k2:1"}
        reply = await at.ask("turn", "t2", X_Deadline_Ms="700", **TURN)
        assert reply.status == 503
        at.keepers.cut = set()
        await at.keepers.client.probe()

        async def cuts(exchange: Exchange) -> None:
            await exchange.stream(EVENTS[0], end=False)
            at.keepers.cut = {"k1:1", "k2:1"}
            exchange.writer.write(b"0\r\n\r\n")

        server.script = cuts
        reply = await at.ask("turn", "t3", X_Deadline_Ms="700", **TURN)
        assert reply.body == EVENTS[0].encode()
        assert not reply.whole

    server = ScriptedServer("s1", streams)
    run_scenario([server], story)


def test_relay_that_is_cut_off_from_the_ledger_refuses_at_once() -> None:
    """All keepers are out of reach while a caller sends turn after turn.

    The first turn waits for its limit.  After it the relay knows: the next ones are
    refused at once, truthfully, and the platform is told to send callers elsewhere.
    """
    server = ScriptedServer("s1", streams)

    async def story(at: RelayHarness) -> None:
        at.keepers.cut = {"k0:1", "k1:1", "k2:1"}
        assert at.keepers.client.reachable
        assert (await at.ask("turn", "t1", **TURN)).status == 503
        assert not at.keepers.client.reachable
        began = asyncio.get_running_loop().time()
        reply = await at.ask("turn", "t2", **TURN)
        assert reply.status == 503 and "Retry-After: " in reply.head
        assert asyncio.get_running_loop().time() - began < 0.1
        at.keepers.cut = set()
        await at.keepers.client.probe()
        assert at.keepers.client.reachable
        assert (await at.ask("turn", "t3", **TURN)).status == 200
        assert len(server.exchanges) == 1

    run_scenario([server], story)


def test_spent_budget_is_refused_before_a_server_sees_the_turn() -> None:
    server = ScriptedServer("s1", streams)

    async def story(at: RelayHarness) -> None:
        turn = TURN | {"X_Token_Budget": "230"}
        assert (await at.ask("turn", "t1", **turn)).status == 200
        assert (await at.ask("turn", "t2", **turn)).status == 402
        assert len(server.exchanges) == 1

    run_scenario([server], story)


def test_broken_stream_that_may_be_resumed_goes_on_after_its_last_event() -> None:
    """The server stops in the middle of the second event.

    The caller gets one answer with each event once: the stream goes on after the last
    whole event, and the half event is not passed on.
    """

    async def breaks_once(exchange: Exchange) -> None:
        last = exchange.header("Last-Event-Id")
        if last:
            assert last == "1"
            await exchange.stream(EVENTS[1])
            return
        await exchange.stream(EVENTS[0], EVENTS[1][:9], end=False)
        exchange.reset()

    async def story(at: RelayHarness) -> None:
        reply = await at.ask("talk", "q", **TURN)
        assert reply.whole
        assert reply.body == "".join(EVENTS).encode()

    run_scenario([ScriptedServer("s1", breaks_once)], story)


def test_a_caller_that_reads_slowly_slows_the_server() -> None:
    """A server sends megabytes while the caller does not read.

    Kept in the relay they would take its memory, and all its callers' with it.  The
    server is made to wait instead; once the caller reads, it gets every event.
    """
    event = "data: " + "x" * 50_000 + "\n\n"
    count = 240
    sent: list[int] = []

    async def floods(exchange: Exchange) -> None:
        for _ in range(count):
            sent.append(1)
            await exchange.send_event(event)
        await exchange.end_stream()

    async def story(at: RelayHarness) -> None:
        caller = await at.open()
        await caller.send("long", "q", X_Deadline_Ms="9000", **TURN)
        await asyncio.sleep(0.5)
        assert len(sent) < count
        reply = await caller.read()
        assert len(reply.body) == count * len(event)

    run_scenario([ScriptedServer("s1", floods)], story)


def test_broken_stream_that_may_not_be_resumed_ends_visibly() -> None:
    async def breaks(exchange: Exchange) -> None:
        await exchange.stream(EVENTS[0], EVENTS[1][:9], end=False)
        exchange.reset()

    async def story(at: RelayHarness) -> None:
        reply = await at.ask("turn", "q", **TURN)
        assert not reply.whole
        assert reply.body == EVENTS[0].encode()

    run_scenario([ScriptedServer("s1", breaks)], story)


def test_hidden_request_is_not_run() -> None:
    """A request is framed in two ways, or another one lies in its body.

    Read by the wrong length, the server would run a request that no caller sent.
    """
    server = ScriptedServer("s1", answer_ok)
    hidden = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: z\r\n\r\n"

    async def story(at: RelayHarness) -> None:
        caller = await at.open()
        await caller.send("unsafe", "a", body=hidden)
        assert (await caller.read()).status == 200
        assert server.exchanges[0].body == hidden.encode()
        await caller.send_raw(
            "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: b\r\n"
            f"Content-Length: {len(hidden)}\r\nTransfer-Encoding: chunked\r\n\r\n"
            f"0\r\n\r\n{hidden}"
        )
        assert (await caller.read()).status == 400
        assert len(server.exchanges) == 1

    run_scenario([server], story)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def echoes(exchange: Exchange) -> None:
        request_id = exchange.header("X-Request-Id")
        await asyncio.sleep(0.05 if request_id == "q0" else 0)
        await exchange.answer(request_id)

    async def story(at: RelayHarness) -> None:
        caller = await at.open()
        for number in range(5):
            await caller.send("unsafe", f"q{number}")
        for number in range(5):
            assert (await caller.read()).body == f"q{number}".encode()

    run_scenario([ScriptedServer("s1", echoes)], story)


def test_without_a_configuration_nothing_is_denied() -> None:
    """A relay has just started and the store is away: it cannot know any route."""

    async def story(at: RelayHarness) -> None:
        at.handler.table = None
        reply = await at.ask("safe")
        assert reply.status == 503
        assert "Retry-After: " in reply.head

    run_scenario([], story)


def test_an_old_configuration_denies_no_route() -> None:
    """The store is away; a route that was added meanwhile is asked for."""

    async def story(at: RelayHarness) -> None:
        assert (await at.ask("other")).status == 404
        at.handler.certain = False
        assert (await at.ask("other")).status == 503

    run_scenario([], story)


def test_bad_requests_get_typed_errors() -> None:
    async def story(at: RelayHarness) -> None:
        for text, status in (
            ("GET /safe/x HTTP/1.1\r\nX-Request-Id: a\r\n\r\n", 400),
            ("GET /safe/x HTTP/1.1\r\nHost: h\r\n\r\n", 400),
            ("nonsense\r\n\r\n", 400),
            (f"GET /safe/x HTTP/1.1\r\nHost: h\r\nA: {'x' * 20_000}\r\n\r\n", 431),
            (
                "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n",
                413,
            ),
        ):
            caller = await at.open()
            await caller.send_raw(text)
            reply = await caller.read()
            assert reply.status == status, text[:40]
            assert b'"code"' in reply.body

    run_scenario([], story)


def test_time_out_before_and_after_a_send() -> None:
    """The server is silent until the route's limit: the request may have run."""

    async def silent(exchange: Exchange) -> None:
        await asyncio.sleep(5)

    async def story(at: RelayHarness) -> None:
        assert (await at.ask("unsafe", "a", X_Deadline_Ms="200")).status == 504

    run_scenario([ScriptedServer("s1", silent)], story)


def test_after_the_last_call_requests_are_sent_elsewhere_unseen_by_servers() -> None:
    server = ScriptedServer("s1", answer_ok)

    async def story(at: RelayHarness) -> None:
        at.handler.last_call = True
        for name in ("safe", "unsafe", "talk"):
            reply = await at.ask(name)
            assert reply.status == 503
            assert b'"ran":"no"' in reply.body and b'"stopping"' in reply.body
            assert "Retry-After: 0.050" in reply.head
        assert not server.exchanges

    run_scenario([server], story)


def test_a_server_that_answers_errors_at_once_is_not_taken_for_fast() -> None:
    """A server answers every request 500 within a millisecond, and calls itself well.

    Each error counted as a good answer: the server looked idle and the fastest of all,
    and most calls were led to it.
    """

    async def broken(exchange: Exchange) -> None:
        await exchange.answer("oops", status="500 Internal Server Error")

    bad = ScriptedServer("s1", broken)
    fine = ScriptedServer("s2", answer_ok)

    async def story(relay: RelayHarness) -> None:
        other = relay.fleet.get("s2")
        assert other is not None
        other.in_flight = 5
        for number in range(10):
            await relay.ask("unsafe", f"q{number}")
        assert len(bad.exchanges) == EJECTION_FAILURES
        assert len(fine.exchanges) == 10 - EJECTION_FAILURES

    run_scenario([bad, fine], story)
