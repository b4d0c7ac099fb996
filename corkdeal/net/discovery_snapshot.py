"""Checks discovery's endpoint list and converts it to the events of the decisions. Without I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..decisions.events import Endpoint, EndpointState
from ..decisions.settings import Settings

STATES_BY_PHASE = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.GONE,
}


class ListError(ValueError):
    """An invalid endpoint list; the message names the entry and the key."""


@dataclass(slots=True, frozen=True)
class DiscoverySnapshot:
    """An endpoint list from discovery: entries for the decisions, and their addresses."""

    revision: int
    complete: bool
    entries: tuple[Endpoint, ...]
    addresses: dict[str, tuple[str, int]]


def name_position(names: tuple[str, ...], name: object) -> int:
    """Return the position of a name in the settings; one past the end for an unknown name."""
    return names.index(name) if name in names else len(names)


def parse_list(raw: Any, settings: Settings) -> DiscoverySnapshot:
    """Check one decoded endpoint list and convert it; raise `ListError` if it is invalid."""
    if not isinstance(raw, dict):
        raise ListError("endpoint list must be an object")
    revision, members = raw.get("revision"), raw.get("members")
    if type(revision) is not int or revision < 0:
        raise ListError("revision must be an integer, 0 or more")
    if not isinstance(raw.get("complete"), bool):
        raise ListError("complete must be true or false")
    if not isinstance(members, list):
        raise ListError("members must be a list")
    entries: list[Endpoint] = []
    addresses: dict[str, tuple[str, int]] = {}
    for position, member in enumerate(members):
        path = f"members.{position}"
        entry, address = parse_member(member, path, settings)
        if entry.backend in addresses:
            raise ListError(f"{path}.id is a duplicate: {entry.backend!r:.40}")
        entries.append(entry)
        addresses[entry.backend] = address
    return DiscoverySnapshot(revision, raw["complete"], tuple(entries), addresses)


def parse_member(member: Any, path: str, settings: Settings) -> tuple[Endpoint, tuple[str, int]]:
    """Convert one backend of a list; return its entry and its address."""
    if not isinstance(member, dict):
        raise ListError(f"{path} must be an object")
    name, phase = member.get("id"), member.get("phase")
    if not isinstance(name, str) or not name:
        raise ListError(f"{path}.id must be non-empty text")
    if not isinstance(phase, str) or phase not in STATES_BY_PHASE:
        raise ListError(f"{path}.phase is unknown: {phase!r:.40}")
    address = parse_address(member.get("host_port"), path)
    entry = Endpoint(
        name,
        STATES_BY_PHASE[phase],
        name_position(settings.zones, member.get("locality")),
        int(non_negative_number(member, "cell", 0, path)),
        float(non_negative_number(member, "size", 1.0, path)),
        name_position(settings.kinds, member.get("flavor")),
        non_negative_number(member, "up_since_ms", 0, path) / 1000,
    )
    return entry, address


def parse_address(raw: Any, path: str) -> tuple[str, int]:
    """Parse host and port of a backend."""
    host, _, port = raw.rpartition(":") if isinstance(raw, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ListError(f"{path}.host_port must be host:port, not {raw!r:.40}")
    return host, int(port)


def non_negative_number(member: dict[str, Any], key: str, default: float, path: str) -> float:
    """Return a number of a backend, 0 or more; `default` if it has none."""
    value = member.get(key, default)
    if type(value) not in (int, float) or value < 0:
        raise ListError(f"{path}.{key} must be a number, 0 or more")
    return value
