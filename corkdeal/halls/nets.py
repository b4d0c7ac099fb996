"""Which hall an address stands in, by nets in CIDR form, IPv4 and IPv6: the longest net that holds it.

netaddr reads and checks the nets; py-radix, a Patricia trie in C, looks them up (`benchmarks/halls.py` has
both at 100,000 nets: netaddr alone would walk a list).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import netaddr
import radix

MOST_NETS = 200_000


class Net(NamedTuple):
    """One net of a hall; `place.at()` gives line and column of where it is written, where that is known."""

    text: str
    hall: str
    place: Any = None


class Wrong(NamedTuple):
    """A net that can't be used, and why."""

    net: Net
    why: str


class Nets:
    """Nets and their halls."""

    def __init__(self, nets: Iterable[Net]) -> None:
        """All that is wrong is in `wrong`; a caller that finds anything there uses none of it."""
        self.tree, self.wrong, self.count = radix.Radix(), [], 0
        for net in nets:
            if why := self.add(net):
                self.wrong.append(Wrong(net, why))
        self.wrong += self.redundant()

    def add(self, net: Net) -> str:
        """Take one net; why not, where it can't be taken."""
        try:
            made = netaddr.IPNetwork(net.text) if "/" in net.text else None
        except (netaddr.AddrFormatError, ValueError):
            made = None
        if made is None:
            return f"is no net in CIDR form: {net.text!r:.60}"
        if made.ip != made.network:
            return f"has bits set behind its prefix; {made.cidr} is meant, or another net"
        if self.count >= MOST_NETS:
            return f"is one more than {MOST_NETS} nets"
        if (known := self.tree.search_exact(str(made.cidr))) is not None:
            first: Net = known.data["net"]
            return f"is given twice; first for {first.hall}{at(first)}"
        self.tree.add(str(made.cidr)).data["net"] = net
        self.count += 1
        return ""

    def redundant(self) -> list[Wrong]:
        """Nets that lie in another of the same hall with none of another hall's between: they say nothing."""
        found = []
        for node in self.tree.nodes():
            parent = node.parent
            while parent is not None and "net" not in parent.data:
                parent = parent.parent
            if parent is not None and parent.data["net"].hall == node.data["net"].hall:
                outer: Net = parent.data["net"]
                found.append(Wrong(node.data["net"], f"overlaps {outer.text} of the same hall{at(outer)}"))
        return found

    def hall_of(self, address: str) -> str | None:
        """The hall of an address, or none; an address that is none has no hall either."""
        try:
            node = self.tree.search_best(address)
        except ValueError:
            return None
        return node.data["net"].hall if node is not None else None


def at(net: Net) -> str:
    """Where a net is written, if that is known."""
    if net.place is None:
        return ""
    line, column = net.place.at()
    return f" at line {line}, column {column}"
