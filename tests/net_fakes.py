"""Fake client connections without sockets, for a gateway on a fake reactor."""

import unittest.mock

from twisted.internet.testing import StringTransport

from corkdeal.net.client_connection import ClientConnectionFactory


def connect(gateway):
    """A client connection that has received nothing yet; its transport keeps what is written to it."""
    connection = ClientConnectionFactory(gateway).buildProtocol(None)
    transport = StringTransport()
    transport.setTcpNoDelay = lambda on: None
    transport.connected, transport.producerPaused, transport.dataBuffer = True, False, b""
    transport._tempDataBuffer, transport._tempDataLen, transport.offset = [], 0, 0
    transport.getHandle = lambda: transport
    transport.fileno = lambda: -1
    transport.getsockopt = unittest.mock.Mock(side_effect=OSError)  # TCP_INFO is not available
    transport.recv = unittest.mock.Mock(side_effect=BlockingIOError)
    transport.has_sent_fin = False
    transport.shutdown = lambda how: setattr(transport, "has_sent_fin", True)
    transport.sendmsg = lambda parts, ancillary=(), flags=0: transport.write(b"".join(parts)) or sum(
        map(len, parts)
    )
    transport.loseWriteConnection = lambda: None
    transport.abortConnection = lambda: connection.connectionLost()

    def close_at_once(reason):
        transport.disconnecting = True
        connection.connectionLost(reason)

    transport.connectionLost = close_at_once
    connection.makeConnection(transport)
    return connection
