"""Checks the record of a soak run against the rules of the service; reads no state of a gateway.

Bounds come from the operators' pages; each has the harness's own lateness around that moment added.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from ...standin.history import (
    ANSWER_SLACK,
    Quota,
    Violation,
    check_concurrent_attempts,
    check_endpoint_lists,
    check_quotas,
)
from .plan import DEDUPLICATION_WINDOW, KILL_DELAY, LONGEST_DEADLINE
from .records import (
    Effect,
    ProcessRecord,
    SoakAttempt,
    SoakConnection,
    SoakRecord,
    SoakRequest,
    samples_around,
)

ATTEMPT_SLACK = 0.15  # s past its client's timeout within which an attempt may begin
DEPARTURE_GRACE = 0.1  # s after a client has left within which an attempt may begin
MAX_HOLD_UP = 0.15  # s for which a gateway may be held up by its machine and still has to keep all bounds
MAX_CROSSING = 0.05  # s by which each time limit of the sockets is longer
SERVICE_SLACK = 0.1  # s by which a fake service may be late with a list, as in the tier's check


def check(record: SoakRecord, quotas: dict[int, Quota], sockets: int, memory: int) -> list[Violation]:
    """Check all rules; `sockets` and `memory` (bytes) are the limits of each process."""
    return [
        *check_answers(record),
        *check_closes(record),
        *check_answer_times(record),
        *check_attempt_times(record),
        *check_departures(record),
        *check_repeats(record),
        *check_concurrent_attempts(record.history),
        *check_endpoint_lists(record.history, SERVICE_SLACK + max_lateness(record)),
        *check_quotas(record.history, quotas),
        *check_limits(record.processes, sockets, memory),
        *check_ends(record.processes),
        *check_logs(record.processes),
    ]


def max_lateness(record: SoakRecord) -> float:
    """Return the most by which the harness was late in the whole run, in s."""
    return max((late for _, late in record.lateness), default=0.0)


def last_read(connection: SoakConnection, seen: set[int]) -> int:
    """Return the index of the last request that the gateway has read, as answers and attempts show."""
    return max(
        (
            index
            for index, request in enumerate(connection.requests)
            if request.answered_at is not None or request.id in seen
        ),
        default=-1,
    )


def check_answers(record: SoakRecord) -> list[Violation]:
    """Each request that the gateway has read gets its one answer, and no other."""
    seen = {attempt.request for attempt in record.attempts}
    violations = []
    for connection in record.connections:
        if connection.has_answer_without_request:
            violations.append(
                Violation("one final answer", ("an answer without a request", *lines(connection)))
            )
        for request in connection.requests:
            if request.answer[:1] == b"$" and b"%016x" % request.id not in request.answer:
                violations.append(Violation("one final answer", ("another request's answer", str(request))))
        end = record.ended_at if connection.closed_at is None else connection.closed_at
        if not connection.reads_to_end or record.killed_in_service(
            connection.gateway, connection.opened_at, end
        ):
            continue
        read = max(last_read(connection, seen), last_sent_before_broken_answer(record, connection))
        if read < 0 and record.came_after_last_accept(connection):
            continue
        for index, request in enumerate(connection.requests):
            if request.answered_at is not None or was_cut_off_by_backend(record, request, end):
                continue
            if index <= read or is_overdue(record, request, end):
                violations.append(Violation("one final answer", (str(request), *lines(connection))))
                break
    return violations


def check_closes(record: SoakRecord) -> list[Violation]:
    """No request that came before its connection's end stays without an answer, read or not.

    A request may cross the end, and is sent again then; the time limits are `MAX_CROSSING` longer for that.
    """
    violations = []
    for connection in record.connections:
        end = connection.closed_at
        if (
            end is None
            or not connection.reads_to_end
            or connection.left_at is not None
            or record.killed_in_service(connection.gateway, connection.opened_at, end)
            or record.came_after_last_accept(connection)
        ):
            continue
        for request in connection.requests:
            latest = end - MAX_CROSSING - record.lateness_around(end)
            if request.answered_at is not None or not request.was_open or request.sent_at > latest:
                continue
            if not was_cut_off_by_backend(record, request, end):
                violations.append(Violation("no request lost by a close", (str(request), *lines(connection))))
            break
    return violations


def was_cut_off_by_backend(record: SoakRecord, request: SoakRequest, end: float) -> bool:
    """Whether a long answer had begun and broke off by its backend: it has failed, and is not lost.

    A backend that ends closes its connections, to those that have not been written whole as well.
    """
    if request.begun_at is None:
        return False
    began = request.begun_at - SERVICE_SLACK
    return request.id in record.broken_answers or any(began <= at <= end for at in record.backend_ends)


def last_sent_before_broken_answer(record: SoakRecord, connection: SoakConnection) -> int:
    """Return the index of the last request that the gateway must have read before a long answer broke off.

    It may pass on no part of an answer with requests behind it, before it has all of it.
    """
    begun_at = next(
        (each.begun_at for each in connection.requests if each.begun_at and each.answered_at is None), None
    )
    if begun_at is None:
        return -1
    latest = begun_at - MAX_HOLD_UP - record.lateness_around(begun_at)
    return max(
        (index for index, request in enumerate(connection.requests) if request.sent_at < latest), default=-1
    )


def is_overdue(record: SoakRecord, request: SoakRequest, end: float) -> bool:
    """Whether the connection stayed open beyond the time at which the request had to be answered."""
    due = request.sent_at + request.timeout + ANSWER_SLACK
    return end > due + record.lateness_around(due)


def lines(connection: SoakConnection) -> list[str]:
    """Return the lines of history that show a connection."""
    closed = "open" if connection.closed_at is None else f"closed at {connection.closed_at:.3f}"
    left = "" if connection.left_at is None else f", left at {connection.left_at:.3f}"
    return [
        f"{connection.opened_at:.3f} connection to gateway {connection.gateway}, {closed}{left}",
        *map(str, connection.requests[-6:]),
    ]


def check_answer_times(record: SoakRecord) -> list[Violation]:
    """No answer comes later than its time and the slack; the wait behind earlier answers does not count."""
    violations = []
    for connection in record.connections:
        if not connection.is_prompt:
            continue
        previous_at = 0.0
        for request in connection.requests:
            if request.answered_at is None:
                break
            due = max(request.sent_at + request.timeout, previous_at) + ANSWER_SLACK
            begun_at = request.answered_at if request.begun_at is None else request.begun_at
            if begun_at > due + record.lateness_around(begun_at):
                violations.append(Violation("answers in time", (str(request), *lines(connection))))
            previous_at = request.answered_at
    return violations


def check_attempt_times(record: SoakRecord) -> list[Violation]:
    """No attempt begins after its client's timeout and the slack."""
    requests = {request.id: request for c in record.connections for request in c.requests}
    return [
        Violation("no attempt after its time", (str(request), describe(attempt)))
        for attempt in record.attempts
        if (request := requests.get(attempt.request)) is not None
        and attempt.at
        > request.sent_at + request.timeout + ATTEMPT_SLACK + record.lateness_around(attempt.at)
    ]


