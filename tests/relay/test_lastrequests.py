"""Tests of what servers had said of their last requests when they ended."""

from __future__ import annotations

from wisteriastair.relay.crashlog import Clearance
from wisteriastair.relay.lastrequests import (
    MAX_REQUESTS,
    RECENT_S,
    LastRequest,
    LastRequests,
)


def test_recent_requests_of_a_server_that_ends() -> None:
    requests = LastRequests()
    requests.add("s1.0", LastRequest("old", Clearance.ANSWERED, 0.0))
    requests.add("s1.0", LastRequest("new", Clearance.NOT_RUN, 5.0))
    requests.add("s2.0", LastRequest("other", Clearance.ANSWERED, 5.0))
    taken = requests.take("s1.0", 5.0 + RECENT_S)
    assert [request.request for request in taken] == ["new"]
    assert requests.take("s1.0", 5.0) == []


def test_requests_are_bounded() -> None:
    requests = LastRequests()
    for number in range(MAX_REQUESTS + 5):
        requests.add("s1.0", LastRequest(str(number), Clearance.ANSWERED, 0.0))
    assert len(requests.take("s1.0", 0.0)) == MAX_REQUESTS
    requests.add("s1.0", LastRequest("last", Clearance.ANSWERED, 0.0))
    requests.expire(RECENT_S + 1.0)
    assert requests.take("s1.0", 0.0) == []
