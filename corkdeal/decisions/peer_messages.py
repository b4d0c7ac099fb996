"""Codec of the datagrams in which gateways exchange the state of customers' accounts.

There are two kinds of message, distinguished by their first byte: exchange messages between ring neighbours,
and totals messages along the edges of a customer's aggregation tree. Each has a header and as many rows, one
per customer, as fit into a datagram. All numbers are little-endian.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterator
from dataclasses import dataclass

from .settings import Settings

MESSAGE_BYTES = 256  # maximum datagram size
EXCHANGE_VERSION = 3
TOTALS_VERSION = 5  # up to version 4, totals used other routes

EXCHANGE_HEADER = struct.Struct("<BIII")  # version, sender and receiver incarnation, round
EXCHANGE_ROW = struct.Struct("<IBBHHeeehf")
EXCHANGE_ROWS = (MESSAGE_BYTES - EXCHANGE_HEADER.size) // EXCHANGE_ROW.size  # per datagram
TOTALS_HEADER = struct.Struct("<BI")  # version, sender incarnation
TOTALS_ROW = struct.Struct("<IBBHHHH")
TOTALS_ROWS = (MESSAGE_BYTES - TOTALS_HEADER.size) // TOTALS_ROW.size  # per datagram

SHARE_STEPS = 30000  # steps per whole quota; shares are exchanged in these
SHARE_STEPS_LIMIT = 32000  # largest number of steps in a row, below the maximum of int16
HALF_FLOAT_LIMIT = 60000.0  # largest demand and level in a row, below the maximum of binary16
TOTALS_STEPS = 8  # steps per unit; running totals are sent in these
TOTALS_WRAP = 65536 / TOTALS_STEPS  # units, at which running totals wrap around
TIER_TREE_FRACTION = 0.5  # of the tier; a larger set of gateways uses the aggregation trees of the whole tier

CUSTOMER_LOW_MASK = 0xFFFFFFFF
CUSTOMER_HIGH_MASK = 0xFF
CUSTOMER_HIGH_SHIFT = 32  # bits
TOTALS_MASK = 0xFFFF


@dataclass(slots=True, frozen=True)
class AccountUpdate:
    """One customer's account at the sender, with the totals of the sender's ledger with the receiver."""

    customer: int
    plan_index: int
    first_gateway: int
    member_count: int
    share: float  # of the quota
    demand: float  # units/s
    level: float  # units in the bucket, or free concurrency slots
    received_share: int  # net SHARE_STEPS that the sender received from the receiver
    received_units: float  # net units that the sender received from the receiver


@dataclass(slots=True, frozen=True)
class ExchangeMessage:
    """A message between two ring neighbours."""

    sender_incarnation: int
    receiver_incarnation: int  # the latest that the sender knows; 0 for none
    round_number: int
    updates: list[AccountUpdate]


@dataclass(slots=True, frozen=True)
class TreeTotals:
    """One customer's units on the sender's side of a tree edge, modulo TOTALS_WRAP."""

    customer: int
    plan_index: int
    first_gateway: int
    member_count: int
    requested: float
    spent: float


@dataclass(slots=True, frozen=True)
class TotalsMessage:
    """A message along an edge of an aggregation tree."""

    sender_incarnation: int
    totals: list[TreeTotals]


def uses_tier_tree(member_count: int, gateway_count: int) -> bool:
    """Return whether a set of gateways is so large that non-members forward its totals too."""
    return member_count > TIER_TREE_FRACTION * gateway_count


def encode_exchange(
    sender_incarnation: int, receiver_incarnation: int, round_number: int, updates: list[AccountUpdate]
) -> list[bytes]:
    """Return datagrams with all updates, or one with only a header if there are none."""
    header = EXCHANGE_HEADER.pack(EXCHANGE_VERSION, sender_incarnation, receiver_incarnation, round_number)
    rows = [_exchange_row(update) for update in updates]
    starts = range(0, max(1, len(rows)), EXCHANGE_ROWS)
    return [header + b"".join(rows[start : start + EXCHANGE_ROWS]) for start in starts]


def encode_totals(sender_incarnation: int, totals: list[TreeTotals]) -> list[bytes]:
    """Return datagrams with all totals, or no datagram if there are none."""
    header = TOTALS_HEADER.pack(TOTALS_VERSION, sender_incarnation)
    rows = [_totals_row(entry) for entry in totals]
    starts = range(0, len(rows), TOTALS_ROWS)
    return [header + b"".join(rows[start : start + TOTALS_ROWS]) for start in starts]


def decode_exchange(payload: bytes, peer: int, settings: Settings) -> ExchangeMessage | None:
    """Return the message, or None if the payload is malformed or the peer is not a member of the tier.

    Rows that do not fit the settings are skipped; a number that is not finite invalidates the whole message.
    """
    if not _has_layout(payload, EXCHANGE_VERSION, EXCHANGE_HEADER, EXCHANGE_ROW) or not _is_peer(
        peer, settings
    ):
        return None
    updates = list(_exchange_updates(payload))
    if not all(_is_finite(update) for update in updates):
        return None
    _, sender_incarnation, receiver_incarnation, round_number = EXCHANGE_HEADER.unpack_from(payload)
    accepted = [update for update in updates if _is_between_members(update, peer, settings)]
    return ExchangeMessage(sender_incarnation, receiver_incarnation, round_number, accepted)


def decode_totals(payload: bytes, peer: int, settings: Settings) -> TotalsMessage | None:
    """Return the message, or None if the payload is malformed or the peer is not a member of the tier.

    Rows that do not fit the settings are skipped.
    """
    if not _has_layout(payload, TOTALS_VERSION, TOTALS_HEADER, TOTALS_ROW) or not _is_peer(peer, settings):
        return None
    _, sender_incarnation = TOTALS_HEADER.unpack_from(payload)
    accepted = [
        totals
        for totals in _tree_totals(payload)
        if _is_between_members(totals, peer, settings) or _is_on_tier_tree(totals, settings)
    ]
    return TotalsMessage(sender_incarnation, accepted)


def _exchange_row(update: AccountUpdate) -> bytes:
    return EXCHANGE_ROW.pack(
        update.customer & CUSTOMER_LOW_MASK,
        update.customer >> CUSTOMER_HIGH_SHIFT & CUSTOMER_HIGH_MASK,
        update.plan_index,
        update.first_gateway,
        update.member_count,
        update.share,
        min(HALF_FLOAT_LIMIT, update.demand),
        max(-HALF_FLOAT_LIMIT, min(HALF_FLOAT_LIMIT, update.level)),
        max(-SHARE_STEPS_LIMIT, min(SHARE_STEPS_LIMIT, update.received_share)),
        update.received_units,
    )


def _totals_row(totals: TreeTotals) -> bytes:
    return TOTALS_ROW.pack(
        totals.customer & CUSTOMER_LOW_MASK,
        totals.customer >> CUSTOMER_HIGH_SHIFT & CUSTOMER_HIGH_MASK,
        totals.plan_index,
        totals.first_gateway,
        totals.member_count,
        round(totals.requested * TOTALS_STEPS) & TOTALS_MASK,
        round(totals.spent * TOTALS_STEPS) & TOTALS_MASK,
    )


def _exchange_updates(payload: bytes) -> Iterator[AccountUpdate]:
    for low, high, *fields in EXCHANGE_ROW.iter_unpack(payload[EXCHANGE_HEADER.size :]):
        yield AccountUpdate(low | high << CUSTOMER_HIGH_SHIFT, *fields)


def _tree_totals(payload: bytes) -> Iterator[TreeTotals]:
    for low, high, plan_index, first_gateway, member_count, requested, spent in TOTALS_ROW.iter_unpack(
        payload[TOTALS_HEADER.size :]
    ):
        customer = low | high << CUSTOMER_HIGH_SHIFT
        yield TreeTotals(
            customer, plan_index, first_gateway, member_count, requested / TOTALS_STEPS, spent / TOTALS_STEPS
        )


def _has_layout(payload: bytes, version: int, header: struct.Struct, row: struct.Struct) -> bool:
    """Return whether a datagram has that version, a complete header and only complete rows."""
    rows_size = len(payload) - header.size
    return rows_size >= 0 and rows_size % row.size == 0 and payload[0] == version


def _is_peer(peer: int, settings: Settings) -> bool:
    """Return whether the sender is another gateway of the tier."""
    return peer != settings.gateway_index and 0 <= peer < settings.gateway_count


def _is_finite(update: AccountUpdate) -> bool:
    numbers = (update.share, update.demand, update.level, update.received_units)
    return all(map(math.isfinite, numbers))


def _has_valid_account(row: AccountUpdate | TreeTotals, settings: Settings) -> bool:
    """Return whether the row's plan and set of gateways exist in the settings."""
    return (
        row.plan_index < len(settings.plans)
        and row.first_gateway < settings.gateway_count
        and 2 <= row.member_count <= settings.gateway_count
    )


def _is_between_members(row: AccountUpdate | TreeTotals, peer: int, settings: Settings) -> bool:
    """Return whether both ends are members of the set of the row's account."""
    return _has_valid_account(row, settings) and all(
        (gateway - row.first_gateway) % settings.gateway_count < row.member_count
        for gateway in (peer, settings.gateway_index)
    )


def _is_on_tier_tree(totals: TreeTotals, settings: Settings) -> bool:
    """Return whether the totals belong to an account whose tree spans the whole tier."""
    return _has_valid_account(totals, settings) and uses_tier_tree(
        totals.member_count, settings.gateway_count
    )
