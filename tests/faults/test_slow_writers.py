"""Clients that stop within a command do not take a process over its memory limit."""

import pytest

from .world import LIMITS, Overload, gather_paced, run, send_and_stay

CLIENTS = 800


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
