"""The transport of a client connection."""

from __future__ import annotations

import socket
from typing import Any

from twisted.internet import tcp

from .invariants import count


def has_unread_bytes(handle: Any) -> bool:
    """Return whether a socket has bytes that were not read; False if it is broken."""
    try:
        return bool(handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


class ClientTransport(tcp.Server):
    """A server transport whose connection says how much to read.

    It counts the connections that are closed over unread bytes, by the reason of the close.
    """

    def doRead(self) -> Any:
        """Read once."""
        self.bufferSize = self.protocol.read_size()
        return super().doRead()

    def connectionLost(self, reason: Any) -> None:
        """Close the socket; may be called again."""
        if hasattr(self, "socket") and has_unread_bytes(self.socket):
            cause = self.protocol.close_reason
            count(f"unread_at_close_{cause.value if cause else 'unknown'}")
        super().connectionLost(reason)
