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
        gateway_index: int,
        peers: tuple[Address, ...],
        broadcast_address: Address | None,
        on_datagram: Callable[[int, bytes], None],
    ) -> None:
        self.peers, self.broadcast_address, self.on_datagram = peers, broadcast_address, on_datagram
        self.peer_by_address = {address: i for i, address in enumerate(peers) if i != gateway_index}

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:
        """Pass a datagram from a peer on; drop those from unknown senders and of invalid length."""
        peer = self.peer_by_address.get(addr)
        if peer is None:
            return count("datagram_from_stranger")
        if not 0 < len(datagram) <= MESSAGE_BYTES:
            return count("datagram_malformed")
        self.on_datagram(peer, datagram)

    def send(self, peer: int | None, payload: bytes) -> None:
        """Send a datagram to a peer, or to all peers if `peer` is None.

        UDP may lose it, so a failed send is only counted.
        """
        address = (
            self.broadcast_address if peer is None else self.peers[peer] if peer < len(self.peers) else None
        )
        if not holds(len(payload) <= MESSAGE_BYTES, "datagram_too_long"):
            return
        if address is None or self.transport is None:
            return count("datagram_without_address")
        try:
            self.transport.write(payload, address)
        except OSError:
            count("datagram_not_sent")
