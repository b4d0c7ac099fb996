"""What the kernel knows of the other side of a TCP connection, beyond the bytes read from it."""

from __future__ import annotations

import enum
import select
import socket
import struct
from typing import Any

CLOSE_WAIT = 8  # of the kernel's TCP states: the other side has sent its FIN, this one has not
STATE_AT = 0  # offset of tcpi_state, one byte, in struct tcp_info
ARRIVALS = struct.Struct("@II")  # tcpi_last_data_recv and tcpi_last_ack_recv, ms
ARRIVALS_AT, INFO_BYTES = 52, 64


class PeerState(enum.Enum):
    """How far the other side has ended a connection."""

    OPEN = enum.auto()
    HALF_CLOSED = enum.auto()  # it has sent its FIN: it has closed, or merely sends no more and still reads
    CLOSED = enum.auto()  # it has reset the connection, or both sides have ended their sending


def peer_state(handle: Any) -> PeerState:
    """Ask the kernel now: bytes that were not read yet hide neither a FIN nor a reset from it.

    A socket that is closed on this side is told of as open, for nothing is known of its other side.
    """
    if handle.fileno() < 0:
        return PeerState.OPEN
    poll = select.poll()
    poll.register(handle, select.POLLRDHUP)
    for _, what in poll.poll(0):
        return PeerState.CLOSED if what & (select.POLLERR | select.POLLHUP) else PeerState.HALF_CLOSED
    return PeerState.OPEN


def since_last_data(handle: Any) -> float | None:
    """Seconds since the kernel took the newest bytes of a connection; None where it does not tell."""
    info = tcp_info(handle)
    return ARRIVALS.unpack_from(info, ARRIVALS_AT)[0] / 1000 if info else None


def since_fin(handle: Any) -> float | None:
    """Seconds since the kernel took the FIN of a peer that reads no more; None where it does not tell.

    This is the age of the newest segment, with or without data: a peer that has closed sends nothing after
    its FIN but a reset. One that still reads also acknowledges what it is sent, so its FIN may be older.
    """
    info = tcp_info(handle)
    if not info or info[STATE_AT] != CLOSE_WAIT:
        return None
    return ARRIVALS.unpack_from(info, ARRIVALS_AT)[1] / 1000


def tcp_info(handle: Any) -> bytes:
    """The kernel's struct tcp_info, or nothing where it gives none that is long enough."""
    try:
        info = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
    except OSError:
        return b""
    return info if len(info) >= INFO_BYTES else b""
