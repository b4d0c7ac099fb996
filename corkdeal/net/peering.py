"""Datagrams between the gateways of a tier."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.protocol import DatagramProtocol

from ..decisions.peer_messages import MESSAGE_BYTES
from .invariants import count, holds

Address = tuple[str, int]


class Peering(DatagramProtocol):
    """Sends payloads to peers by number; a sender is known by its address alone."""

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
        """Hand on what a peer sent; strangers and what is too long are dropped."""
        peer = self.numbers.get(addr)
        if peer is None:
            return count("datagram_from_stranger")
        if not 0 < len(datagram) <= MESSAGE_BYTES:
            return count("datagram_malformed")
        self.heard(peer, datagram)

    def tell(self, peer: int | None, payload: bytes) -> None:
        """One datagram to a peer, or to all of them; UDP may lose it, so a failed send is only counted."""
        at = self.everyone if peer is None else self.peers[peer] if peer < len(self.peers) else None
        if not holds(len(payload) <= MESSAGE_BYTES, "datagram_too_long"):
            return
        if at is None or self.transport is None:
            return count("datagram_without_address")
        try:
            self.transport.write(payload, at)
        except OSError:
            count("datagram_not_sent")
