"""The transport of a client connection."""

from __future__ import annotations

import contextlib
import socket
from typing import Any

from twisted.internet import tcp

from .close_reason import CloseReason
from .invariants import count


def has_unread_bytes(handle: Any) -> bool:
    """Return whether a socket has bytes that were not read; False if it is broken."""
    try:
        return bool(handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def end_sending(handle: Any) -> None:
    """Send the FIN of a socket at once; one that is broken needs none."""
    with contextlib.suppress(OSError):
        handle.shutdown(socket.SHUT_WR)


def count_unread(reason: CloseReason | None) -> None:
    """Count a connection that was closed while bytes lay unread."""
    count(f"unread_at_close_{reason.value if reason else 'unknown'}")


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
        if hasattr(self, "socket") and not self.protocol.is_shut_down and has_unread_bytes(self.socket):
            count_unread(self.protocol.close_reason)
        super().connectionLost(reason)
