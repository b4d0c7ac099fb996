"""Discovery's list of backends: checked, and read into the module's terms. Without I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .. import interface as t

STATES = {"Ready": t.ServerState.READY, "Terminating": t.ServerState.DRAINING, "Gone": t.ServerState.GONE}


class ListError(ValueError):
    """A list that can't be used; the text names the entry and the key."""


@dataclass(slots=True, frozen=True)
class DiscoverySnapshot:
    """What discovery told: entries for the module, and the addresses that they stand for."""

    revision: int
    complete: bool
    entries: tuple[t.ServerEntry, ...]
    addresses: dict[str, tuple[str, int]]


def index(names: tuple[str, ...], name: object) -> int:
    """Position of a name in the settings; one past the end for a name they don't hold."""
    return names.index(name) if name in names else len(names)


def parse_list(raw: Any, settings: t.Settings) -> DiscoverySnapshot:
    """Check one list, in discovery's form, and turn it into the module's terms."""
    if not isinstance(raw, dict):
        raise ListError("the list is no object")
    revision, members = raw.get("revision"), raw.get("members")
    if type(revision) is not int or revision < 0:
        raise ListError("revision must be a whole number")
    if not isinstance(raw.get("complete"), bool):
        raise ListError("complete must be true or false")
    if not isinstance(members, list):
        raise ListError("members must be a list")
    entries, addresses = [], {}
    for i, m in enumerate(members):
        if not isinstance(m, dict):
            raise ListError(f"members.{i} is no object")
        name, at, phase = m.get("id"), m.get("host_port"), m.get("phase")
        if not isinstance(name, str) or not name:
            raise ListError(f"members.{i}.id must be text")
        if name in addresses:
            raise ListError(f"members.{i}.id comes twice: {name!r:.40}")
        if not isinstance(phase, str) or phase not in STATES:
            raise ListError(f"members.{i}.phase is unknown: {phase!r:.40}")
        host, _, port = at.rpartition(":") if isinstance(at, str) else ("", "", "")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            raise ListError(f"members.{i}.host_port is no address: {at!r:.40}")
        figures = [m.get("cell", 0), m.get("size", 1.0), m.get("up_since_ms", 0)]
        for key, figure in zip(("cell", "size", "up_since_ms"), figures, strict=True):
            if type(figure) not in (int, float) or figure < 0:
                raise ListError(f"members.{i}.{key} must be a number, 0 or more")
        addresses[name] = host, int(port)
        entries.append(
            t.ServerEntry(
                name,
                STATES[phase],
                index(settings.zones, m.get("locality")),
                int(figures[0]),
                float(figures[1]),
                index(settings.kinds, m.get("flavor")),
                figures[2] / 1000,
            )
        )
    return DiscoverySnapshot(revision, raw["complete"], tuple(entries), addresses)
