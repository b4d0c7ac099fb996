"""The `halls` node put together: nets and tiers, and the faults that only show then."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ..halls.nets import Net, Nets
from ..halls.tiers import Hall, Tiers
from .records import HallsOptions


def nets_of(options: HallsOptions) -> Nets:
    """All nets of all halls."""
    return Nets(Net(n.cidr, h.name, n.place) for h in options.halls for n in h.nets)


def tiers_of(options: HallsOptions) -> Tiers:
    """Halls and distances; `ValueError` where they don't fit."""
    return Tiers.of(
        (Hall(h.name, h.region, h.weight) for h in options.halls),
        {(d.one, d.other): d.value for d in options.distances},
    )


def faults(options: HallsOptions) -> Iterator[tuple[Any, str, str]]:
    """What is wrong, each with its place and its node."""
    seen: set[str] = set()
    for hall in options.halls:
        if not hall.name or hall.name in seen:
            yield hall.place, "halls.hall", f"{hall.name!r:.60} has no name or stands here a second time"
        seen.add(hall.name)
    halls = [Hall(h.name, h.region, h.weight) for h in options.halls]
    pairs: dict[frozenset[str], float] = {}
    for distance in options.distances:
        try:
            Tiers.of(halls, {(distance.one, distance.other): distance.value})
        except ValueError as error:
            yield distance.place, "halls.distance", str(error)
        pair = frozenset((distance.one, distance.other))
        if pair in pairs:
            yield distance.place, "halls.distance", "stands here a second time"
        pairs[pair] = distance.value
    for wrong in nets_of(options).wrong:
        yield wrong.net.place, "halls.hall.net", wrong.why
