"""The listening socket for clients, which accepts a few connections per reactor iteration.

Twisted accepts up to a hundred connections in a row at first, and later as many as keep arriving. Timers,
peer datagrams and client disconnects would have to wait for all of them.
"""

from __future__ import annotations

import os
import socket
from typing import Any

from twisted.internet import tcp

from .client_transport import ClientTransport

QUEUE_CHECK_INTERVAL = 0.02  # s between looks at connections that are left in the queue
MAX_ACCEPTS = 16  # connections accepted in one reactor iteration, at about 0.3 ms each; the rest stay queued


class ClientPort(tcp.Port):
    """A listening socket that accepts at most `MAX_ACCEPTS` connections per reactor iteration."""

    transport = ClientTransport

    def doRead(self) -> None:
        """Accept some of the queued connections; the reactor calls again while any are left."""
        count = self.factory.acceptable_count(MAX_ACCEPTS)
        if not count:
            self.stopReading()
            self.reactor.callLater(QUEUE_CHECK_INTERVAL, self.look_at_queue)
            return
        self.numberAccepts = min(self.numberAccepts, count)
        super().doRead()

    def look_at_queue(self) -> None:
        """Accept again, unless the port was closed meanwhile."""
        if self.connected and not self.disconnecting:
            self.startReading()

    def accept_queued(self) -> None:
        """Accept all connections that the kernel has queued for this port: closing it would reset them.

        Their clients may have sent a request already, and a connection that the kernel has accepted must be
        served.
        """
        self.numberAccepts = socket.SOMAXCONN
        super().doRead()


def listen(reactor: Any, address: tuple[str, int], factory: Any) -> ClientPort:
    """Listen on this address only."""
    port = ClientPort(address[1], factory, socket.SOMAXCONN, address[0], reactor)
    port.startListening()
    return port


def listen_on_inherited(reactor: Any, fd: int, factory: Any) -> ClientPort:
    """Accept on an inherited listening socket, which the predecessor process shares.

    Twisted duplicates the descriptor, and the inherited one is closed here. When this process stops
    listening, only the duplicate is closed, and queued connections are left to the other processes.
    """
    os.set_blocking(fd, False)  # Twisted accepts until EAGAIN and would block on a blocking socket
    port = ClientPort._fromListeningDescriptor(reactor, fd, socket.AF_INET, factory)
    port.startListening()
    os.close(fd)
    return port
