"""Fake discovery service: the endpoint list and its watch (long polling) over HTTP/1.1."""

from __future__ import annotations

import asyncio
import json
import random
import urllib.parse
from collections.abc import Callable
from typing import Any

from .links import Doors


class Discovery:
    """Serves an endpoint list that the caller may change; every response is the complete list."""

    def __init__(
        self,
        members: Callable[..., list[dict[str, Any]]],
        on_list_sent: Callable[[int, list[dict[str, Any]]], None] = lambda gateway, members: None,
    ) -> None:
        """`members` returns the list; it is passed the gateway where each has its own door, else nothing.

        `on_list_sent` is called with the list that a gateway has been sent.
        """
        self.on_list_sent = on_list_sent
        self.doors: Doors | None = None
        self.response_delays: dict[int, float] = {}  # s by which responses are delayed, by gateway
        self.members, self.revision = members, 1
        self.changed = asyncio.Condition()
        self.silent = False  # requests are accepted and not answered
        self.responses_to_cut = 0  # the next responses whose connections are reset within the list
        self.listener: Any = None
        self.port = 0

    async def start(self, gateways: int = 0) -> None:
        """Listen; with `gateways`, on one door per gateway."""
        if gateways:
            self.doors = Doors(self.serve, random.Random(gateways))
            return await self.doors.start(gateways)
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def document(self, gateway: int = -1) -> dict[str, Any]:
        """The current list for one gateway; -1 stands for all gateways, where there are no doors."""
        members = self.members() if gateway < 0 else self.members(gateway)
        return {"revision": self.revision, "complete": True, "members": members}

    def close(self) -> None:
        """Stop listening; doors also reset their connections."""
        if self.doors is not None:
            self.doors.close()
        if self.listener is not None:
            self.listener.close()

    async def publish(self) -> None:
        """Increment the revision and answer all watches."""
        async with self.changed:
            self.revision += 1
            self.changed.notify_all()

    async def serve(
        self, stream: asyncio.StreamReader, writer: asyncio.StreamWriter, gateway: int = -1
    ) -> None:
        """Serve one keep-alive connection."""
        try:
            while True:
                request_head = (await stream.readuntil(b"\r\n\r\n")).decode("latin-1")
                if self.doors is not None:
                    await self.doors.apply_fault(gateway, writer)
                query = urllib.parse.parse_qs(urllib.parse.urlparse(request_head.split(" ", 2)[1]).query)
                after = int(query.get("after", ["-1"])[0])
                async with self.changed:
                    try:
                        async with asyncio.timeout(int(query.get("wait_ms", ["0"])[0]) / 1000):
                            await self.changed.wait_for(lambda after=after: self.revision > after)
                    except TimeoutError:
                        pass
                if self.silent:
                    await asyncio.sleep(3600)
                if late := self.response_delays.get(gateway):
                    await asyncio.sleep(late)
                if self.doors is not None:
                    await self.doors.unblocked[gateway].wait()
                document = self.document(gateway)
                await self.send(document, writer)
                self.on_list_sent(gateway, document["members"])
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def send(self, document: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        """Send a list; raises `ConnectionResetError` within one that is to be cut."""
        body = json.dumps(document).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
        response = head + body
        is_cut = self.responses_to_cut > 0
        if is_cut:
            self.responses_to_cut -= 1
            response = response[: len(response) // 2]
        writer.write(response)
        await writer.drain()
        if is_cut:
            raise ConnectionResetError
