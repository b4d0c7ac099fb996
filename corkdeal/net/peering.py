"""Datagrams between the gateways of a tier."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.protocol import DatagramProtocol

from ..decisions.peer_messages import MESSAGE_BYTES
from .invariants import count, holds

Address = tuple[str, int]


class Peering(DatagramProtocol):
    """Sends payloads to peers by their number; the sender of a datagram is identified by its address only."""

    def __init__(
        self,
        me: int,
        peers: tuple[Address, ...],
        everyone: Address | None,
        heard: Callable[[int, bytes], None],
    ) -> None:
        self.peers, self.everyone, self.heard = peers, everyone, heard
        self.numbers = {at: i for i, at in enumerate(peers) if i != me}

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:
        """Pass a datagram from a peer on; drop those from unknown senders and of invalid length."""
        peer = self.numbers.get(addr)
        if peer is None:
            return count("datagram_from_stranger")
        if not 0 < len(datagram) <= MESSAGE_BYTES:
            return count("datagram_malformed")
        self.heard(peer, datagram)

    def tell(self, peer: int | None, payload: bytes) -> None:
        """Send a datagram to a peer, or to all peers if `peer` is None.

        UDP may lose it, so a failed send is only counted.
        """
        at = self.everyone if peer is None else self.peers[peer] if peer < len(self.peers) else None
        if not holds(len(payload) <= MESSAGE_BYTES, "datagram_too_long"):
            return
        if at is None or self.transport is None:
            return count("datagram_without_address")
        try:
            self.transport.write(payload, at)
        except OSError:
            count("datagram_not_sent")
