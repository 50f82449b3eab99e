"""Channels to backend servers, kept between requests."""

from __future__ import annotations

import anyio

from tests.relay.harness import Exchange, ScriptedServer
from wisteriastair.core.fleet import Server
from wisteriastair.http1.server import ServerConnection
from wisteriastair.relay.pool import Pool


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
        pool = Pool(lambda server_id: None)
        before = Server("s1", "svc", listener.address, "d", 8, False, 0.0, born=1)
        after = before._replace(born=2)
        kept = await pool.acquire(before)
        assert isinstance(kept, ServerConnection)
        pool._idle[before.incarnation] = [kept]
        assert pool.connected() == {before.incarnation}
        fresh = await pool.acquire(after)
        assert fresh is not kept
        pool.sweep([before])
        assert kept.closed and not pool.connected()
        listener.stop()

    anyio.run(main)
