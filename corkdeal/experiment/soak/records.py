"""What a soak run observes; times are in s since the start of the run, by one clock."""

from __future__ import annotations

import bisect
import enum
from dataclasses import dataclass, field

from ...standin.history import History

NEW_CONNECTIONS_AFTER_TERM = 0.4  # s after SIGTERM in which clients still open connections
LATENESS_WINDOW = 0.5  # s around a moment in which the harness's own lateness counts for it


class Effect(enum.Enum):
    """How the settings mark a request class."""

    IDEMPOTENT = "pure"
    IDEMPOTENCY_KEY = "token"
    NOT_IDEMPOTENT = "side_effect"


@dataclass(slots=True)
class SoakRequest:
    """One request of a client."""

    id: int
    customer: int
    effect: Effect
    sent_at: float
    timeout: float  # s
    answered_at: float | None = None  # its last byte
    answer: bytes = b""  # the first line, and the beginning of the value of a bulk string
    begun_at: float | None = None  # the first bytes of a long answer
    was_open: bool = False  # whether the client's socket had seen no end of the connection when it was sent

    def __str__(self) -> str:
        """One line of the history."""
        state = f"{self.answer[:40]!r} at {self.answered_at:.3f}" if self.answered_at else "no answer"
        if self.begun_at is not None:
            state += f", a long one begun at {self.begun_at:.3f}"
        return f"{self.sent_at:.3f} request {self.id:x} ({self.effect.value}, {self.timeout:.3f} s): {state}"


@dataclass(slots=True)
class SoakConnection:
    """One connection of a client, with its requests in the order in which they were sent."""

    gateway: int
    opened_at: float
    is_prompt: bool  # whether the client reads answers at once
    requests: list[SoakRequest] = field(default_factory=list)
    left_at: float | None = None  # when the client closed, half-closed or reset it
    reads_to_end: bool = True  # whether the client reads until the gateway closes
    closed_at: float | None = None  # when the gateway closed it
    has_answer_without_request: bool = False


@dataclass(slots=True)
class SoakAttempt:
    """One attempt, as it arrived at a backend."""

    at: float
    request: int
    backend: str
    is_refused: bool = False  # whether the backend promised that it had no effect


@dataclass(slots=True)
class ProcessRecord:
    """One process of a gateway."""

    number: int
    gateway: int
    started_at: float
    terminated_at: float | None = None  # SIGTERM
    killed_at: float | None = None  # SIGKILL
    ended_at: float | None = None
    exit_code: int | None = None
    most_descriptors: int = 0
    most_memory: int = 0  # bytes
    faults_in_log: list[str] = field(default_factory=list)
    # Time, and s that it was ready to run and waited for a processor since the observation before.
    waits: list[tuple[float, float]] = field(default_factory=list)

    @property
    def was_killed_in_service(self) -> bool:
        """Whether it was killed without a SIGTERM before, so that its clients may go unanswered."""
        return self.killed_at is not None and self.terminated_at is None


@dataclass
class SoakRecord:
    """All observations of a run. `history` has attempts by process number in place of the gateway's."""

    history: History = field(default_factory=History)
    connections: list[SoakConnection] = field(default_factory=list)
    attempts: list[SoakAttempt] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    lateness: list[tuple[float, float]] = field(default_factory=list)  # time, s by which the harness was late
    broken_answers: set[int] = field(default_factory=set)  # ids of requests whose backend broke off within
    backend_ends: list[float] = field(default_factory=list)  # when backends ended, in their order
    ended_at: float = 0.0  # when the clients stopped

    def lateness_around(self, at: float) -> float:
        """Return the s by which the machine delayed the harness, or one of the gateways, around a moment.

        What the gateways do while they have a processor is not part of it.
        """
        harness = max((late for _, late in samples_around(self.lateness, at)), default=0.0)
        gateways = (sum(wait for _, wait in samples_around(process.waits, at)) for process in self.processes)
        return max(harness, *gateways, 0.0)

    def came_after_last_accept(self, connection: SoakConnection) -> bool:
        """Whether a connection was opened when the last process of its gateway needed to accept no more.

        The harness means to open none then, but it may be late, and the kernel queues them on a listening
        socket that is inherited.
        """
        last = max((p for p in self.processes if p.gateway == connection.gateway), key=lambda p: p.number)
        return (
            last.terminated_at is not None
            and connection.opened_at > last.terminated_at + NEW_CONNECTIONS_AFTER_TERM
        )

    def killed_in_service(self, gateway: int, begin: float, end: float) -> bool:
        """Whether a process of this gateway was killed, without a SIGTERM before, in a period."""
        return any(
            process.gateway == gateway and process.was_killed_in_service and begin <= process.killed_at <= end
            for process in self.processes
            if process.killed_at is not None
        )


def samples_around(samples: list[tuple[float, float]], at: float) -> list[tuple[float, float]]:
    """Return the samples, which are ordered by time, within `LATENESS_WINDOW` of a moment."""
    low = bisect.bisect_left(samples, (at - LATENESS_WINDOW, 0.0))
    high = bisect.bisect_right(samples, (at + LATENESS_WINDOW, 0.0))
    return samples[low:high]
