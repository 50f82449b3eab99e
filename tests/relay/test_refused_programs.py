"""Running programs that a holder of the customer's quota has refused."""

from __future__ import annotations

from tests.relay.harness import RelayHarness, ScriptedServer
from tests.relay.test_customers import (
    TURN,
    bearer,
    customers,
    run_with_customers,
    stream_events,
)
from wisteriastair.core.customers import Quota
from wisteriastair.core.quota import Permit, PermitStatus, QuotaHolder


def test_a_refused_program_is_not_tried_at_other_holders() -> None:
    """The holder that knows a program refuses it as a whole; the others have permits.

    If the relay asked them, single turns of the program would run, though it cannot
    end.
    """
    server = ScriptedServer("s1", stream_events)

    async def scenario(harness: RelayHarness) -> None:
        key = bearer("one", **TURN)
        assert (await harness.request("turn", "t1", **key)).status == 200
        asked = []

        def refuse(*args: object) -> Permit:
            asked.append(args)
            return Permit(PermitStatus.EXHAUSTED, 0.3, True)

        holders: list[QuotaHolder] = [c.quota for c in harness.keepers.cores.values()]
        first = next(h for h in holders if "p" in h._accounts["one"].programs)
        first.request_permit = refuse  # type: ignore[method-assign, assignment]
        follow = {"X_Previous_Turn": "t1"}
        reply = await harness.request("turn", "t2", **key, **follow)
        assert reply.status == 429
        assert "Retry-After: 0.3" in reply.head or "Retry-After: 0.4" in reply.head
        assert len(asked) == 1
        assert len(server.exchanges) == 1

    run_with_customers(customers(Quota(100.0, 100.0)), [server], scenario)
