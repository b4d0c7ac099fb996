"""The state of a TCP peer as the kernel knows it, independent of the bytes read so far."""

from __future__ import annotations

import enum
import fcntl
import select
import socket
import struct
import termios
from typing import Any

CLOSE_WAIT = 8  # kernel TCP state: the peer has sent its FIN, this side has not
STATE_OFFSET = 0  # offset of tcpi_state, one byte, in struct tcp_info
ARRIVAL_AGES = struct.Struct("@II")  # tcpi_last_data_recv and tcpi_last_ack_recv, ms
ARRIVAL_AGES_OFFSET, TCP_INFO_SIZE = 52, 64
QUEUE_SIZE = struct.Struct("@i")  # what TIOCOUTQ and FIONREAD return


class PeerState(enum.Enum):
    """How far the peer has closed a connection."""

    OPEN = enum.auto()
    HALF_CLOSED = enum.auto()  # it has sent its FIN: it has closed, or only stopped sending and still reads
    CLOSED = enum.auto()  # it has reset the connection, or both sides have sent a FIN


def peer_state(handle: Any) -> PeerState:
    """Ask the kernel, which reports a FIN or a reset even behind unread bytes.

    A socket that this side has closed counts as open, since nothing is known about its peer.
    """
    if handle.fileno() < 0:
        return PeerState.OPEN
    poll = select.poll()
    poll.register(handle, select.POLLRDHUP)
    for _, events in poll.poll(0):
        return PeerState.CLOSED if events & (select.POLLERR | select.POLLHUP) else PeerState.HALF_CLOSED
    return PeerState.OPEN


def seconds_since_last_data(handle: Any) -> float | None:
    """Return the seconds since the kernel received the latest bytes; None if it does not report that."""
    info = tcp_info(handle)
    return ARRIVAL_AGES.unpack_from(info, ARRIVAL_AGES_OFFSET)[0] / 1000 if info else None


def seconds_since_fin(handle: Any) -> float | None:
    """Return the seconds since the kernel received a peer's FIN; None if it does not report that.

    This is the age of the latest segment, with or without data: a peer that has closed sends nothing after
    its FIN but a reset. A peer that still reads also sends acknowledgements, so its FIN may be older.
    """
    info = tcp_info(handle)
    if not info or info[STATE_OFFSET] != CLOSE_WAIT:
        return None
    return ARRIVAL_AGES.unpack_from(info, ARRIVAL_AGES_OFFSET)[1] / 1000


def unacknowledged_bytes(handle: Any) -> int:
    """Return the bytes in a socket's send queue that the peer has not acknowledged; 0 if that is unknown."""
    return queue_size(handle, termios.TIOCOUTQ)


def unread_bytes(handle: Any) -> int:
    """Return the bytes in a socket's receive queue; 0 if that is unknown."""
    return queue_size(handle, termios.FIONREAD)


def queue_size(handle: Any, request: int) -> int:
    """Return the bytes that an ioctl request tells; 0 if that is unknown."""
    try:
        answer = fcntl.ioctl(handle.fileno(), request, bytes(QUEUE_SIZE.size))
    except (OSError, ValueError):  # closed
        return 0
    return int(QUEUE_SIZE.unpack(answer)[0])


def tcp_info(handle: Any) -> bytes:
    """Return the kernel's struct tcp_info, or b"" if it provides none or a shorter one."""
    try:
        info = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except OSError:
        return b""
    return info if len(info) >= TCP_INFO_SIZE else b""
