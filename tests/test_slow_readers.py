"""A client that reads a long answer slowly gets all of it."""

import socket
import time

from corkdeal.net.resp import encode_command

from .net_world import Program, served

VALUE = b"x" * 4_000_000  # more than the buffers of two sockets hold
READ_SIZE = 40_000  # bytes a client reads at once
READ_INTERVAL = 0.5  # s
SLOW_TIME = 13.0  # s; more than twice the time after which a client that does not read is closed


class SlowReader(Program):
    build = ("-O",)

    # The check for clients that do not read counted only what the gateway itself buffers.
    def test_a_client_that_reads_slowly_from_full_buffers_gets_the_whole_answer(self):
        self.start(a={})
        host, port = self.config["listen"].split(":")
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect((host, int(port)))
        client.sendall(encode_command(*self.words(b"look")))
        asked = self.world.next()
        asked.conn.send(served(VALUE))
        received, slow_until = 0, time.monotonic() + SLOW_TIME
        while received < len(VALUE):
            data = client.recv(READ_SIZE)
            self.assertTrue(data)
            received += len(data)
            if time.monotonic() < slow_until:
                time.sleep(READ_INTERVAL)
