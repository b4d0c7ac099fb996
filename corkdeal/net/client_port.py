"""The listening socket of clients: new connections are taken in a few at a time.

Twisted accepts up to a hundred connections in a row at first and then as many as keep coming. Timers, the
peers' datagrams and clients that leave wait for all of them.
"""

from __future__ import annotations

import os
import socket
from typing import Any

from twisted.internet import tcp

ACCEPTS_MOST = 16  # connections accepted in one turn of the loop, some 0.3 ms each; the others stay queued


class ClientPort(tcp.Port):
    """A listening socket that accepts at most `ACCEPTS_MOST` connections in a turn."""

    def doRead(self) -> None:
        """Accept some of those that wait. The reactor comes again while any are left."""
        self.numberAccepts = min(self.numberAccepts, ACCEPTS_MOST)
        super().doRead()

    def accept_queued(self) -> None:
        """Accept all connections that the kernel holds for this port: closing it would reset them.

        Their clients may have written a request already, and what this machine accepted counts as taken.
        """
        self.numberAccepts = socket.SOMAXCONN
        super().doRead()


def listen(reactor: Any, at: tuple[str, int], factory: Any) -> ClientPort:
    """Open the port, on this address only."""
    port = ClientPort(at[1], factory, socket.SOMAXCONN, at[0], reactor)
    port.startListening()
    return port


def adopt(reactor: Any, fd: int, factory: Any) -> ClientPort:
    """Accept on a listening socket that was handed down, shared with the process before this one.

    Twisted takes a copy of the descriptor, and the one handed down is closed: when this process stops
    listening, only the copy closes, and connections that wait in the socket's queue are left to the others.
    """
    os.set_blocking(fd, False)  # Twisted accepts until EAGAIN: on a blocking socket it would wait there
    port = ClientPort._fromListeningDescriptor(reactor, fd, socket.AF_INET, factory)
    port.startListening()
    os.close(fd)
    return port
