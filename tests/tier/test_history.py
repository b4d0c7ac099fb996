"""The checks of a tier's history: each rule, followed and violated."""

import pytest

from corkdeal.standin.history import BackendAttempt, ClientAttempt, Downtime, History, Quota, SentList, check

QUOTAS = {7: Quota(rate=1.0, burst=3.0, bound=0.0)}


def history(client_attempts=(), attempts=(), sent_lists=(), downtimes=()):
    result = History()
    result.client_attempts = {t.id: t for t in client_attempts}
    result.attempts, result.downtimes = list(attempts), list(downtimes)
    for gateway, *rest in sent_lists:
        result.sent_lists[gateway].append(SentList(*rest))
    return result


def client_attempt(*answers):
    return ClientAttempt(1, 7, 0, 1.0, 1.0, 3.0, [(at, "$") for at in answers])


def burst(count, gap):
    return [BackendAttempt(10 + n * gap, "s", 0, n, 7) for n in range(count)]


LISTS = [(0, 0.0, frozenset("ab")), (0, 5.0, frozenset("b"))]


@pytest.mark.parametrize(
    ("seen", "rule"),
    [
        (history([client_attempt(2.0)]), None),
        (history([client_attempt(2.0, 2.1)]), "one final answer"),
        (history([client_attempt()]), "one final answer"),
        (history([client_attempt()], downtimes=[Downtime(0, 2.0, 9.0)]), None),
        (history([client_attempt()], downtimes=[Downtime(1, 2.0, 9.0)]), "one final answer"),
        (history(attempts=[BackendAttempt(1.0, "a", 0, 1, 7)]), None),
        (history(attempts=[BackendAttempt(1.0, "a", 0, 1, 7, "b")]), "never two attempts at once"),
        (history(attempts=[BackendAttempt(5.2, "a", 0, 1, 7)], sent_lists=LISTS), None),
        (
            history(attempts=[BackendAttempt(5.3, "a", 0, 1, 7)], sent_lists=LISTS),
            "nothing new to a server told away",
        ),
        (history(attempts=[BackendAttempt(9.0, "b", 0, 1, 7)], sent_lists=LISTS), None),
        (
            history(attempts=[BackendAttempt(9.0, "c", 0, 1, 7)], sent_lists=LISTS),
            "nothing new to a server told away",
        ),
        (history(attempts=burst(3, 0.0)), None),
        (history(attempts=burst(20, 1.0)), None),
        (history(attempts=burst(4, 0.0)), "units within quota"),
        (history(attempts=burst(20, 0.8)), "units within quota"),
        (
            history(attempts=[a._replace(request=1) for a in burst(9, 0.1)]),
            None,
        ),  # one request with nine attempts
    ],
)
def test_a_broken_rule_is_found_and_a_kept_one_is_not(seen, rule):
    broken = check(seen, QUOTAS, 60.0, 0.0)
    assert [b.rule for b in broken] == ([rule] if rule else []) and all(b.lines for b in broken)
