"""Keeps the processes of an upgrade together within the gateway's limits on memory and descriptors.

`process_limits` decides what each process may use, and `applied_limits` applies it. This module exchanges
claims with the other processes (`persistence/claim_table.py`). A process states a lower claim only after it
has freed what it gives up, and uses more only after it has stated that.
"""

from __future__ import annotations

import dataclasses
from typing import Any

from .. import logs
from ..persistence.claim_table import Claim, ClaimTable
from ..persistence.errors import FolderLockedError
from ..persistence.handover_files import HandoverFiles
from . import process_memory
from .applied_limits import AppliedLimits
from .descriptors import RESERVED
from .invariants import count
from .process_limits import (
    MIN_DESCRIPTORS_FOR_UPGRADE,
    MIN_MEMORY_FOR_UPGRADE,
    Allowance,
    OtherProcesses,
    claim_of,
    first_claim,
    whole_claim,
)
from .shutdown import KILL_DELAY, MAX_CLASS_DEADLINE

CHECK_INTERVAL = 0.1  # s between looks for other processes
SHARING_CHECK_INTERVAL = 0.02  # s between looks at their claims, while there are any
LOG_INTERVAL = 0.5  # s between two log lines
# s for which a process that has just started may not have stated its claim yet
CLAIM_GRACE = 0.25
# s after which one without a claim counts as an earlier version, which uses all of the limits
EARLIER_VERSION_AFTER = 1.0
READY_TIMEOUT = 6.0  # s that the platform gives a new process to become ready
# s after which a predecessor has ended, where the folder does not tell whether there is one
PREDECESSOR_TIME = READY_TIMEOUT + MAX_CLASS_DEADLINE + KILL_DELAY


