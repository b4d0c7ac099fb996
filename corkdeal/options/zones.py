"""Builds networks and tiers from the `halls` node, and finds the faults that span several of its records."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ..zones.nets import ZoneLookup, ZoneNetwork
from ..zones.tiers import Zone, ZoneDistances
from .records import ZonesOptions


def build_networks(options: ZonesOptions) -> ZoneLookup:
    """Return the networks of all zones."""
    return ZoneLookup(
        ZoneNetwork(net.cidr, zone.name, net.place) for zone in options.halls for net in zone.nets
    )


def build_distances(options: ZonesOptions) -> ZoneDistances:
    """Return the zones with their distances; raise `ValueError` if these are inconsistent."""
    return ZoneDistances.build(
        (Zone(zone.name, zone.region, zone.weight) for zone in options.halls),
        {(d.one, d.other): d.value for d in options.distances},
    )


def find_faults(options: ZonesOptions) -> Iterator[tuple[Any, str, str]]:
    """Yield each fault as its position in the file, the path of its node, and its text."""
    seen_names: set[str] = set()
    for zone in options.halls:
        if not zone.name or zone.name in seen_names:
            yield zone.place, "halls.hall", f"{zone.name!r:.60} is an empty name or is given a second time"
        seen_names.add(zone.name)
    zones = [Zone(zone.name, zone.region, zone.weight) for zone in options.halls]
    seen_pairs: dict[frozenset[str], float] = {}
    for distance in options.distances:
        try:
            ZoneDistances.build(zones, {(distance.one, distance.other): distance.value})
        except ValueError as error:
            yield distance.place, "halls.distance", str(error)
        pair = frozenset((distance.one, distance.other))
        if pair in seen_pairs:
            yield distance.place, "halls.distance", "the distance of these zones is given a second time"
        seen_pairs[pair] = distance.value
    for invalid in build_networks(options).invalid:
        yield invalid.net.place, "halls.hall.net", invalid.reason
