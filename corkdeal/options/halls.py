"""Builds networks and tiers from the `halls` node, and finds the faults that span several of its records."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ..halls.nets import Net, Nets
from ..halls.tiers import Hall, Tiers
from .records import HallsOptions


def nets_of(options: HallsOptions) -> Nets:
    """Return the networks of all zones."""
    return Nets(Net(n.cidr, h.name, n.place) for h in options.halls for n in h.nets)


def tiers_of(options: HallsOptions) -> Tiers:
    """Return the zones with their distances; raise `ValueError` if these are inconsistent."""
    return Tiers.of(
        (Hall(h.name, h.region, h.weight) for h in options.halls),
        {(d.one, d.other): d.value for d in options.distances},
    )


def faults(options: HallsOptions) -> Iterator[tuple[Any, str, str]]:
    """Yield each fault as its position in the file, the path of its node, and its text."""
    seen: set[str] = set()
    for hall in options.halls:
        if not hall.name or hall.name in seen:
            yield hall.place, "halls.hall", f"{hall.name!r:.60} is an empty name or is given a second time"
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
            yield distance.place, "halls.distance", "the distance of these zones is given a second time"
        pairs[pair] = distance.value
    for wrong in nets_of(options).wrong:
        yield wrong.net.place, "halls.hall.net", wrong.why
