"""A process stays within its memory limit, whatever clients and backends make it hold."""

import asyncio
import contextlib

import pytest

from corkdeal.net.resp import encode_command

from .world import Overload, gather_paced, reply_of, reply_small, rng, served

LIMITS = [96, 192]  # MB; the least that the pages name, and the usual limit
CLIENTS = 800
RECEIVE_BUFFER = 4096  # bytes, of clients that read next to nothing
MAX_TIMEOUT = 9_999.999  # s; the longest that a request can name


def run(test):
    return asyncio.run(test)


async def send_and_stay(world, data, seconds=3.0, receive_buffer=None):
    """Connect, write what the gateway takes, and stay until the gateway closes or the time is over."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(seconds):
            client = await world.client(receive_buffer)
            if receive_buffer is not None:
                client.writer.transport.pause_reading()
            client.writer.write(data)
            await client.writer.drain()
            await asyncio.sleep(seconds)


async def check_slow_writers(memory_mb, make_data):
    async with Overload(memory_mb) as world:
        world.start_quiet_client()
        data = make_data(world)
        await gather_paced(lambda number: send_and_stay(world, data), CLIENTS, 0.002)
        world.assert_within_limits()
        world.assert_quiet_client_served()


@pytest.mark.parametrize("memory_mb", LIMITS)
def test_clients_that_stop_within_a_command_of_many_words(memory_mb):
    def make_data(world):
        word = b"$4096\r\n" + b"x" * 4096 + b"\r\n"
        return (b"*64\r\n$4\r\nECHO\r\n" + word * 63)[:-2000]

    run(check_slow_writers(memory_mb, make_data))


@pytest.mark.parametrize("memory_mb", LIMITS)
def test_clients_that_stop_within_a_value(memory_mb):
    run(check_slow_writers(memory_mb, lambda world: world.write(b"x" * 60_000)[:-2000]))


@pytest.mark.parametrize("memory_mb", LIMITS)
def test_clients_that_stop_behind_a_long_list_of_parameters(memory_mb):
    def make_data(world):
        more = b"".join(b",p%d=%d" % (i, i) for i in range(5000))
        return world.request(more=more)[:-10]

    run(check_slow_writers(memory_mb, make_data))


@pytest.mark.parametrize("memory_mb", LIMITS)
def test_clients_that_send_long_lists_of_parameters_at_once(memory_mb):
    async def check():
        async with Overload(memory_mb) as world:
            world.start_quiet_client()
            more = b"".join(b",p%d=%d" % (i, i) for i in range(5000))
            await gather_paced(lambda number: send_and_stay(world, world.request(more=more)), 200, 0.002)
            world.assert_within_limits()
            world.assert_quiet_client_served()

    run(check())


@pytest.mark.parametrize("memory_mb", LIMITS)
def test_clients_that_read_nothing_of_many_answers(memory_mb):
    """Each customer is new, so that quotas leave room for all of these answers."""

    async def check():
        async with Overload(memory_mb, reply_of(60_000)) as world:
            world.start_quiet_client()

            def read_nothing(number):
                data = b"".join(world.request(timeout=3.0) for _ in range(240))
                return send_and_stay(world, data, 8.0, RECEIVE_BUFFER)

            await gather_paced(read_nothing, 60, 0.01)
            world.assert_within_limits()
            world.assert_quiet_client_served()

    run(check())


@pytest.mark.parametrize("memory_mb", LIMITS)
def test_commands_with_values_behind_one_that_takes_long(memory_mb):
    async def slow_at_first(backend, words, writer):
        if words[3].endswith(b"slow"):
            await asyncio.sleep(2.0)
        writer.write(served(b"v"))

    async def check():
        async with Overload(memory_mb, slow_at_first) as world:
            world.start_quiet_client()

            def send(number):
                first = world.write(b"first", timeout=3.0, more=b",k=slow")
                return send_and_stay(
                    world, first + b"".join(world.write(b"x" * 60_000, timeout=3.0) for _ in range(200)), 4.0
                )

            await gather_paced(send, 40, 0.005)
            world.assert_within_limits()
            world.assert_quiet_client_served()

    run(check())


@pytest.mark.parametrize("memory_mb", LIMITS)
def test_backends_that_stop_within_their_replies(memory_mb):
    async def stop_within(backend, words, writer):
        if int(words[1], 16) == 7:
            return await reply_small(backend, words, writer)
        item = b"$60000\r\n" + b"x" * 60_000 + b"\r\n"
        writer.write(b"*3\r\n*4\r\n" + item * 4)

    async def check():
        async with Overload(memory_mb, stop_within) as world:
            world.start_quiet_client()
            await gather_paced(
                lambda number: send_and_stay(world, world.request(timeout=3.0) * 1, 3.0), 450, 0.0005
            )
            world.assert_within_limits()

    run(check())


async def send_new_names(world, seconds, **more):
    """Pipeline requests of ever new customers on one connection, and read their answers."""
    client = await world.client()

    async def send():
        while True:
            client.writer.write(b"".join(world.request(**more) for _ in range(100)))
            await client.writer.drain()

    async def read():
        while await client.reader.read(1 << 16):
            pass

    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(seconds):
            await asyncio.gather(send(), read())


@pytest.mark.parametrize("plan", [b"family", b"school"])
@pytest.mark.parametrize("timeout", [1.0, MAX_TIMEOUT])
def test_records_of_customers_that_come_once_do_not_grow_without_end(plan, timeout):
    """Memory after the second half of the run is what it was after the first, but for a tenth."""

    async def check():
        async with Overload(96) as world:
            world.start_quiet_client()
            await send_new_names(world, 8.0, plan=plan, timeout=timeout)
            after_half = world.memory()
            await send_new_names(world, 8.0, plan=plan, timeout=timeout)
            world.assert_within_limits()
            world.assert_quiet_client_served()
            assert world.memory() < 1.1 * after_half, (world.memory() >> 20, after_half >> 20)

    run(check())


@pytest.mark.parametrize("memory_mb", LIMITS)
def test_malformed_commands_at_full_speed(memory_mb):
    async def send_malformed(world, seconds):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while True:
                    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                        client = await world.client()
                        client.writer.write(encode_command(b"API.READ", b"x", b"y", b"z") * 100)
                        while await client.reader.read(1 << 16):
                            pass
                    client.writer.transport.abort()

    async def check():
        async with Overload(memory_mb) as world:
            world.start_quiet_client()
            await send_malformed(world, 4.0)
            world.assert_within_limits()
            world.assert_quiet_client_served()

    run(check())


def test_a_mixed_crowd_stays_within_the_least_memory():
    """All of the above at once, drawn by a seed, beside the quiet client."""

    async def check():
        draw = rng(56)
        async with Overload(96, reply_of(20_000)) as world:
            world.start_quiet_client()
            words = (b"*64\r\n$4\r\nECHO\r\n" + (b"$4096\r\n" + b"x" * 4096 + b"\r\n") * 63)[:-2000]

            def act(number):
                match draw.randrange(4):
                    case 0:
                        return send_and_stay(world, words)
                    case 1:
                        return send_and_stay(world, world.write(b"x" * 60_000)[:-2000])
                    case 2:
                        data = b"".join(world.request(timeout=2.0) for _ in range(200))
                        return send_and_stay(world, data, 4.0, RECEIVE_BUFFER)
                    case _:
                        return send_and_stay(world, world.write(b"x" * 2_000_000)[:-2000])

            await gather_paced(act, 300, 0.003)
            world.assert_within_limits()

    run(check())
