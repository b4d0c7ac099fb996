"""Compares three ways to look up the zone of an address among 100,000 networks.

Times depend on the machine: compare ratios within one run.

PYTHONPATH=. python benchmarks/zones.py
"""

from __future__ import annotations

import random
import socket
import sys
import time

import netaddr

from corkdeal.zones.nets import ZoneLookup, ZoneNetwork

NETS, LOOK_UPS, LINEAR_SAMPLE = 100_000, 50_000, 200  # a 20th of the sample is searched linearly


def random_networks(chance: random.Random) -> list[ZoneNetwork]:
    """Returns distinct networks of /12 to /28 with random zones."""
    networks: dict[str, ZoneNetwork] = {}
    while len(networks) < NETS:
        size = chance.randint(12, 28)
        text = str(netaddr.IPNetwork((chance.getrandbits(32) >> (32 - size) << (32 - size), size)))
        if "." in text:
            networks[text] = ZoneNetwork(text, f"hall-{chance.randrange(1000)}")
    return list(networks.values())


class ByLength:
    """A dictionary per prefix length, searched from the longest: the simple approach without a trie."""

    def __init__(self, nets: list[ZoneNetwork]) -> None:
        self.tables: dict[int, dict[int, str]] = {}
        for net in nets:
            network = netaddr.IPNetwork(net.cidr)
            self.tables.setdefault(network.prefixlen, {})[int(network.network)] = net.zone
        self.order = sorted(self.tables.items(), reverse=True)

    def zone_of(self, address: str) -> str | None:
        """Returns the zone of an IPv4 address."""
        number = int.from_bytes(socket.inet_aton(address), "big")
        for size, table in self.order:
            if (zone := table.get(number >> (32 - size) << (32 - size))) is not None:
                return zone
        return None


def main() -> int:
    """Builds the tables, times the look-ups, and checks that all give the same zones."""
    chance = random.Random(1)
    nets = random_networks(chance)
    addresses = [str(netaddr.IPAddress(chance.randrange(1 << 24, 1 << 32))) for _ in range(LOOK_UPS)]
    started_at = time.perf_counter()
    tree = ZoneLookup(nets)
    build_time = time.perf_counter() - started_at
    by_length = ByLength(nets)
    walked = [(netaddr.IPNetwork(n.cidr), n.zone) for n in nets]
    results = {}
    for name, look in (("py-radix", tree.zone_of), ("table a length", by_length.zone_of)):
        started_at = time.perf_counter()
        found = [look(a) for a in addresses]
        results[name] = (time.perf_counter() - started_at) / LOOK_UPS * 1e6, found
    started_at = time.perf_counter()
    linear_results = []
    for a in addresses[: LINEAR_SAMPLE // 20]:
        address = netaddr.IPAddress(a)
        holding = [(net, zone) for net, zone in walked if address in net]
        linear_results.append(max(holding, key=lambda x: x[0].prefixlen)[1] if holding else None)
    results["netaddr, walking"] = (
        (time.perf_counter() - started_at) / len(linear_results) * 1e6,
        linear_results,
    )
    reference = results["py-radix"]
    print(f"{NETS} nets checked and built in {build_time:.2f} s\n")
    print("| way | µs a look-up | ratio |\n| --- | --- | --- |")
    for name, (took, found) in results.items():
        print(f"| {name} | {took:.2f} | {took / reference[0]:.2f} |")
        if found != reference[1][: len(found)]:
            print(f"{name}: zones differ from those of py-radix", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
