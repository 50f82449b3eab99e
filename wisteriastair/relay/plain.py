"""Requests to plain services: one whole answer, or a truthful failure.

The answer is read whole before it is passed on, so that one that breaks off can still
be replaced for a request that may be repeated, and never looks complete.
"""

from __future__ import annotations

from typing import Final

import anyio

from ..errors import Code, Failure
from ..http1.messages import ResponseHead
from ..platform.headers import forwarded_headers, has_server_stamp, response_headers
from .answers import fail, is_server_error
from .dispatch import Dispatcher, Lost, NotRun, Started, read_whole
from .job import Job

# Answers are held in memory while they are read.
MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
# Servers that may refuse a request before the caller is told to come back.
MAX_REFUSALS: Final = 3
# When to come back after refusals for lack of room, in seconds.
COME_BACK_S: Final = 0.2
# Statuses that would promise, in the system's name, that nothing has run.
PROMISES: Final = (408, 421, 429, 503)
SUCCESS: Final = range(200, 300)


class Answer:
    """A server's whole answer."""

    def __init__(self, head: ResponseHead, body: bytes) -> None:
        self.head = head
        self.body = body


async def run_plain(job: Job, dispatcher: Dispatcher) -> None:
    """Answer a request to a plain service."""
    answer: Answer | Failure = Failure(Code.TIMED_OUT, "no answer in time", "unknown")
    with anyio.move_on_after(max(0.0, job.remaining_s())):
        refusal = await job.permission.refusal(job.req.received_at)
        answer = refusal or await _find_answer(job, dispatcher)
    if isinstance(answer, Failure):
        if answer.code is Code.TIMED_OUT and not job.sent:
            answer = Failure(Code.TOO_LATE, "no time left", "no", COME_BACK_S)
        job.reason = job.reason or answer.detail
        job.failure = answer
        job.status = fail(job.caller_conn, job.asked.id, answer)
        return
    job.status = answer.head.status
    job.caller_conn.respond(job.status, response_headers(answer.head), answer.body)


async def _find_answer(job: Job, dispatcher: Dispatcher) -> Answer | Failure:
    refused: set[str] = set()
    runs = 0
    retry_policy = dispatcher.retry_policy
    retry_policy.record_request()
    while True:
        state = dispatcher.pick(
            job.service, frozenset(refused), body_bytes=len(job.req.body)
        )
        if state is None or len(refused) >= MAX_REFUSALS:
            detail = "no server has room" if refused else "no server is there"
            code = Code.SERVERS_FULL if refused else Code.NO_SERVER
            if runs:
                return Failure(Code.SERVER_LOST, job.reason, "unknown")
            return Failure(code, detail, "no", COME_BACK_S)
        server_id = state.server.id
        job.tried.append(server_id)
        headers = forwarded_headers(
            job.req,
            remaining_s=job.remaining_s(),
            server_id=server_id,
            body_bytes=len(job.req.body),
            customer=job.customer_name,
        )
        job.sent = True
        attempt_timeout_s = None
        if job.route.repeatable and runs + 1 < job.route.max_servers:
            attempt_timeout_s = retry_policy.attempt_timeout_s(job.service)
        began = job.now()
        async with dispatcher.send(
            state,
            job.req,
            job.asked.id,
            headers,
            job.req.body,
            attempt_timeout_s=attempt_timeout_s,
        ) as outcome:
            answer = await _read(job, outcome)
        if isinstance(answer, Answer):
            if is_server_error(answer.head.status):
                # Counted as good, errors that come at once make a server look fast.
                dispatcher.record_failure(state)
            else:
                state.record_success(job.age_s())
                retry_policy.record_response(job.service, job.now() - began)
            return answer
        if isinstance(answer, NotRun):
            job.sent = runs > 0
            job.reason = answer.reason
            refused.add(answer.server)
            continue
        runs += 1
        job.reason = answer.reason
        refused.add(answer.server)
        dispatcher.record_failure(state)
        if not job.route.repeatable or runs >= job.route.max_servers:
            return Failure(Code.SERVER_LOST, answer.reason, "unknown")
        retry_policy.record_retry()


async def _read(job: Job, outcome: Started | NotRun | Lost) -> Answer | NotRun | Lost:
    if not isinstance(outcome, Started):
        return outcome
    server_id = outcome.state.server.id
    body = await read_whole(outcome.exchange, MAX_ANSWER_BYTES)
    if isinstance(body, str):
        return Lost(server_id, body)
    head = outcome.head
    if head.status in SUCCESS and not has_server_stamp(head):
        return Lost(server_id, "a success without the server's stamp")
    if head.status in PROMISES:
        # Without the server's word that it has not run this would be a false promise.
        return Lost(server_id, f"status {head.status}")
    return Answer(head, body)
