"""Vectored writes on Twisted's transports.

ITransport.writeSequence only queues its parts: the transport joins them into one bytes object at the
next turn of the reactor, which copies every body and costs two epoll_ctl and one more epoll_wait.
"""

from __future__ import annotations

from typing import Any

from .invariants import count

Part = bytes | memoryview
MOST_PARTS = 512  # in one sendmsg; Linux takes 1024 and calls more an error


def pending(transport: Any) -> bool:
    """Whether bytes handed to the transport still wait to be written."""
    return bool(transport.dataBuffer or transport._tempDataBuffer)


def write(transport: Any, parts: list[Part]) -> bool:
    """Write parts by one sendmsg; only what the socket does not take at once is left to the transport.

    False on a connection that is broken.
    """
    if len(parts) > MOST_PARTS:
        parts = [b"".join(parts)]
    if pending(transport):
        transport.writeSequence([bytes(p) for p in parts])
        return True
    try:
        sent = transport.getHandle().sendmsg(parts)
    except BlockingIOError:
        sent = 0
    except OSError:  # broken; the loss is reported at the next turn
        count("write_on_broken_connection")
        transport.abortConnection()
        return False
    for part in parts:
        if sent >= len(part):
            sent -= len(part)
        else:
            transport.write(bytes(memoryview(part)[sent:]))
            sent = 0
    return True