class LimitSharing:
    """This process's part of its gateway's limits, by the claims of the other processes."""

    def __init__(self, reactor: Any, gateway: Any, files: HandoverFiles) -> None:
        self.reactor, self.gateway, self.files = reactor, gateway, files
        self.applied = AppliedLimits(gateway)
        self.table = ClaimTable(files.files, files.incarnation)
        self.running: list[int] = []  # the other processes, as of the last look
        self.claims: dict[int, Claim] = {}  # theirs, as far as stated
        self.first_seen_at: dict[int, float] = {}  # s; when each of them was seen first
        self.others = OtherProcesses()  # their claims, as of the last look
        self.failing_since: float | None = None  # s; since when the folder can't be used
        self.logged_at = 0.0  # s
        self.logged: tuple[list[int], Allowance] = ([], self.applied.allowance)

    def start(self) -> None:
        """Take this process's part of the limits, and follow the other processes from now on."""
        log_small_limits(self.gateway.config.memory, self.gateway.config.sockets)
        self.running = self.files.running()
        self.applied.adapt(self._other_processes())  # theirs may not be known at the first look
        self.check()

    def has_started(self, incarnation: int) -> bool:
        """Return whether another process has loaded its program, as an earlier version has that is seen."""
        if incarnation in self.claims:
            return self.claims[incarnation].is_started
        return self._seen_for(incarnation) >= CLAIM_GRACE

    def check(self) -> None:
        """Look at the other processes, and adapt to them."""
        is_sharing = bool(self.running) or self.failing_since is not None
        self.reactor.callLater(SHARING_CHECK_INTERVAL if is_sharing else CHECK_INTERVAL, self.check)
        try:
            self._update()
        except FolderLockedError:
            return  # another process looks at the claims now
        except OSError:
            self._keep_without_folder()
            return
        self.failing_since = None

    def _update(self) -> None:
        """Exchange claims with the others, and apply the part of the limits that follows."""
        now = self.gateway.now()
        self.running = self.files.running()
        self.first_seen_at = {each: self.first_seen_at.get(each, now) for each in self.running}
        with self.table.locked():
            claims = self.table.read()
            self.claims = {each: claims[each] for each in self.running if each in claims}
            self.others = self._other_processes()
            before, allowance = self.applied.allowance, self.applied.allow(self.others)
            if allowance.budget > before.budget or allowance.connections > before.connections:
                self._state_claim(allowance)
            self.applied.apply(allowance, self.others)
            self._state_claim(allowance)
        self._log()

    def _state_claim(self, allowance: Allowance) -> None:
        self.table.write(claim_of(allowance, self.applied.usage()), self.running)

    def _other_processes(self) -> OtherProcesses:
        """Return the claims of the other processes that run."""
        whole = whole_claim(self.applied.limits)
        older = [self.claims.get(each, whole) for each in self.running if each < self.files.incarnation]
        younger = [self._claim_of_younger(each) for each in self.running if each > self.files.incarnation]
        return OtherProcesses(older, younger)

    def _claim_of_younger(self, incarnation: int) -> Claim:
        if incarnation in self.claims:
            return self.claims[incarnation]
        if self._seen_for(incarnation) < EARLIER_VERSION_AFTER:
            return first_claim()
        return whole_claim(self.applied.limits)

    def _seen_for(self, incarnation: int) -> float:
        """Return for how many seconds another process has been seen."""
        now = self.gateway.now()
        return now - self.first_seen_at.get(incarnation, now)

    def _keep_without_folder(self) -> None:
        """Keep this process's part while the folder fails, until any other process must have ended."""
        now = self.gateway.now()
        if self.failing_since is None:
            self.failing_since = now
            count("limits_not_shared")
        elif now - self.failing_since >= PREDECESSOR_TIME:
            self.others = OtherProcesses()
        self.applied.adapt(self.others)

    def _log(self) -> None:
        """Log this process's part when it has changed, but not each step of it."""
        now, allowance = self.gateway.now(), self.applied.allowance
        running, logged_allowance = self.logged
        is_due = running != self.running or now - self.logged_at >= LOG_INTERVAL
        if not is_due or (running, logged_allowance) == (self.running, allowance):
            return
        self.logged, self.logged_at = (self.running, allowance), now
        logs.event(
            "limits",
            life=self.files.incarnation,
            others=",".join(map(str, self.running)),
            memory_budget=allowance.budget,
            connections=allowance.connections,
            anonymous=process_memory.measure().anonymous,
        )


def share_without_folder(reactor: Any, gateway: Any) -> None:
    """Use less until a predecessor must have ended, since without the folder nothing tells of one.

    That is the least of memory, with which short requests are served, and half of the descriptors: with the
    least of those a first process could serve next to nobody.
    """
    count("limits_not_shared")
    log_small_limits(gateway.config.memory, gateway.config.sockets)
    applied = AppliedLimits(gateway)
    _adapt_to_unknown(reactor, applied, gateway.now() + PREDECESSOR_TIME)


def _adapt_to_unknown(reactor: Any, applied: AppliedLimits, until: float) -> None:
    """Adapt to a predecessor that uses as much as it may, until that time on the gateway's clock."""
    if applied.gateway.now() >= until:
        applied.adapt(OtherProcesses())
        return
    reactor.callLater(CHECK_INTERVAL, _adapt_to_unknown, reactor, applied, until)
    unknown = OtherProcesses(older=[whole_claim(applied.limits)])
    least = applied.allow(unknown)
    half = applied.limits.descriptors // 2 - RESERVED
    applied.apply(dataclasses.replace(least, connections=max(half, least.connections)), unknown)


def log_small_limits(memory: int, descriptors: int) -> None:
    """Log if the limits are too small for two processes."""
    if memory < MIN_MEMORY_FOR_UPGRADE or descriptors < MIN_DESCRIPTORS_FOR_UPGRADE:
        logs.event(
            "limits_too_small_for_upgrade",
            memory=memory,
            memory_needed=MIN_MEMORY_FOR_UPGRADE,
            sockets=descriptors,
            sockets_needed=MIN_DESCRIPTORS_FOR_UPGRADE,
        )
