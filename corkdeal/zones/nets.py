"""Finds the zone of an IPv4 or IPv6 address: that of the longest CIDR prefix that contains it.

netaddr parses and checks the networks; py-radix, a Patricia trie in C, looks addresses up, since netaddr
alone would scan a list (`benchmarks/zones.py` compares them at 100,000 networks).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import netaddr
import radix

MAX_NETWORKS = 200_000


class ZoneNetwork(NamedTuple):
    """One network of a zone; `place.position()` returns line and column of its definition, if known."""

    cidr: str
    zone: str
    place: Any = None


class InvalidNetwork(NamedTuple):
    """A network that cannot be used, and why."""

    net: ZoneNetwork
    reason: str


class ZoneLookup:
    """Networks and their zones."""

    def __init__(self, nets: Iterable[ZoneNetwork]) -> None:
        """Add networks; invalid ones end up in `invalid`, and unless it is empty the object is unusable."""
        self.tree, self.invalid, self.count = radix.Radix(), [], 0
        for net in nets:
            if reason := self.add(net):
                self.invalid.append(InvalidNetwork(net, reason))
        self.invalid += self.find_redundant()

    def add(self, net: ZoneNetwork) -> str:
        """Add one network; return why it cannot be added, or an empty string."""
        try:
            network = netaddr.IPNetwork(net.cidr) if "/" in net.cidr else None
        except (netaddr.AddrFormatError, ValueError):
            network = None
        if network is None:
            return f"not a network in CIDR notation: {net.cidr!r:.60}"
        if network.ip != network.network:
            return f"has host bits set; {network.cidr} is the network with this prefix length"
        if self.count >= MAX_NETWORKS:
            return f"exceeds the limit of {MAX_NETWORKS} networks"
        if (existing := self.tree.search_exact(str(network.cidr))) is not None:
            first: ZoneNetwork = existing.data["net"]
            return f"is given twice; first for zone {first.zone}{format_position(first)}"
        self.tree.add(str(network.cidr)).data["net"] = net
        self.count += 1
        return ""

    def find_redundant(self) -> list[InvalidNetwork]:
        """Return networks without effect: their closest enclosing network belongs to the same zone."""
        redundant = []
        for node in self.tree.nodes():
            parent = node.parent
            while parent is not None and "net" not in parent.data:
                parent = parent.parent
            if parent is not None and parent.data["net"].zone == node.data["net"].zone:
                outer: ZoneNetwork = parent.data["net"]
                redundant.append(
                    InvalidNetwork(
                        node.data["net"], f"overlaps {outer.cidr} of the same zone{format_position(outer)}"
                    )
                )
        return redundant

    def zone_of(self, address: str) -> str | None:
        """Return the zone of an address; None if no network contains it, or if it is not a valid address."""
        try:
            node = self.tree.search_best(address)
        except ValueError:
            return None
        return node.data["net"].zone if node is not None else None


def format_position(net: ZoneNetwork) -> str:
    """Format the position of a network's definition; empty if unknown."""
    if net.place is None:
        return ""
    line, column = net.place.position()
    return f" at line {line}, column {column}"
