"""The routes of one customer's totals: a tree of two levels over a set of gateways.

Members are divided into blocks, each with an aggregator, and the aggregators have one root. The tree lies
over the customer's set of gateways, or over the whole tier where the set is most of it. There are ROOTS ways
to lay it, and customers take turns among them, so that no gateway has to pass on all totals.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from .peer_messages import uses_tier_tree

ROOTS = 8  # fewer put more customers into one message, and more spread the load of roots
AGGREGATOR_FACTOR = 0.5  # aggregators are the root of this times the gateways: 10 of 200, 20 members each


class TreeRoutes(NamedTuple):
    """A gateway's neighbours in a customer's tree."""

    parent: int | None  # the one towards the root; None at the root, and outside the tree
    peers: list[int]  # all of them


@dataclass(slots=True, frozen=True)
class _TreeLayout:
    """Positions in one customer's tree: 0 is the root, then blocks that begin with their aggregators."""

    first_gateway: int
    size: int
    gateway_count: int
    block_length: int
    rotation: int  # position 0 is so many gateways after the first

    def position(self, gateway: int) -> int:
        return ((gateway - self.first_gateway) % self.gateway_count - self.rotation) % self.size

    def gateway_at(self, position: int) -> int:
        return (self.first_gateway + (position + self.rotation) % self.size) % self.gateway_count


def aggregator_count(gateway_count: int) -> int:
    """How many aggregators a tree over so many gateways has."""
    return max(1, round(math.sqrt(AGGREGATOR_FACTOR * gateway_count)))


def tree_routes(
    gateway_index: int, customer: int, first_gateway: int, member_count: int, gateway_count: int
) -> TreeRoutes:
    """A gateway's routes for a customer's totals.

    One that is neither a member of the customer's set nor an aggregator of the tier's tree has none.
    """
    layout = _layout(customer, first_gateway, member_count, gateway_count)
    if (gateway_index - layout.first_gateway) % gateway_count >= layout.size:
        return TreeRoutes(None, [])

    def is_member(gateway: int) -> bool:
        return (gateway - first_gateway) % gateway_count < member_count

    position = layout.position(gateway_index)
    if position == 0:
        aggregators = range(1, layout.size, layout.block_length)
        return TreeRoutes(None, [layout.gateway_at(place) for place in aggregators])
    place_in_block = (position - 1) % layout.block_length
    if place_in_block:
        aggregator = layout.gateway_at(position - place_in_block)
        return TreeRoutes(aggregator, [aggregator]) if is_member(gateway_index) else TreeRoutes(None, [])
    block = range(position + 1, min(layout.size, position + layout.block_length))
    below = [gateway for gateway in map(layout.gateway_at, block) if is_member(gateway)]
    root = layout.gateway_at(0)
    return TreeRoutes(root, [*below, root])


def _layout(customer: int, first_gateway: int, member_count: int, gateway_count: int) -> _TreeLayout:
    """The rotations are such that, with blocks long enough, none is root or aggregator in two of them."""
    if uses_tier_tree(member_count, gateway_count):
        start, size = 0, gateway_count
    else:
        start, size = first_gateway, member_count
    block_length = math.ceil((size - 1) / aggregator_count(size))
    number = customer % ROOTS
    rotation = (number * size // ROOTS // block_length * block_length + 2 * number) % size
    return _TreeLayout(start, size, gateway_count, block_length, rotation)
