"""The least memory that the pages name suffices for a full descriptor table, also right after a kill."""

import asyncio
import contextlib
import pathlib

import pytest

from corkdeal.net.resp import encode_command

from .test_ids_in_upgrades import Upgrade
from .world import RECEIVE_BUFFER, reply_of, rng, run

LEAST_MEMORY_MB = 64
CLIENTS = 950  # some more than the descriptors allow, so that connections come and go
BACKLOG = 4096  # connections that wait on the inherited socket while no process runs
TIME_TO_KILL, TIME_WITHOUT_PROCESS, TIME_AFTER_START = 4.0, 1.0, 5.0  # s
RECONNECT_PAUSE = 0.05  # s
ANSWER_SIZE = 60_000  # bytes
PIECE = 40_000  # bytes of a long value that are written at once
READ_SIZE, READ_PAUSE = 2048, 0.2  # bytes and s; of clients that read slowly


class Crowd(Upgrade):
    """A gateway that is killed and started again while a crowd of clients connects again and again."""

    backlog = BACKLOG

    def __init__(self):
        super().__init__(LEAST_MEMORY_MB, reply_of(ANSWER_SIZE))
        self.peaks = []  # bytes, of each process

    def record_peak(self):
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        self.peaks.append(int(status.partition("VmHWM:")[2].split()[0]) << 10)

    async def kill_and_start(self):
        await asyncio.sleep(TIME_TO_KILL)
        self.record_peak()
        self.process.kill()
        self.process.wait()
        await asyncio.sleep(TIME_WITHOUT_PROCESS)
        self.start_process()
        await asyncio.sleep(TIME_AFTER_START)
        assert self.process.poll() is None, self.log.read_text()
        self.record_peak()

    async def stay(self, number, act):
        """Connect, act, and stay until the connection ends; then again."""
        draw = rng(number)
        while True:
            with contextlib.suppress(OSError):
                client = await self.client(RECEIVE_BUFFER if act is read_slowly else None)
                try:
                    await act(self, client, draw)
                    while await client.reader.read(1 << 16):
                        pass
                finally:
                    client.writer.transport.abort()
                    self.writers.remove(client.writer)
            await asyncio.sleep(RECONNECT_PAUSE)


async def stay_idle(world, client, draw):
    client.writer.write(encode_command(b"PING"))


async def stop_within_many_words(world, client, draw):
    client.writer.write(b"*64\r\n" + b"$1\r\nx\r\n" * 61)


async def stop_within_long_words(world, client, draw):
    client.writer.write(b"*64\r\n" + (b"$4096\r\n" + b"x" * 4096 + b"\r\n") * 3 + b"$3000\r\n" + b"x" * 2900)


async def stop_within_many_fields(world, client, draw):
    """Fields of two bytes fill the word of parameters; some commands are complete."""
    fields = b"c=board-load,t=school,d=1000," + b",".join([b"a="] * 1300)
    head = encode_command(b"API.READ", b"%016x" % 5, b"%016x" % next(world.ids), fields)
    client.writer.write(head * draw.randrange(3) + head[: draw.randrange(2000, len(head))])


async def stop_within_a_value(world, client, draw):
    client.writer.write(world.write(b"x" * 60_000)[:-2000])


async def stop_within_a_long_value(world, client, draw):
    data = world.write(b"x" * 1_000_000)[: draw.randrange(PIECE, 11 * PIECE)]
    for start in range(0, len(data), PIECE):
        client.writer.write(data[start : start + PIECE])
        await client.writer.drain()


async def write_slowly(world, client, draw):
    data = world.write(b"x" * 20_000)
    for start in range(0, len(data), 1000):
        client.writer.write(data[start : start + 1000])
        await asyncio.sleep(0.1)


async def read_slowly(world, client, draw):
    client.writer.write(b"".join(world.request(timeout=3.0) for _ in range(30)))
    while await client.reader.read(READ_SIZE):
        await asyncio.sleep(READ_PAUSE)


KINDS = [
    stay_idle,
    stop_within_many_words,
    stop_within_long_words,
    stop_within_many_fields,
    stop_within_a_value,
    stop_within_a_long_value,
    write_slowly,
    read_slowly,
]


def each_by_turns(number):
    return KINDS[number % len(KINDS)]


@pytest.mark.parametrize("kind", [*KINDS, each_by_turns], ids=lambda kind: kind.__name__)
def test_a_full_table_of_clients_does_not_take_a_process_over_the_least_memory(kind):
    async def check():
        async with Crowd() as world:
            for number in range(CLIENTS):
                act = kind(number) if kind is each_by_turns else kind
                world.tasks.append(asyncio.create_task(world.stay(number, act)))
            await world.kill_and_start()
            peaks = [peak >> 20 for peak in world.peaks]
            assert max(world.peaks) < LEAST_MEMORY_MB << 20, (peaks, world.log.read_text()[-1500:])

    run(check())
