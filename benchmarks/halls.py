"""Compares three ways to look up the zone of an address among 100,000 networks.

Times depend on the machine: compare ratios within one run.

PYTHONPATH=. python benchmarks/halls.py
"""

from __future__ import annotations

import random
import socket
import sys
import time

import netaddr

from corkdeal.halls.nets import Net, Nets

NETS, LOOK_UPS, FEW = 100_000, 50_000, 200


def drawn(chance: random.Random) -> list[Net]:
    """Returns distinct networks of /12 to /28 with random zones."""
    made: dict[str, Net] = {}
    while len(made) < NETS:
        size = chance.randint(12, 28)
        text = str(netaddr.IPNetwork((chance.getrandbits(32) >> (32 - size) << (32 - size), size)))
        if "." in text:
            made[text] = Net(text, f"hall-{chance.randrange(1000)}")
    return list(made.values())


class ByLength:
    """A dictionary per prefix length, searched from the longest: the simple approach without a trie."""

    def __init__(self, nets: list[Net]) -> None:
        self.tables: dict[int, dict[int, str]] = {}
        for net in nets:
            made = netaddr.IPNetwork(net.text)
            self.tables.setdefault(made.prefixlen, {})[int(made.network)] = net.hall
        self.order = sorted(self.tables.items(), reverse=True)

    def hall_of(self, address: str) -> str | None:
        """Returns the zone of an IPv4 address."""
        number = int.from_bytes(socket.inet_aton(address), "big")
        for size, table in self.order:
            if (hall := table.get(number >> (32 - size) << (32 - size))) is not None:
                return hall
        return None


def main() -> int:
    """Builds the tables, times the look-ups, and checks that all give the same zones."""
    chance = random.Random(1)
    nets = drawn(chance)
    asked = [str(netaddr.IPAddress(chance.randrange(1 << 24, 1 << 32))) for _ in range(LOOK_UPS)]
    began = time.perf_counter()
    tree = Nets(nets)
    built = time.perf_counter() - began
    by_length = ByLength(nets)
    walked = [(netaddr.IPNetwork(n.text), n.hall) for n in nets]
    results = {}
    for name, look in (("py-radix", tree.hall_of), ("table a length", by_length.hall_of)):
        began = time.perf_counter()
        found = [look(a) for a in asked]
        results[name] = (time.perf_counter() - began) / LOOK_UPS * 1e6, found
    began = time.perf_counter()
    few = []
    for a in asked[: FEW // 20]:
        address = netaddr.IPAddress(a)
        holding = [(net, hall) for net, hall in walked if address in net]
        few.append(max(holding, key=lambda x: x[0].prefixlen)[1] if holding else None)
    results["netaddr, walking"] = (time.perf_counter() - began) / len(few) * 1e6, few
    first = results["py-radix"]
    print(f"{NETS} nets checked and built in {built:.2f} s\n")
    print("| way | µs a look-up | ratio |\n| --- | --- | --- |")
    for name, (took, found) in results.items():
        print(f"| {name} | {took:.2f} | {took / first[0]:.2f} |")
        if found != first[1][: len(found)]:
            print(f"{name}: zones differ from those of py-radix", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
