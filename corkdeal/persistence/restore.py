"""Hands an earlier life's records back to the decisions, aged to the moment at which each is asked for.

Pure: the document, its age and the module's clock are passed in. A record is given once. What no longer fits
the settings or the list is dropped, and `counts` says how often and why.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from ..decisions.events import Endpoint
from ..decisions.peer_messages import SHARE_STEPS
from ..decisions.persisted_state import AccountMemory, FleetMemory, ServerMemory, WorkMemory
from ..decisions.settings import Plan, Settings
from . import expiry
from .document import Document, entry, pack_account, read_account
from .expiry import towards

ROUND_LEAP = 1 << 17  # rounds; more than any gateway counts in ageing.LEDGERS_HORIZON, so none comes twice
ROUND_MOST = 1 << 31  # past that a new incarnation begins, long before 32 bits of rounds are used up
PACE, RETRIES = 0.5, 10.0  # what the decisions begin with where nothing is known
SAME_START = 0.0015  # s; starts are told in whole milliseconds


class Recall:
    """A `memory.Memory` made of one document."""

    exact = False

    def __init__(
        self,
        document: Document,
        age: float,
        now: float,
        settings: Settings,
        address_of: Callable[[str], str],
        counts: Counter[str],
    ) -> None:
        """`age` is the document's in s, `now` the module's clock; `address_of` tells where a server is."""
        self.document, self.head, self.age, self.loaded_at, self.settings = (
            document,
            document.head,
            age,
            now,
            settings,
        )
        self.counts, self.address_of = counts, address_of
        self.classes = {c.name for c in settings.classes}
        self.plans = {p.name for p in settings.plans}
        self.servers = {s.server: s for s in self.head.servers}
        self.raw = document.raw_accounts() if age < expiry.ACCOUNT_HORIZON else {}
        if not self.raw and document.accounts:
            self.counts["knowledge_account_too_old"] += sum(map(len, document.accounts))

    def age_of(self, stamp: float, now: float) -> float:
        """Seconds since a stamp of the document's boot clock."""
        return max(0.0, self.age + self.head.clock.boot - stamp + max(0.0, now - self.loaded_at))

    @property
    def useless(self) -> bool:
        """Whether nothing in it counts any more."""
        return not self.age < expiry.WORK.horizon

    def resumes(self) -> bool:
        """Ledgers go on if peers may still hold their side, and if it is this gateway's place in the same
        tier.
        """
        f, s = self.head.fleet, self.settings
        return (
            self.age < expiry.LEDGERS_HORIZON
            and f.born > 0
            and f.round < ROUND_MOST
            and (f.me, f.gateways) == (s.gateway_index, s.gateway_count)
        )

    def fleet(self, now: float, first_work: dict[str, float]) -> FleetMemory:
        """The fleet's record, each figure as far as it still counts."""
        f, age = self.head.fleet, self.age_of(self.head.clock.boot, now)
        work, lasting = [], expiry.WORK.weight(age)
        for w in f.work:
            weight = expiry.WORK.weight(self.age_of(w.at, now))
            if w.cls not in first_work:
                self.counts["knowledge_class_unknown"] += 1
            elif weight and w.seconds > 0:
                work.append(WorkMemory(w.cls, w.size, towards(w.seconds, first_work[w.cls], weight)))
        return f._replace(
            pace=towards(f.pace, PACE, lasting),
            slow=towards(f.slow, 1.0, expiry.FLEET.weight(age)),
            retries=towards(min(f.retries, RETRIES), RETRIES, expiry.RETRIES.weight(age)),
            work=tuple(work),
            round=f.round + ROUND_LEAP,
        )

    def server(self, entry: Endpoint, now: float) -> ServerMemory | None:
        """The record of the process that this entry names; none for another process under the same id.

        A list may be older than the record: one that names an earlier start leaves the record where it is.
        """
        name = str(entry.backend)
        m = self.servers.get(name)
        if m is None:
            return None
        if entry.started < m.started - SAME_START:
            return None
        del self.servers[name]
        if entry.started > m.started + SAME_START:
            self.counts["knowledge_server_restarted"] += 1
            return None
        at = self.address_of(name)
        if m.address and at and at != m.address:
            self.counts["knowledge_server_moved"] += 1
            return None
        known = tuple(s for s in m.shut if s.cls in self.classes)
        if len(known) < len(m.shut):
            self.counts["knowledge_class_unknown"] += len(m.shut) - len(known)
        aged = expiry.aged_server(m._replace(shut=known), self.age_of(m.at, now))
        self.counts["knowledge_server_used" if aged else "knowledge_server_too_old"] += 1
        return aged

    def account(self, customer: int, plan: Plan, first: int, spread: int, now: float) -> AccountMemory | None:
        """The customer's account in the module's clock, its refill still to come.

        Another plan or another set of gateways makes it another account.
        """
        raw = self.raw.pop(customer, None)
        if raw is None:
            return None
        try:
            m = read_account(raw)
        except ValueError:
            self.counts["knowledge_account_malformed"] += 1
            return None
        if m.plan != plan.name:
            self.counts["knowledge_plan_changed" if m.plan in self.plans else "knowledge_plan_unknown"] += 1
            return None
        if (m.first, m.spread) != (first, spread):
            self.counts["knowledge_account_moved"] += 1
            return None
        age = self.age_of(m.at, now)
        if age >= expiry.ACCOUNT_HORIZON:
            self.counts["knowledge_account_too_old"] += 1
            return None
        self.counts["knowledge_account_used"] += 1
        shift, level = now - age - m.at, m.level
        if not self.head.clean:
            traded = 1 / m.spread + sum(p.slice for p in m.pairs) / SHARE_STEPS
            share = 1.0 if m.edges else min(1.0, max(0.0, traded))
            level -= expiry.spent_unseen(m, plan.rate, share, self.head.clock.boot - m.at, self.head.every)
        return m._replace(
            at=m.at + shift,
            asked_at=min(now, m.asked_at + shift),
            level=min(level, plan.burst),
            demand=max(0.0, m.demand),
            pairs=tuple(p._replace(told_at=p.told_at + shift) for p in m.pairs),
        )

    def accounts(self, now: float) -> Iterator[tuple[int, int, AccountMemory]]:
        """All accounts that still count, each with its customer and its plan's number."""
        numbers = {p.name: i for i, p in enumerate(self.settings.plans)}
        for customer, raw in list(self.raw.items()):
            try:
                m = read_account(raw)
            except ValueError:
                self.counts["knowledge_account_malformed"] += 1
                continue
            plan = numbers.get(m.plan, 0)
            made = self.account(customer, self.settings.plans[plan], m.first, m.spread, now)
            if made is not None:
                yield customer, plan, made

    def unlisted(self, now: float, boot: float) -> list[ServerMemory]:
        """Records of servers that no list has named yet, in this boot's seconds; none when too old."""
        if self.servers and self.age_of(self.head.clock.boot, now) >= expiry.SLOWNESS.horizon:
            self.counts["knowledge_server_gone"] += len(self.servers)
            self.servers.clear()
        return [m._replace(at=boot - self.age_of(m.at, now)) for m in self.servers.values()]

    def unclaimed(self, now: float, same_boot: bool, boot: float) -> dict[int, bytes]:
        """Accounts that nobody asked for, as entries of the next document: a second restart must not lose
        them.

        Their stamps hold on within one boot; after another boot they are made anew, in this boot's seconds.
        """
        if now - self.loaded_at + self.age >= expiry.ACCOUNT_HORIZON:
            self.raw.clear()
        made: dict[int, bytes] = {}
        for customer, raw in self.raw.items():
            record: Any = raw
            if not same_boot:
                try:
                    m = read_account(raw)
                except ValueError:
                    self.counts["knowledge_account_malformed"] += 1
                    continue
                at = boot - self.age_of(m.at, now)
                record = pack_account(m._replace(at=at, asked_at=at, pairs=(), edges=()))
            made[customer] = entry(customer, record)
        return made
