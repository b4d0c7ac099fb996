"""Stand-in discovery: the whole list and the watch, over HTTP/1.1, as the protocol's page has them."""

from __future__ import annotations

import asyncio
import json
import urllib.parse
from collections.abc import Callable
from typing import Any


class Discovery:
    """Serves a list that the experiment changes; every answer is the whole list."""

    def __init__(self, members: Callable[[], list[dict[str, Any]]]) -> None:
        self.members, self.revision = members, 1
        self.changed = asyncio.Condition()
        self.silent = False  # calls are taken and not answered
        self.listener: Any = None
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def document(self) -> dict[str, Any]:
        """The list as it stands."""
        return {"revision": self.revision, "complete": True, "members": self.members()}

    async def publish(self) -> None:
        """Tell all watchers."""
        async with self.changed:
            self.revision += 1
            self.changed.notify_all()

    async def serve(self, stream: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One keep-alive connection."""
        try:
            while True:
                head = (await stream.readuntil(b"\r\n\r\n")).decode("latin-1")
                query = urllib.parse.parse_qs(urllib.parse.urlparse(head.split(" ", 2)[1]).query)
                after = int(query.get("after", ["-1"])[0])
                async with self.changed:
                    try:
                        async with asyncio.timeout(int(query.get("wait_ms", ["0"])[0]) / 1000):
                            await self.changed.wait_for(lambda after=after: self.revision > after)
                    except TimeoutError:
                        pass
                if self.silent:
                    await asyncio.sleep(3600)
                body = json.dumps(self.document()).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                    % (len(body), body)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
