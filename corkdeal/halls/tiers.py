"""Distances between zones, and the tiers of zones at equal distance from one zone, nearest first.

A zone may belong to a region. Unless the options file gives a distance, a zone is at distance 0 from itself,
`NEAR` from zones of its region, and `FAR` from all others; zones without a region are near each other. A
given distance applies in both directions.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

OWN, NEAR, FAR = 0.0, 1.0, 2.0


@dataclass(slots=True, frozen=True)
class Hall:
    """A zone, its region, and its weight relative to other zones of the same tier."""

    name: str
    region: str = ""
    weight: float = 1.0


@dataclass(slots=True)
class Tiers:
    """All zones and the distances between them."""

    halls: dict[str, Hall]
    given: dict[frozenset[str], float] = field(default_factory=dict)

    @classmethod
    def of(cls, halls: Iterable[Hall], distances: Mapping[tuple[str, str], float] | None = None) -> Tiers:
        """Build from zones and distances.

        Raise `ValueError` for an unknown zone, a distance from a zone to itself, one that is not positive,
        and a pair with two different distances.
        """
        made = cls({h.name: h for h in halls})
        for (a, b), distance in (distances or {}).items():
            for name in (a, b):
                if name not in made.halls:
                    raise ValueError(f"unknown zone {name!r}")
            if a == b or distance <= 0:
                raise ValueError(f"distance from {a} to {b} cannot be {distance:g}: only to itself is it 0")
            if made.given.get(frozenset((a, b)), distance) != distance:
                raise ValueError(f"distance from {a} to {b} is given twice with different values")
            made.given[frozenset((a, b))] = distance
        return made

    def distance(self, a: str, b: str) -> float:
        """Return the distance between two zones; an unknown zone is far from all others."""
        if a == b:
            return OWN
        if (given := self.given.get(frozenset((a, b)))) is not None:
            return given
        one, other = self.halls.get(a), self.halls.get(b)
        if one is None or other is None:
            return FAR
        return NEAR if one.region == other.region else FAR

    def tiers(self, home: str) -> tuple[tuple[str, ...], ...]:
        """Return the zones grouped by distance from `home`, nearest first; sorted by name within a tier."""
        by_distance: dict[float, list[str]] = {}
        for name in sorted(self.halls):
            by_distance.setdefault(self.distance(home, name), []).append(name)
        return tuple(tuple(names) for _, names in sorted(by_distance.items()))
