"""Vectored writes on Twisted's transports.

ITransport.writeSequence only queues its parts: the transport joins them into one bytes object in the
next reactor iteration, which copies every body and costs two more calls of epoll_ctl and one of epoll_wait.
"""

from __future__ import annotations

import errno
from typing import Any

from .invariants import count

Part = bytes | memoryview
MAX_PARTS = 512  # parts of one sendmsg, which fails above 1024 (IOV_MAX) on Linux


def pending(transport: Any) -> bool:
    """Return whether the transport has buffered bytes."""
    return bool(transport.dataBuffer or transport._tempDataBuffer)


def unsent_bytes(transport: Any) -> int:
    """Return the number of bytes written that the socket has not accepted."""
    return len(transport.dataBuffer) - transport.offset + transport._tempDataLen


def send(handle: Any, parts: list[Part], flags: int) -> int:
    """Call sendmsg, without the flags if the system takes none; return the bytes sent, or raise `OSError`."""
    if flags:
        try:
            return handle.sendmsg(parts, [], flags)
        except OSError as error:
            if error.errno not in (errno.EINVAL, errno.EOPNOTSUPP):
                raise
    return handle.sendmsg(parts)


def write(transport: Any, parts: list[Part], flags: int = 0) -> bool:
    """Write parts by one sendmsg; the transport buffers only what the socket does not accept at once.

    `flags` are those of sendmsg, as advice. Return False if the connection is broken.
    """
    if len(parts) > MAX_PARTS:
        parts = [b"".join(parts)]
    if pending(transport):
        transport.writeSequence([bytes(p) for p in parts])
        return True
    try:
        sent = send(transport.getHandle(), parts, flags)
    except BlockingIOError:
        sent = 0
    except OSError:  # broken; connectionLost is called in the next reactor iteration
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
