"""Reuse of connections to backend servers."""

from __future__ import annotations

import anyio

from tests.relay.harness import Exchange, ScriptedServer
from wisteriastair.http1.server import ServerConnection
from wisteriastair.relay.pool import ConnectionPool, ProbeResult
from wisteriastair.scheduling.fleet import Server


def test_connection_of_an_earlier_incarnation_is_not_reused() -> None:
    """A server crashes and restarts with the same id and address.

    An old connection looks idle and open until the reset arrives.  A request sent on it
    would be lost, and its outcome would be unknown.
    """

    async def unexpected(exchange: Exchange) -> None:
        raise AssertionError("unexpected request")

    async def main() -> None:
        listener = ScriptedServer("s1", unexpected)
        await listener.start()
        pool = ConnectionPool(lambda server_id: None)
        before = Server("s1", "svc", listener.address, "d", 8, False, 0.0, born=1)
        after = before._replace(born=2)
        old_conn = await pool.acquire(before)
        assert isinstance(old_conn, ServerConnection)
        pool._idle[before.incarnation] = [old_conn]
        assert pool.idle_incarnations() == {before.incarnation}
        new_conn = await pool.acquire(after)
        assert new_conn is not old_conn
        pool.close_unused([before])
        assert old_conn.closed and not pool.idle_incarnations()
        listener.stop()

    anyio.run(main)


def test_server_with_an_invalid_host_cannot_be_reached() -> None:
    """The entry of a server has an address that is no host; callers got no answer."""

    async def main() -> None:
        pool = ConnectionPool(lambda server_id: None)
        server = Server("s1", "svc", "..:80", "d", 8, False, 0.0)
        assert isinstance(await pool.acquire(server), str)
        assert await pool.probe(server) is ProbeResult.NO_ANSWER

    anyio.run(main)
