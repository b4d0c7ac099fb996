"""An upgrade: this process takes over from the one before it, and later hands on to the next.

Made only where the clients' listening socket is handed down, which is how the platform starts a new version
beside the old one. Both share the temporary folder and nothing else. `docs/upgrade.md` says who spends what
at which moment; `persistence/quota_handover.py` divides the quotas, `persistence/handover_files.py` keeps the
files.
"""

from __future__ import annotations

import os
import tempfile
from collections.abc import Callable, Iterator
from typing import Any

from .. import __version__, logs
from ..persistence import clock, quota_handover
from ..persistence.capture import Collector
from ..persistence.document import Document, encode
from ..persistence.handover_files import FIRST, REST, Lives
from ..persistence.restore import Recall
from ..persistence.store import folder_of
from .invariants import count, counts

ASK_EVERY, ASK_MOST = 0.02, 1.0  # s between looks for what the old life gives, and until it starts without
LOOK_EVERY = 0.1  # s between looks for another life's start or end


class Succession:
    """This life's place between the one before and the one after it."""

    def __init__(self, reactor: Any, gateway: Any) -> None:
        self.reactor, self.gateway, self.decisions = reactor, gateway, gateway.decisions
        folder = os.path.join(tempfile.gettempdir(), "corkdeal-lives")
        self.lives = Lives(folder_of(folder, gateway.config.name))
        self.before: int | None = None  # the life that still holds a part of the quota
        self.given: quota_handover.Given | None = None  # what it gave at first
        self.kept_there = 0.0  # its part
        self.after: int | None = None  # the life that holds a part that came from here
        self.part_there = 0.0
        self.taking: Iterator[None] | None = None  # its rest, while that comes over
        self.done = False  # all was handed on
        self.asked = 0

    @property
    def waits(self) -> bool:
        """Whether the life before still has the ledgers, and is known to give them."""
        return self.before is not None and self.given is not None

    # The new life

    def begin(self, start: Callable[[], None]) -> None:
        """Start, with what the life before gives where there is one."""
        self.before = self.lives.join()
        self.reactor.callLater(LOOK_EVERY, self.look)
        if self.before is None:
            return start()
        self.ask(start)

    def ask(self, start: Callable[[], None]) -> None:
        """Wait for its first document, but not for long: a process before this one may know nothing of it."""
        document = self.read(FIRST)
        self.asked += 1
        try:
            if document is None and not self.lives.lives(self.before):
                self.before = self.lives.predecessor()  # it ended meanwhile, and the one before it may live
        except OSError as error:  # the folder is gone: a start must not fail for that
            self.off(error)
        if self.before is None:
            return start()
        if document is None and self.asked * ASK_EVERY < ASK_MOST:
            return self.reactor.callLater(ASK_EVERY, self.ask, start)
        if document is None:
            count("handover_none")
            logs.event("handover_none", life=self.lives.me, before=self.before)
        else:
            whole = document.head.fleet.part
            self.kept_there = whole * (1 - quota_handover.NEW_PART)
            self.given = quota_handover.Given(self.recall(document), quota_handover.NEW_PART)
            self.decisions.remember(self.given)
            self.decisions.quota_fraction = whole * quota_handover.NEW_PART
            logs.event(
                "handover_begun",
                life=self.lives.me,
                before=self.before,
                accounts=sum(map(len, document.accounts)),
                part=round(self.decisions.quota_fraction, 3),
            )
        start()

    def follow(self) -> None:
        """The rest of what the life before holds, once it is given or that life has ended.

        Until then that life speaks with the peers, and what they don't say to this one says nothing.
        """
        self.decisions.quota_exchange.peer_last_heard = dict.fromkeys(
            self.decisions.ring_neighbours, self.gateway.now()
        )
        ended = not self.lives.lives(self.before)  # looked at first: it may write and end in between
        document, now = self.read(REST), self.gateway.now()
        if document is None and not ended:
            return
        if document is None:
            count("handover_cut_short")
            quota_handover.take_rate(self.decisions, now, self.kept_there)
        else:
            part = document.head.fleet.part
            self.taking = quota_handover.take_rest(
                self.decisions, self.gateway.now, self.given, self.recall(document), part
            )
            return self.take()
        self.taken(False)

    def take(self) -> None:
        """One step of taking the rest over; others' turns come in between."""
        for _ in self.taking or ():
            return self.reactor.callLater(0, self.take)
        self.taking = None
        self.taken(True)

    def taken(self, rest: bool) -> None:
        """All that the life before held is here, or lost."""
        logs.event(
            "handover_done",
            life=self.lives.me,
            before=self.before,
            rest=rest,
            part=round(self.decisions.quota_fraction, 3),
        )
        self.before = None
        self.gateway.hear()

    def read(self, what: str) -> Document | None:
        """A document for this life; one that can't be read counts as none, and is logged."""
        try:
            return self.lives.read(self.before, what)
        except (OSError, ValueError) as error:
            count("handover_unreadable")
            logs.event("handover_unreadable", what=what, before=self.before, error=str(error)[:200])
            return None

    def recall(self, document: Document) -> Recall:
        """Its records, aged to now."""
        age, _ = clock.age(document.head.clock, clock.read_clocks())
        return Recall(document, age, self.gateway.now(), self.gateway.settings, lambda name: "", counts)

    # The old life

    def look(self) -> None:
        """What became of the lives before and after this one."""
        if self.done:
            return
        self.reactor.callLater(LOOK_EVERY, self.look)
        try:
            self.look_at_lives()
        except OSError as error:
            self.off(error)

    def off(self, error: OSError) -> None:
        """The folder can't be used any more. The rate is taken: whole too early beats a part for ever."""
        count("handover_off")
        logs.event("handover_off", error=str(error)[:200])
        waits, self.done = self.waits and self.taking is None, True
        self.before = None if self.taking is None else self.before
        if waits:
            quota_handover.take_rate(self.decisions, self.gateway.now(), self.kept_there)
            self.gateway.hear()

    def look_at_lives(self) -> None:
        """Follow the one before, and give to the one after or take back from it."""
        if self.taking is not None:
            return  # what is handed on must be whole
        if self.waits and self.gateway.begun:
            self.follow()
        if self.after is not None and not self.lives.lives(self.after):
            logs.event("handover_taken_back", life=self.lives.me, after=self.after)
            quota_handover.take_rate(self.decisions, self.gateway.now(), self.part_there)
            self.after = None
        if self.after is None and (after := self.lives.successor()) is not None and self.gateway.begun:
            self.give(after)

    def give(self, after: int) -> None:
        """The next life has started: its part, and all that is known."""
        if self.write(after, FIRST):
            self.after, self.part_there = after, self.decisions.quota_fraction * quota_handover.NEW_PART
            quota_handover.keep(self.decisions, 1 - quota_handover.NEW_PART)
            logs.event("handover_given", life=self.lives.me, after=after, part=round(self.part_there, 3))

    def end(self) -> None:
        """This life takes no new clients any more: the rest goes to the next one, if it had its part."""
        if self.after is None or self.done or not self.lives.lives(self.after):
            return
        if self.write(self.after, REST):
            self.done = True
            quota_handover.keep_nothing(self.decisions)
            self.gateway.be_silent()
            logs.event("handover_rest", life=self.lives.me, after=self.after)

    def write(self, to: int, what: str) -> bool:
        """One document of all that is known, made in one turn, so that what is divided is what it says."""
        now = self.gateway.now()
        quota_handover.settle(self.decisions, now)
        touched = self.decisions.changed_customers  # a keeper of knowledge, if there is one, goes by it
        collector = Collector(self.decisions, self.gateway.config.name, __version__)
        try:
            for _ in collector.steps(self.gateway.now, clock.read_clocks, lambda: 0.0):
                pass
            head = collector.head(now, clock.read_clocks(), 0.0, True, {})
            pages = list(collector.pages())
            self.lives.write(to, what, lambda life: encode(life, head, pages))
        except (OSError, ValueError) as error:
            count("handover_not_written")
            logs.event("handover_not_written", what=what, after=to, error=str(error)[:200])
            return False
        finally:
            self.decisions.changed_customers = touched
        return True
