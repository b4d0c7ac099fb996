"""The routes of a customer's totals: a tree of two levels over a set of gateways.

Members are divided into blocks, each with an aggregator, and all aggregators share one root. The tree spans
the customer's set of gateways, or the whole tier if the set is most of it. There are ROOTS layouts, assigned
to customers by their number, so that no single gateway forwards all totals.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from .peer_messages import uses_tier_tree

ROOTS = 8  # fewer roots put more customers into a message; more roots spread their load
AGGREGATOR_FACTOR = 0.5  # aggregator count = sqrt(this x gateways): 10 of 200, 20 members each


class TreeRoutes(NamedTuple):
    """A gateway's neighbours in a customer's tree."""

    parent: int | None  # neighbour towards the root; None at the root and outside the tree
    peers: list[int]  # all neighbours, including the parent


@dataclass(slots=True, frozen=True)
class _TreeLayout:
    """Positions in one customer's tree: 0 is the root, then blocks that start with their aggregators."""

    first_gateway: int
    size: int
    gateway_count: int
    block_length: int
    rotation: int  # offset of position 0 from the first gateway

    def position(self, gateway: int) -> int:
        return ((gateway - self.first_gateway) % self.gateway_count - self.rotation) % self.size

    def gateway_at(self, position: int) -> int:
        return (self.first_gateway + (position + self.rotation) % self.size) % self.gateway_count


def aggregator_count(gateway_count: int) -> int:
    """Return the number of aggregators in a tree over `gateway_count` gateways."""
    return max(1, round(math.sqrt(AGGREGATOR_FACTOR * gateway_count)))


def tree_routes(
    gateway_index: int, customer: int, first_gateway: int, member_count: int, gateway_count: int
) -> TreeRoutes:
    """Return a gateway's routes for a customer's totals.

    A gateway that is neither in the customer's set nor root or aggregator of the tier's tree has no routes.
    """
    layout = _layout(customer, first_gateway, member_count, gateway_count)
    if (gateway_index - layout.first_gateway) % gateway_count >= layout.size:
        return TreeRoutes(None, [])

    def is_member(gateway: int) -> bool:
        return (gateway - first_gateway) % gateway_count < member_count

    position = layout.position(gateway_index)
    if position == 0:
        aggregators = range(1, layout.size, layout.block_length)
        return TreeRoutes(None, [layout.gateway_at(start) for start in aggregators])
    offset_in_block = (position - 1) % layout.block_length
    if offset_in_block:
        aggregator = layout.gateway_at(position - offset_in_block)
        return TreeRoutes(aggregator, [aggregator]) if is_member(gateway_index) else TreeRoutes(None, [])
    block = range(position + 1, min(layout.size, position + layout.block_length))
    block_members = [gateway for gateway in map(layout.gateway_at, block) if is_member(gateway)]
    root = layout.gateway_at(0)
    return TreeRoutes(root, [*block_members, root])


def _layout(customer: int, first_gateway: int, member_count: int, gateway_count: int) -> _TreeLayout:
    """Choose the layout of a customer's tree.

    The rotations are such that, with blocks long enough, no gateway is root or aggregator in two layouts.
    """
    if uses_tier_tree(member_count, gateway_count):
        start, size = 0, gateway_count
    else:
        start, size = first_gateway, member_count
    block_length = math.ceil((size - 1) / aggregator_count(size))
    layout_index = customer % ROOTS
    rotation = (layout_index * size // ROOTS // block_length * block_length + 2 * layout_index) % size
    return _TreeLayout(start, size, gateway_count, block_length, rotation)
