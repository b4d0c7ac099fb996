"""Parts of an answer are written by one sendmsg, whose flags are advice."""

import errno
import socket

import pytest

from corkdeal.net import vectored_write


class Handle:
    """A socket on a system that takes no flags, or that fails."""

    def __init__(self, error):
        self.error, self.sent = error, []

    def sendmsg(self, parts, ancillary=(), flags=0):
        if flags:
            raise OSError(self.error, "")
        self.sent += parts
        return sum(map(len, parts))


@pytest.mark.parametrize("error", [errno.EINVAL, errno.EOPNOTSUPP])
def test_an_answer_is_sent_where_the_system_takes_no_flags(error):
    handle = Handle(error)
    assert vectored_write.send(handle, [b"a", b"bc"], socket.MSG_MORE) == 3
    assert handle.sent == [b"a", b"bc"]


@pytest.mark.parametrize("error", [errno.EAGAIN, errno.EPIPE, errno.ETIMEDOUT])
def test_other_errors_are_raised_and_nothing_is_sent_again(error):
    handle = Handle(error)
    with pytest.raises(OSError):
        vectored_write.send(handle, [b"a"], socket.MSG_MORE)
    assert not handle.sent
