"""Distances between zones, and the tiers of zones at equal distance from one zone, nearest first.

A zone may belong to a region. Unless the options file gives a distance, a zone is at `SAME_ZONE` from
itself, at `SAME_REGION` from zones of its region, and at `OTHER_REGION` from all others; zones without a
region count as one region. A given distance applies in both directions.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

SAME_ZONE, SAME_REGION, OTHER_REGION = 0.0, 1.0, 2.0


@dataclass(slots=True, frozen=True)
class Zone:
    """A zone, its region, and its weight relative to other zones of the same tier."""

    name: str
    region: str = ""
    weight: float = 1.0


@dataclass(slots=True)
class ZoneDistances:
    """All zones and the distances between them."""

    zones: dict[str, Zone]
    configured: dict[frozenset[str], float] = field(default_factory=dict)

    @classmethod
    def build(
        cls, zones: Iterable[Zone], configured: Mapping[tuple[str, str], float] | None = None
    ) -> ZoneDistances:
        """Build from zones and distances.

        Raise `ValueError` for an unknown zone, a distance from a zone to itself, one that is not positive,
        and a pair with two different distances.
        """
        distances = cls({zone.name: zone for zone in zones})
        for (a, b), distance in (configured or {}).items():
            for name in (a, b):
                if name not in distances.zones:
                    raise ValueError(f"unknown zone {name!r}")
            if a == b or distance <= 0:
                raise ValueError(
                    f"distance from {a} to {b} cannot be {distance:g}: must be positive, between two zones"
                )
            if distances.configured.get(frozenset((a, b)), distance) != distance:
                raise ValueError(f"distance from {a} to {b} is given twice with different values")
            distances.configured[frozenset((a, b))] = distance
        return distances

    def distance(self, a: str, b: str) -> float:
        """Return the distance between two zones; an unknown zone counts as one of another region."""
        if a == b:
            return SAME_ZONE
        if (configured := self.configured.get(frozenset((a, b)))) is not None:
            return configured
        zone_a, zone_b = self.zones.get(a), self.zones.get(b)
        if zone_a is None or zone_b is None:
            return OTHER_REGION
        return SAME_REGION if zone_a.region == zone_b.region else OTHER_REGION

    def tiers(self, home: str) -> tuple[tuple[str, ...], ...]:
        """Return the zones grouped by distance from `home`, nearest first; sorted by name within a tier."""
        by_distance: dict[float, list[str]] = {}
        for name in sorted(self.zones):
            by_distance.setdefault(self.distance(home, name), []).append(name)
        return tuple(tuple(names) for _, names in sorted(by_distance.items()))
