"""A minimal environment for one gateway: discovery on 127.0.0.1:8500 and two backends that echo request ids.

python examples/toy.py            # in one terminal
make run                          # in another
python examples/toy.py ask 8      # in a third: sends eight requests and prints the replies
"""

import asyncio
import contextlib
import json
import sys

GATEWAY_PORT, DISCOVERY_PORT, BACKEND_PORTS = 6380, 8500, (7001, 7002)
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
    for port in BACKEND_PORTS
]


async def read_command(reader):
    """Reads one command, an array of bulk strings; returns None at the end of the stream."""
    if not (header := await reader.readline()):
        return None
    arguments = []
    for _ in range(int(header[1:])):
        size = int((await reader.readline())[1:])
        arguments.append((await reader.readexactly(size + 2))[:-2])
    return arguments


def bulk(value):
    """Encodes a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


async def serve_backend(reader, writer):
    """Replies to each request with its id and a load report after 100 ms of simulated work."""
    while arguments := await read_command(reader):
        await asyncio.sleep(0.1)
        writer.write(b"*3\r\n" + bulk(b"done " + arguments[2]) + b"$-1\r\n" + bulk(b"latency_ms=100,qps=1"))
    writer.close()


async def serve_discovery(reader, writer):
    """Serves the endpoint list; a watch gets an empty delta after 20 s, as the list never changes."""
    while line := await reader.readline():
        while await reader.readline() != b"\r\n":
            pass
        is_watch = b"after=1" in line
        if is_watch:
            await asyncio.sleep(20)
        response = {"revision": 1, "complete": not is_watch, "members": [] if is_watch else MEMBERS}
        body = json.dumps(response).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    writer.close()


async def serve():
    """Runs discovery and the backends until interrupted."""
    await asyncio.start_server(serve_discovery, "127.0.0.1", DISCOVERY_PORT)
    for port in BACKEND_PORTS:
        await asyncio.start_server(serve_backend, "127.0.0.1", port)
    print("discovery and two backends are listening", flush=True)
    await asyncio.Event().wait()


async def send_requests(count):
    """Sends requests of one customer one after the other and prints the replies."""
    reader, writer = await asyncio.open_connection("127.0.0.1", GATEWAY_PORT)
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
        asyncio.run(send_requests(int(sys.argv[2])) if sys.argv[1:2] == ["ask"] else serve())
