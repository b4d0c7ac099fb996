"""A minimal environment for one gateway: discovery on 127.0.0.1:8500 and two backends that echo request ids.

python examples/toy.py            # in one terminal
make run                          # in another
python examples/toy.py ask 8      # in a third: sends eight requests and prints the replies
"""

import asyncio
import contextlib
import json
import sys

GATEWAY, DISCOVERY, BACKENDS = 6380, 8500, (7001, 7002)
MEMBERS = [
    {
        "id": f"toy-{port}",
        "host_port": f"127.0.0.1:{port}",
        "locality": "north-hall",
        "flavor": "standard",
        "cell": 0,
        "phase": "Ready",
        "size": 1.0,
        "up_since_ms": 0,
    }
    for port in BACKENDS
]


async def words(reader):
    """Reads one command, an array of bulk strings; returns None at the end of the stream."""
    if not (head := await reader.readline()):
        return None
    got = []
    for _ in range(int(head[1:])):
        size = int((await reader.readline())[1:])
        got.append((await reader.readexactly(size + 2))[:-2])
    return got


def bulk(value):
    """Encodes a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


async def backend(reader, writer):
    """Replies to each request with its id and a load report after 100 ms of simulated work."""
    while got := await words(reader):
        await asyncio.sleep(0.1)
        writer.write(b"*3\r\n" + bulk(b"done " + got[2]) + b"$-1\r\n" + bulk(b"latency_ms=100,qps=1"))
    writer.close()


async def discovery(reader, writer):
    """Serves the endpoint list; a watch gets an empty delta after 20 s, as the list never changes."""
    while line := await reader.readline():
        while await reader.readline() != b"\r\n":
            pass
        watch = b"after=1" in line
        if watch:
            await asyncio.sleep(20)
        told = {"revision": 1, "complete": not watch, "members": [] if watch else MEMBERS}
        body = json.dumps(told).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    writer.close()


async def serve():
    """Runs discovery and the backends until interrupted."""
    await asyncio.start_server(discovery, "127.0.0.1", DISCOVERY)
    for port in BACKENDS:
        await asyncio.start_server(backend, "127.0.0.1", port)
    print("discovery and two backends are listening", flush=True)
    await asyncio.Event().wait()


async def ask(count):
    """Sends requests of one customer one after the other and prints the replies."""
    reader, writer = await asyncio.open_connection("127.0.0.1", GATEWAY)
    for i in range(count):
        command = [
            b"API.READ",
            b"%016x" % 42,
            b"%016x" % (i + 1),
            b"c=board-load,t=family,d=3000,units=1,spread=1,first=0",
        ]
        writer.write(b"*%d\r\n" % len(command) + b"".join(map(bulk, command)))
        line = (await reader.readline()).decode().strip()
        value = (await reader.readexactly(int(line[1:]) + 2)).decode().strip() if line[0] == "$" else ""
        print(line, value)
    writer.close()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(ask(int(sys.argv[2])) if sys.argv[1:2] == ["ask"] else serve())
