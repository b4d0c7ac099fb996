"""How near halls are to one another: tiers from a hall's own outwards, over two levels.

A hall may stand in a region. Without distances that the operators give, the own hall is at 0, halls of the
own region at `NEAR`, all others at `FAR`; without regions all others are near. A given distance counts both
ways.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

OWN, NEAR, FAR = 0.0, 1.0, 2.0


@dataclass(slots=True, frozen=True)
class Hall:
    """One hall, the region that it stands in, and what it is worth against others of its tier."""

    name: str
    region: str = ""
    weight: float = 1.0


@dataclass(slots=True)
class Tiers:
    """All halls and their distances."""

    halls: dict[str, Hall]
    given: dict[frozenset[str], float] = field(default_factory=dict)

    @classmethod
    def of(cls, halls: Iterable[Hall], distances: Mapping[tuple[str, str], float] | None = None) -> Tiers:
        """From halls and distances; `ValueError` for a hall that is not there, or a pair given twice
        otherwise.
        """
        made = cls({h.name: h for h in halls})
        for (a, b), distance in (distances or {}).items():
            for name in (a, b):
                if name not in made.halls:
                    raise ValueError(f"there is no hall {name!r}")
            if a == b or distance <= 0:
                raise ValueError(f"from {a} to {b} can't be {distance:g}: only a hall itself is at 0")
            if made.given.get(frozenset((a, b)), distance) != distance:
                raise ValueError(f"from {a} to {b} is given twice and differs")
            made.given[frozenset((a, b))] = distance
        return made

    def distance(self, a: str, b: str) -> float:
        """From one hall to another; a hall that is not known is far from all."""
        if a == b:
            return OWN
        if (given := self.given.get(frozenset((a, b)))) is not None:
            return given
        one, other = self.halls.get(a), self.halls.get(b)
        if one is None or other is None:
            return FAR
        return NEAR if one.region == other.region else FAR

    def tiers(self, home: str) -> tuple[tuple[str, ...], ...]:
        """Halls from the nearest tier to the farthest; within a tier by name."""
        by_distance: dict[float, list[str]] = {}
        for name in sorted(self.halls):
            by_distance.setdefault(self.distance(home, name), []).append(name)
        return tuple(tuple(names) for _, names in sorted(by_distance.items()))
