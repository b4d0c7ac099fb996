"""Draws what happens in one soak run from its seed; the same seed and duration give the same plan."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

MAX_STARTS = 5  # processes that one gateway may be, one after another or in an upgrade
LONGEST_DEADLINE = 2.0  # s, of the request classes below
KILL_DELAY = 0.7  # s that a gateway gets beyond the longest deadline between SIGTERM and SIGKILL
WARM_UP = 2.0  # s at the start without faults
KEPT_CONNECTIONS_SHARE = 0.5  # of the runs
MEMORY_LIMITS_MB = (64, 96)  # of a gateway; the least that the pages name, and half of the usual limit
DEDUPLICATION_WINDOW = 1.5  # s in which a request with an idempotency key may be repeated


class GatewayEvent(enum.Enum):
    """What happens to a gateway's process."""

    RELOAD = "SIGHUP"
    PAUSE = "SIGSTOP for up to 0.15 s"
    RESTART = "SIGTERM, and a start after the end"
    KILL = "SIGKILL, and a start"
    UPGRADE = "a start on the same listening socket, and SIGTERM to the predecessor"


class ServiceEvent(enum.Enum):
    """What happens to the backends or to discovery."""

    DRAIN = "a backend drains and is removed later"
    VANISH = "a backend ends without notice"
    JOIN = "a cold backend joins"
    DISCOVERY_SILENT = "discovery accepts calls and does not answer"
    DISCOVERY_SLOW = "discovery answers late"
    DISCOVERY_CUT = "discovery resets connections within its next answers"


class Behaviour(enum.Enum):
    """How a client uses a connection."""

    NORMAL = "reads each answer and closes between requests"
    HALF_CLOSE = "sends its FIN after the last requests and reads the answers"
    LEAVE = "closes while requests are open"
    RESET = "resets the connection while requests are open"
    STOP_MIDWAY = "stops in the middle of a command and stays"
    NEVER_READ = "sends requests and reads no answer"


@dataclass(frozen=True, slots=True)
class PlannedGatewayEvent:
    """An event of one gateway, s after the start of the run."""

    at: float
    gateway: int
    kind: GatewayEvent
    reloads_while_draining: int = 0
    pause: float = 0.0  # s


@dataclass(frozen=True, slots=True)
class PlannedServiceEvent:
    """An event of the backends or of discovery; `at` and `duration` in s."""

    at: float
    kind: ServiceEvent
    duration: float


@dataclass(frozen=True, slots=True)
class BackendFaults:
    """Probabilities of faults for each attempt at a backend."""

    hang: float
    reset: float
    late: float
    in_pieces: float
    refuse: float


@dataclass(frozen=True, slots=True)
class LongValues:
    """Shares of long values, over 64 KiB, and of the long answers that their backend breaks off."""

    answers: float
    requests: float
    broken_answers: float


@dataclass(frozen=True, slots=True)
class Plan:
    """One soak run."""

    seed: int
    duration: float  # s
    gateway_count: int
    is_inherited: bool  # whether the gateways inherit their listening sockets, as for upgrades
    client_count: int
    pipeline: int  # requests that a client sends at once
    pause: float  # s between an answer and the next request
    keeps_connections: bool  # whether clients use each connection until the gateway ends it
    crowd: int  # idle connections that fill the descriptors; 0 for none
    sockets: int  # `limits.sockets` of the gateways
    memory_mb: int  # `limits.memory_mb` of the gateways
    backend_count: int
    faults: BackendFaults
    long_values: LongValues
    behaviours: tuple[Behaviour, ...]  # one is drawn for each connection
    gateway_events: tuple[PlannedGatewayEvent, ...]
    service_events: tuple[PlannedServiceEvent, ...]


def draw_plan(seed: int, duration: float) -> Plan:
    """Draw a plan; `duration` is in s, without the final shutdown."""
    rng = random.Random(f"soak {seed}")
    gateway_count = rng.randint(1, 6)
    is_inherited = rng.random() < 0.5
    crowd = rng.choice((0, 0, 0, 260))
    client_count = rng.choice((4, 10, 25, 60, 120, 200))
    odd_behaviours = rng.sample(list(Behaviour), rng.randint(1, len(Behaviour)))
    return Plan(
        seed=seed,
        duration=duration,
        gateway_count=gateway_count,
        is_inherited=is_inherited,
        client_count=client_count,
        pipeline=rng.choice((1, 1, 2, 4, 8)),
        pause=rng.choice((0.0, 0.005, 0.02)) if client_count <= 25 else rng.uniform(0.1, 0.4),
        keeps_connections=random.Random(f"soak kept connections {seed}").random() < KEPT_CONNECTIONS_SHARE,
        crowd=crowd,
        sockets=256 if crowd else 1024,
        memory_mb=random.Random(f"soak memory {seed}").choice(MEMORY_LIMITS_MB),
        backend_count=rng.randint(3, 8),
        faults=draw_faults(rng),
        long_values=draw_long_values(random.Random(f"soak long values {seed}")),
        behaviours=(Behaviour.NORMAL,) * 6 + tuple(odd_behaviours),
        gateway_events=draw_gateway_events(rng, duration, gateway_count, is_inherited),
        service_events=draw_service_events(rng, duration),
    )


def draw_faults(rng: random.Random) -> BackendFaults:
    """Draw the faults of the backends; about a third of the runs have none."""
    scale = rng.choice((0.0, 0.5, 1.0))
    return BackendFaults(
        hang=scale * rng.uniform(0, 0.05),
        reset=scale * rng.uniform(0, 0.05),
        late=scale * rng.uniform(0, 0.1),
        in_pieces=scale * rng.uniform(0, 0.5),
        refuse=scale * rng.uniform(0, 0.1),
    )


def draw_long_values(rng: random.Random) -> LongValues:
    """Draw the shares of long values; about a third of the runs have none."""
    if rng.random() < 1 / 3:
        return LongValues(0.0, 0.0, 0.0)
    return LongValues(
        answers=rng.uniform(0.02, 0.3),
        requests=rng.choice((0.0, rng.uniform(0.0, 0.05))),
        broken_answers=rng.choice((0.0, 0.05, 0.3)),
    )


def draw_gateway_events(
    rng: random.Random, duration: float, gateway_count: int, is_inherited: bool
) -> tuple[PlannedGatewayEvent, ...]:
    """Draw the events of all gateways; those that start a process leave it time to end."""
    events = []
    lasting = (GatewayEvent.UPGRADE,) if is_inherited else (GatewayEvent.RESTART, GatewayEvent.KILL)
    for gateway in range(gateway_count):
        at, starts = WARM_UP + rng.uniform(0, 2), 1
        while at < duration:
            is_lasting = rng.random() < 0.4 and starts < MAX_STARTS
            kind = rng.choice(lasting if is_lasting else (GatewayEvent.RELOAD, GatewayEvent.PAUSE))
            starts += is_lasting
            events.append(
                PlannedGatewayEvent(at, gateway, kind, rng.randint(0, 2), pause=rng.uniform(0.02, 0.15))
            )
            at += rng.uniform(0.2, 3.0)
    return tuple(sorted(events, key=lambda event: event.at))


def draw_service_events(rng: random.Random, duration: float) -> tuple[PlannedServiceEvent, ...]:
    """Draw the events of the backends and of discovery."""
    events, at = [], WARM_UP + rng.uniform(0, 2)
    while at < duration:
        kind = rng.choice(list(ServiceEvent))
        events.append(PlannedServiceEvent(at, kind, rng.uniform(0.3, 3.0)))
        at += rng.uniform(0.5, 4.0)
    return tuple(events)
