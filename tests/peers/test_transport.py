"""The transport over real sockets: delivery, silent connections, old incarnations."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import msgspec
from anyio.abc import SocketStream

from wisteriastair.core.wire import DocPull, Message
from wisteriastair.peers.corecodec import CORE_CODEC
from wisteriastair.peers.ledgercodec import LEDGER_ACK_TIMEOUTS
from wisteriastair.peers.transport import Codec, Transport
from wisteriastair.standins.deployment import free_address

LIMIT_S = 30.0


class Forwarder:
    """Forwards connections, and can forget the open ones while new ones work."""

    def __init__(self, target: str) -> None:
        self.address = free_address()
        self.accepted = 0
        self._target = target
        self._forgotten = 0

    def cut(self) -> None:
        """Swallow everything, on new connections too."""
        self._forgotten = 1_000_000

    def forget_open_connections(self) -> None:
        self._forgotten = self.accepted

    async def run(self) -> None:
        host, port = self.address.split(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        await listener.serve(self._serve)

    async def _serve(self, client: SocketStream) -> None:
        self.accepted += 1
        number = self.accepted
        host, port = self._target.split(":")
        server = await anyio.connect_tcp(host, int(port))
        async with client, server, anyio.create_task_group() as group:
            group.start_soon(self._pump, client, server, number)
            group.start_soon(self._pump, server, client, number)

    async def _pump(self, source: SocketStream, to: SocketStream, number: int) -> None:
        try:
            async for data in source:
                if number > self._forgotten:
                    await to.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


class Inbox:
    """Collects what arrives."""

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def take(self, sender: str, message: Message) -> None:
        self.messages.append(message)


def transport(
    member: str, inbox: Inbox, *, deployment: str = "ours", listen: str = ""
) -> Transport[Message]:
    return Transport(
        member, inbox.take, deployment=deployment, codec=CORE_CODEC, listen=listen
    )


async def wait_for(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(LIMIT_S):
        while not condition():
            await anyio.sleep(0.02)


async def send_through_a_silent_connection() -> None:
    inbox = Inbox()
    listen = free_address()
    forwarder = Forwarder(listen)
    receiver = transport(f"{forwarder.address}#1", inbox, listen=listen)
    sender = transport(f"{free_address()}#1", Inbox())
    async with anyio.create_task_group() as group:
        group.start_soon(forwarder.run)
        group.start_soon(receiver.run)
        group.start_soon(sender.run)
        sender.send(forwarder.address, DocPull({"first": 1}))
        await wait_for(lambda: bool(inbox.messages))
        forwarder.forget_open_connections()

        def repeat_until_heard() -> bool:
            sender.send(forwarder.address, DocPull({"second": 2}))
            return DocPull({"second": 2}) in inbox.messages

        await wait_for(repeat_until_heard)
        assert sender.counts.reconnects >= 1
        group.cancel_scope.cancel()


def test_silent_connection_is_replaced() -> None:
    """A sender gets through although its connection has gone silent for good.

    Something between the two ends forgets the open connection: writes succeed and
    nothing arrives.  Frames are not echoed, the socket is replaced, and what the state
    machines repeat arrives over the new connection.
    """
    anyio.run(send_through_a_silent_connection)


async def send_after_a_cut() -> float:
    """Return the seconds from the end of a cut until a message gets through."""
    inbox = Inbox()
    listen = free_address()
    forwarder = Forwarder(listen)
    receiver = transport(f"{forwarder.address}#1", inbox, listen=listen)
    sender = Transport(
        f"{free_address()}#1",
        Inbox().take,
        deployment="ours",
        codec=CORE_CODEC,
        ack_timeouts=LEDGER_ACK_TIMEOUTS,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(forwarder.run)
        group.start_soon(receiver.run)
        group.start_soon(sender.run)
        sender.send(forwarder.address, DocPull({"first": 1}))
        await wait_for(lambda: bool(inbox.messages))
        forwarder.cut()
        for number in range(40):
            sender.send(forwarder.address, DocPull({f"lost {number}": 1}))
            await anyio.sleep(0.1)
        forwarder.forget_open_connections()
        healed = anyio.current_time()

        def repeat_until_heard() -> bool:
            sender.send(forwarder.address, DocPull({"second": 2}))
            return DocPull({"second": 2}) in inbox.messages

        await wait_for(repeat_until_heard)
        took_s = anyio.current_time() - healed
        group.cancel_scope.cancel()
    return took_s


def test_the_way_is_found_again_soon_after_a_long_cut() -> None:
    """A relay is cut off from the keepers for four seconds.

    Each replaced connection is silent too.  If the wait doubled with each, callers
    would be refused for seconds after the cut has healed; new connections are tried at
    a steady pace instead.
    """
    assert anyio.run(send_after_a_cut) < 2.0


async def answer_over_a_dead_connection() -> float:
    """Return the seconds until a peer that asks all the time is answered again."""
    answers = Inbox()
    asker_listens = free_address()
    forwarder = Forwarder(asker_listens)
    asker = transport(f"{forwarder.address}#1", answers, listen=asker_listens)
    answerer_address = free_address()

    def reply(sender: str, message: Message) -> None:
        answerer.send(sender, message)

    answerer = Transport(
        f"{answerer_address}#1",
        reply,
        deployment="ours",
        codec=CORE_CODEC,
        ack_timeouts=LEDGER_ACK_TIMEOUTS,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(forwarder.run)
        group.start_soon(asker.run)
        group.start_soon(answerer.run)
        asker.send(answerer_address, DocPull({"before": 1}))
        await wait_for(lambda: bool(answers.messages))
        forwarder.forget_open_connections()
        began = anyio.current_time()

        def ask_until_answered() -> bool:
            asker.send(answerer_address, DocPull({"after": 2}))
            return DocPull({"after": 2}) in answers.messages

        await wait_for(ask_until_answered)
        took_s = anyio.current_time() - began
        group.cancel_scope.cancel()
    return took_s


def test_a_dead_connection_is_replaced_although_the_peer_is_heard() -> None:
    """A relay that was cut off reaches a keeper again and asks it all the time.

    The keeper's own connection to the relay is dead: answers are lost, and callers
    are refused.  Each question repeats the last echo from before the cut; taken for a
    sign of life of the connection, it kept the keeper from replacing it.
    """
    assert anyio.run(answer_over_a_dead_connection) < 1.5


async def send_to_an_earlier_incarnation() -> None:
    inbox = Inbox()
    address = free_address()
    receiver = transport(f"{address}#2", inbox)
    sender = transport(f"{free_address()}#1", Inbox())
    async with anyio.create_task_group() as group:
        group.start_soon(receiver.run)
        group.start_soon(sender.run)
        sender.send(f"{address}#1", DocPull({"for the old": 1}))
        sender.send(f"{address}#2", DocPull({"for the new": 2}))
        await wait_for(lambda: bool(inbox.messages))
        group.cancel_scope.cancel()
    assert inbox.messages == [DocPull({"for the new": 2})]


def test_message_for_an_earlier_incarnation_is_dropped() -> None:
    """What was meant for a process that has died does not reach its successor."""
    anyio.run(send_to_an_earlier_incarnation)


async def send_from_another_deployment() -> None:
    inbox = Inbox()
    address = free_address()
    receiver = transport(f"{address}#2", inbox)
    foreign = transport(f"{free_address()}#1", Inbox(), deployment="theirs")
    sender = transport(f"{free_address()}#1", Inbox())
    async with anyio.create_task_group() as group:
        for each in (receiver, foreign, sender):
            group.start_soon(each.run)
        foreign.send(address, DocPull({"theirs": 1}))
        await wait_for(lambda: receiver.counts.foreign_frames > 0)
        sender.send(address, DocPull({"ours": 2}))
        await wait_for(lambda: bool(inbox.messages))
        group.cancel_scope.cancel()
    assert inbox.messages == [DocPull({"ours": 2})]


def test_message_of_another_deployment_is_dropped() -> None:
    """A process of another deployment still sends to an address that is ours now.

    Its documents may carry higher revisions than ours; taking them would replace our
    configuration and slot table.  Its frames name another deployment and are dropped.
    """
    anyio.run(send_from_another_deployment)


async def send_with_something_unknown() -> list[str]:
    """Return what arrives of a frame with a message that the receiver cannot read."""
    arrived: list[str] = []
    address = free_address()
    receiver: Transport[str] = Transport(
        f"{address}#1",
        lambda sender, message: arrived.append(message),
        deployment="ours",
        codec=Codec(str.encode, lambda data: msgspec.json.decode(data, type=str)),
    )
    sender: Transport[str] = Transport(
        f"{free_address()}#1",
        lambda sender, message: None,
        deployment="ours",
        codec=Codec(str.encode, bytes.decode),
        batch_delay_s=0.01,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(receiver.run)
        group.start_soon(sender.run)
        with anyio.fail_after(LIMIT_S):
            while len(arrived) < 2:
                for message in ('"first"', "not known here", '"last"'):
                    sender.send(address, message)
                await anyio.sleep(0.1)
        assert receiver.counts.malformed > 0
        group.cancel_scope.cancel()
    return arrived


def test_a_message_of_a_newer_version_takes_no_other_away() -> None:
    """Turns are refused while two versions run side by side.

    A keeper of the newer version tells a relay something that the relay cannot read.
    It travels in one frame with answers to reservations, which went with it.
    """
    assert anyio.run(send_with_something_unknown)[:2] == ["first", "last"]
