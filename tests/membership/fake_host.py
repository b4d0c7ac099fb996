"""A fake host of membership: plain records, a settable time, and a record of the calls made to it."""

import random

from corkdeal.decisions.accounts import Account, PeerLedger
from tests.helpers import PLAN, settings

CUSTOMER = 7


class FakeHost:
    """Gateway 1 of a ring of three: gateway 0 is its predecessor, gateway 2 its successor."""

    def __init__(self, gateway_index=1, gateway_count=3):
        self.settings = settings(gateway_index, gateway_count)
        self.random = random.Random(1)
        self.now = 100.0
        self.incarnation = 77
        self.peer_incarnations = {0: 10, 2: 12}
        self.ring_neighbours = {0, 2}
        self.account = Account(
            plan=PLAN,
            plan_index=0,
            first_gateway=0,
            member_count=3,
            refilled_at=0.0,
            last_request_at=0.0,
            ledgers={0: PeerLedger(), 2: PeerLedger()},
            is_member=True,
            predecessor=0,
            second_predecessor=2,
        )
        self.accounts = {CUSTOMER: self.account}
        self.active_accounts = dict(self.accounts)
        self.actions = []
        self.refill_times = []
        self.silent_peers = set()

    def is_silent(self, peer):
        return peer in self.silent_peers

    def refill(self, account):
        self.refill_times.append(self.now)
        return 1.0