def check_departures(record: SoakRecord) -> list[Violation]:
    """No attempt begins after its client has left and the grace period."""
    left_at = {
        request.id: connection.left_at
        for connection in record.connections
        if connection.left_at is not None
        for request in connection.requests
    }
    return [
        Violation(
            "no attempt after the client left", (f"left at {left_at[attempt.request]:.3f}", describe(attempt))
        )
        for attempt in record.attempts
        if attempt.request in left_at
        and attempt.at > left_at[attempt.request] + DEPARTURE_GRACE + record.lateness_around(attempt.at)
    ]


def check_repeats(record: SoakRecord) -> list[Violation]:
    """A request that may have run is repeated only as its class permits."""
    effects = {request.id: request.effect for c in record.connections for request in c.requests}
    by_request: dict[int, list[SoakAttempt]] = defaultdict(list)
    for attempt in record.attempts:
        by_request[attempt.request].append(attempt)
    violations = []
    for request_id, attempts in by_request.items():
        may_have_run = [attempt for attempt in attempts if not attempt.is_refused]
        if not may_have_run:
            continue
        first = may_have_run[0]
        for later in attempts[attempts.index(first) + 1 :]:
            if is_forbidden_repeat(record, effects.get(request_id), first, later):
                violations.append(Violation("repeats as the class permits", tuple(map(describe, attempts))))
                break
    return violations


def is_forbidden_repeat(
    record: SoakRecord, effect: Effect | None, first: SoakAttempt, later: SoakAttempt
) -> bool:
    """Whether an attempt may not follow another one that may have run."""
    if effect is Effect.NOT_IDEMPOTENT:
        return True
    if effect is Effect.IDEMPOTENCY_KEY:
        return later.at > first.at + DEDUPLICATION_WINDOW + record.lateness_around(later.at)
    return False


def describe(attempt: SoakAttempt) -> str:
    """Return the line of history that shows an attempt."""
    refused = ", refused" if attempt.is_refused else ""
    return f"{attempt.at:.3f} attempt for {attempt.request:x} at {attempt.backend}{refused}"


def check_limits(processes: Iterable[ProcessRecord], sockets: int, memory: int) -> list[Violation]:
    """Each process stays within its limits."""
    violations = []
    for process in processes:
        if process.most_descriptors > sockets:
            text = f"process {process.number}: {process.most_descriptors} descriptors of {sockets}"
            violations.append(Violation("limits", (text,)))
        if process.most_memory > memory:
            text = f"process {process.number}: {process.most_memory} bytes of {memory}"
            violations.append(Violation("limits", (text,)))
    return violations


def check_ends(processes: Iterable[ProcessRecord]) -> list[Violation]:
    """A process that gets SIGTERM ends with code 0 before the kill; no other one ends by itself."""
    violations = []
    for process in processes:
        if process.was_killed_in_service:
            continue
        text = f"process {process.number} of gateway {process.gateway}, code {process.exit_code}"
        if process.ended_at is None:
            violations.append(Violation("ends before the kill", (f"{text}: still there",)))
        elif process.terminated_at is None:
            violations.append(Violation("ends before the kill", (f"{text}: ended by itself",)))
        elif process.killed_at is not None and was_held_up(process, process.killed_at):
            continue  # the machine, not the process, took the time
        elif process.killed_at is not None or process.exit_code != 0:
            allowed = LONGEST_DEADLINE + KILL_DELAY
            violations.append(
                Violation("ends before the kill", (f"{text}: not ended {allowed:.1f} s after SIGTERM",))
            )
    return violations


def was_held_up(process: ProcessRecord, at: float) -> bool:
    """Whether the machine kept a process waiting for a processor around a moment for longer than allowed."""
    return sum(wait for _, wait in samples_around(process.waits, at)) > MAX_HOLD_UP


def check_logs(processes: Iterable[ProcessRecord]) -> list[Violation]:
    """No log has a traceback, a failure of the decisions or a broken invariant."""
    return [
        Violation("no fault in the log", (f"process {process.number}: {line}",))
        for process in processes
        for line in process.faults_in_log[:3]
    ]
