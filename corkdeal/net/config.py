"""The gateway's configuration; only this module reads it, checks it and sets defaults."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from ..decisions.settings import Settings
from ..decisions.settings_parser import SettingsError, parse_settings
from .budget import MIN_BUDGET, PROCESS_MEMORY
from .discovery_snapshot import DiscoverySnapshot, ListError, parse_list

Address = tuple[str, int]
MAX_PORT = 65535
MIN_MEMORY_MB = (PROCESS_MEMORY + MIN_BUDGET) >> 20  # with less the process passes the limit by itself
MAX_MEMORY_MB = 1 << 20


class ConfigError(ValueError):
    """The configuration is invalid; the message names the key."""


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one gateway."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    peers_all: Address | None = None
    known: DiscoverySnapshot | None = None
    sockets: int = 1024
    memory: int = 192 << 20  # bytes; memory limit of the process
    ops: Address | None = None  # of the HTTP server for operators; None disables it
    inherited: int | None = None  # descriptor of a listening socket for clients, from the parent process


def parse_address(raw: object, key: str) -> Address:
    """Parse an IPv4 address with a port; host names are rejected."""
    host, _, port = raw.rpartition(":") if isinstance(raw, str) else ("", "", "")
    parts = host.split(".")
    if (
        len(parts) != 4
        or not all(p.isdecimal() and int(p) < 256 for p in parts)
        or not port.isdecimal()
        or not 0 < int(port) <= MAX_PORT
    ):
        raise ConfigError(f"{key} must be an IPv4 address and a port, not {raw!r:.60}")
    return host, int(port)


def format_address(address: Address) -> str:
    """Format an address as host:port."""
    return f"{address[0]}:{address[1]}"


def flatten(value: Any, path: str, flat: dict[str, str]) -> None:
    """Flatten nested settings into text by dotted path, as in the simulator's first message."""
    if isinstance(value, dict):
        for key, inner in value.items():
            flatten(inner, f"{path}.{key}" if path else key, flat)
    elif isinstance(value, list) and any(isinstance(x, dict) for x in value):
        flat[f"{path}.count"] = str(len(value))
        for i, inner in enumerate(value):
            flatten(inner, f"{path}.{i}", flat)
    elif isinstance(value, list):
        flat[path] = ",".join(map(str, value))
    elif value is not None:
        flat[path] = str(value).lower() if isinstance(value, bool) else str(value)


def parse_settings_object(raw: object) -> Settings:
    """Parse the settings of the decisions from their JSON form."""
    if not isinstance(raw, dict):
        raise ConfigError("settings must be a JSON object")
    pairs: dict[str, str] = {}
    flatten(raw, "", pairs)
    try:
        settings = parse_settings(pairs)
    except SettingsError as error:
        raise ConfigError(f"settings: {error}") from error
    if settings.gateway_index >= settings.gateway_count:
        raise ConfigError(
            f"settings: me is {settings.gateway_index}, but balancers is {settings.gateway_count}"
        )
    return settings


def parse_seed(raw: object) -> int:
    """Parse the seed, given as hexadecimal digits."""
    try:
        return int(raw, 16)  # type: ignore[call-overload]
    except (TypeError, ValueError):
        raise ConfigError(f"seed must be a string of hexadecimal digits, not {raw!r:.60}") from None


def parse_inherited_fd(raw: object) -> int | None:
    """Parse RELAY_INHERITED_FD, the descriptor of an inherited listening socket; None if unset or empty."""
    if raw in (None, ""):
        return None
    if not isinstance(raw, str) or not raw.isdecimal() or not 0 <= int(raw) < 1 << 20:
        raise ConfigError(f"RELAY_INHERITED_FD must be a file descriptor number, not {raw!r:.60}")
    return int(raw)


def parse_config(data: bytes, env: Mapping[str, str] = os.environ) -> Config:
    """Parse and check a configuration; missing keys come from the environment or have defaults."""
    try:
        raw = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"configuration is not valid JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError("configuration must be a JSON object")
    limits, peers = raw.get("limits", {}), raw.get("peers", [])
    if not isinstance(limits, dict):
        raise ConfigError("limits must be a JSON object")
    sockets = limits.get("sockets", 1024)
    if type(sockets) is not int or sockets < 32:
        raise ConfigError(f"limits.sockets must be an integer of at least 32, not {sockets!r:.60}")
    memory = limits.get("memory_mb", 192)
    if type(memory) not in (int, float) or not MIN_MEMORY_MB <= memory <= MAX_MEMORY_MB:
        raise ConfigError(
            f"limits.memory_mb must be a number from {MIN_MEMORY_MB} to {MAX_MEMORY_MB}, not {memory!r:.60}"
        )
    if not isinstance(peers, list):
        raise ConfigError("peers must be a JSON array")
    settings = parse_settings_object(raw.get("settings"))
    if peers and len(peers) != settings.gateway_count:
        raise ConfigError(f"peers must list all {settings.gateway_count} gateways, not {len(peers)}")
    try:
        known = None if raw.get("known") is None else parse_list(raw["known"], settings)
    except ListError as error:
        raise ConfigError(f"known: {error}") from None
    return Config(
        name=str(raw.get("name") or env.get("RELAY_NAME") or "gateway"),
        listen=parse_address(raw.get("listen") or env.get("RELAY_LISTEN"), "listen"),
        discovery=parse_address(raw.get("discovery") or env.get("RELAY_DISCOVERY"), "discovery"),
        seed=parse_seed(raw.get("seed", "0")),
        settings=settings,
        peer_listen=parse_address(raw["peer_listen"], "peer_listen") if raw.get("peer_listen") else None,
        peers=tuple(parse_address(p, f"peers.{i}") for i, p in enumerate(peers)),
        peers_all=parse_address(raw["peers_all"], "peers_all") if raw.get("peers_all") else None,
        known=known,
        sockets=sockets,
        memory=int(memory * (1 << 20)),
        ops=parse_address(ops, "ops") if (ops := raw.get("ops") or env.get("RELAY_OPS")) else None,
        inherited=parse_inherited_fd(env.get("RELAY_INHERITED_FD")),
    )


def load_config(env: Mapping[str, str] = os.environ) -> Config:
    """Load the configuration file named by RELAY_CONFIG."""
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            return parse_config(file.read(), env)
    except OSError as error:
        raise ConfigError(f"RELAY_CONFIG: {error.strerror}: {path}") from None
