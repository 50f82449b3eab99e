"""Channels to backend servers, kept between requests."""

from __future__ import annotations

import anyio

from tests.relay.stand import Exchange, ScriptedServer
from wisteriastair.core.fleet import Server
from wisteriastair.http1.server import ServerChannel
from wisteriastair.relay.pool import ConnectionPool


def test_no_channel_of_an_earlier_start_takes_a_request() -> None:
    """A server crashes and starts again under its id and address.

    A channel from before looks idle and open until the reset arrives.  A request sent
    on it would be lost, and nobody could say whether it has run.
    """

    async def silent(exchange: Exchange) -> None:
        raise AssertionError("nothing is sent")

    async def main() -> None:
        listener = ScriptedServer("s1", silent)
        await listener.start()
        pool = ConnectionPool(lambda server_id: None)
        before = Server("s1", "svc", listener.address, "d", 8, False, 0.0, born=1)
        after = before._replace(born=2)
        kept = await pool.acquire(before)
        assert isinstance(kept, ServerChannel)
        pool._idle[before.start] = [kept]
        assert pool.idle_incarnations() == {before.start}
        fresh = await pool.acquire(after)
        assert fresh is not kept
        pool.close_unused([before])
        assert kept.closed and not pool.idle_incarnations()
        listener.stop()

    anyio.run(main)
