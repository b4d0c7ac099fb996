"""The log tells why each client connection ended, and which requests were left."""

import shlex

import pytest

from corkdeal.net.resp import encode_command

from .net_world import Program


class CloseReasons(Program):
    """A gateway that logs at debug level."""

    def start_logging(self):
        self.start(options='log format="text" level="debug"', a={})

    def reason(self):
        """The fields of the next log line about a close."""
        line = self.line("client_connection_closed")
        return dict(field.split("=", 1) for field in shlex.split(line) if "=" in field)

    def test_each_close_has_its_reason(self):
        self.start_logging()
        for data, why in (
            (encode_command(b"QUIT"), "quit"),
            (b"no RESP2\r\n", "malformed"),
            (encode_command(b"API.READ", b"x", b"y", b"z") * 16, "bad_requests"),
            (b"", "silent"),
            (b"*2\r\n$4\r\nEC", "command_timeout"),
        ):
            with self.subTest(why):
                client = self.client()
                client.send(data)
                while client.read() is not None:
                    pass
                client.sock.close()
                assert self.reason()["why"] == why

    def test_a_client_that_leaves_names_the_requests_that_it_left(self):
        self.start_logging()
        client = self.client()
        self.ask(client, rid=0xABC)
        self.world.next()
        client.reset()
        closed = self.reason()
        assert (closed["why"], closed["requests"]) == ("client_left", "1")
        assert closed["unanswered"] == f"{0xABC:016x}"


@pytest.mark.parametrize("name", ["client_connection_closed", "attempt_ended", "request_answered"])
def test_these_events_cost_nothing_by_default(name):
    from corkdeal import logs

    assert not logs.is_enabled(name)
