"""Links between processes: each fault takes effect, in one direction only, until it ends."""

import asyncio
import contextlib
import random
import socket

import pytest

from corkdeal.standin.links import NO_DOOR_FAULT, DoorFault, Doors, Fault, Links


@contextlib.asynccontextmanager
async def linked_sockets():
    """Three sockets in place of gateways, and the links between them."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
        s.setblocking(False)
    links = Links([f"127.0.0.1:{s.getsockname()[1]}" for s in sockets], random.Random(1))
    await links.start()

    def link_address(i, j):
        host, port = links.peers_of(i)[j].split(":")
        return host, int(port)

    try:
        yield links, sockets, link_address
    finally:
        links.close()
        for s in sockets:
            s.close()


async def send_datagrams(links, sockets, link_address, i, j, times, copies=1):
    """Send datagrams from i to j, and wait until all are handled; returns how many were forwarded."""
    done = asyncio.Event()
    handled = []

    def on_datagram(a, b, lost):
        handled.append((a, b, lost))
        if len(handled) == times * copies:
            done.set()

    links.on_datagram = on_datagram
    for n in range(times):
        sockets[i].sendto(b"%d" % n, link_address(i, j))
    await asyncio.wait_for(done.wait(), 10)
    return sum(not lost for _, _, lost in handled)


def test_a_datagram_comes_from_where_the_receiver_knows_the_sender():
    async def play():
        async with linked_sockets() as (links, sockets, link_address):
            assert await send_datagrams(links, sockets, link_address, 0, 2, 1) == 1
            assert sockets[2].recvfrom(100) == (b"0", link_address(2, 0))
            sockets[1].sendto(b"in another's name", link_address(0, 2))
            await send_datagrams(links, sockets, link_address, 0, 2, 1)
            assert sockets[2].recvfrom(100)[0] == b"0" and links.counters["from a stranger"] == 1

    asyncio.run(play())


@pytest.mark.parametrize(
    ("fault", "through"), [(Fault(cut=True), 0), (Fault(loss=0.5), None), (Fault(duplicate=1.0), 40)]
)
def test_a_fault_is_one_way_and_ends(fault, through):
    async def play():
        async with linked_sockets() as (links, sockets, link_address):
            number = links.start_fault({(0, 1)}, fault)
            passed = await send_datagrams(links, sockets, link_address, 0, 1, 20, 2 if fault.duplicate else 1)
            assert 0 < passed < 20 if through is None else passed == through
            assert await send_datagrams(links, sockets, link_address, 1, 0, 20) == 20
            links.end_fault(number)
            assert await send_datagrams(links, sockets, link_address, 0, 1, 20) == 20

    asyncio.run(play())


def test_two_faults_at_once_add_up_and_end_each_for_itself():
    links = Links(["127.0.0.1:1", "127.0.0.1:2"], random.Random(1))
    first = links.start_fault({(0, 1)}, Fault(loss=0.5, delay=0.1))
    links.start_fault({(0, 1), (1, 0)}, Fault(loss=0.5, cut=True))
    assert links.combined_faults[0, 1] == Fault(loss=0.75, delay=0.1, cut=True)
    links.end_fault(first)
    assert links.combined_faults == {(0, 1): Fault(loss=0.5, cut=True), (1, 0): Fault(loss=0.5, cut=True)}


def test_a_door_refuses_goes_silent_and_resets_for_one_gateway_only():
    async def play():
        async def echo(reader, writer, gateway):
            with contextlib.suppress(ConnectionError):
                while line := await reader.readline():
                    await doors.apply_fault(gateway, writer)
                    writer.write(b"%d %b" % (gateway, line))
            writer.close()

        async def ask(gateway):
            reader, writer = await asyncio.open_connection("127.0.0.1", doors.ports[gateway])
            writer.write(b"x\n")
            try:
                return await reader.readline()
            except ConnectionError:
                return b""
            finally:
                writer.close()

        doors = Doors(echo, random.Random(1))
        await doors.start(2)
        assert await ask(0) == b"0 x\n"
        await doors.set_fault(0, DoorFault(refuse=True))
        with pytest.raises(ConnectionRefusedError):
            await ask(0)
        await doors.set_fault(0, DoorFault(reset=1.0))
        assert await ask(0) == b"" and await ask(1) == b"1 x\n"
        await doors.set_fault(0, DoorFault(silent=True))
        waits = asyncio.ensure_future(ask(0))
        assert await ask(1) == b"1 x\n" and not waits.done()
        await doors.set_fault(0, NO_DOOR_FAULT)
        assert await waits == b"0 x\n"
        doors.close()

    asyncio.run(play())


def test_a_door_that_is_shut_keeps_its_port():
    async def play():
        doors = Doors(lambda reader, writer, gateway: None, random.Random(1))
        await doors.start(1)
        await doors.set_fault(0, DoorFault(refuse=True))
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(("127.0.0.1", doors.ports[0]))
        await doors.set_fault(0, NO_DOOR_FAULT)
        doors.close()

    asyncio.run(play())
