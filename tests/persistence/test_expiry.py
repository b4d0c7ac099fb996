"""Unit tests of `expiry`: the weights of records by their age."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkdeal.persistence import expiry

from . import samples
from .strategies import AGES, SERVERS

KINDS = [
    expiry.SERVER_SLOWNESS,
    expiry.SERVER_FAILURES,
    expiry.USUAL_LATENCY,
    expiry.FLEET_SLOWNESS,
    expiry.RETRY_BUDGET,
]


@given(st.sampled_from(KINDS), AGES, AGES)
def test_weights_never_grow_and_end_at_the_horizon(kind, one, other):
    young, old = sorted((one, other))
    assert 1 >= kind.weight(young) >= kind.weight(old) >= 0
    assert kind.weight(kind.horizon) == 0 == kind.weight(math.inf) == kind.weight(math.nan)
    assert kind.weight(kind.half_life) == pytest.approx(0.5)


@given(SERVERS, AGES, AGES)
def test_an_aged_server_lies_between_its_record_and_an_unknown_one(m, one, other):
    young, old = (expiry.expire_server(m, a) for a in sorted((one, other)))
    for made in (young, old):
        if made is not None:
            assert min(m.slowness, 1) <= made.slowness <= max(m.slowness, 1)
            assert 0 <= made.failures <= m.failures and made.ejection_time <= m.ejection_time
            assert made.is_ejected <= m.is_ejected and all(
                s.remaining <= t.remaining for s, t in zip(made.rejections, m.rejections, strict=False)
            )
    if young is None:
        assert old is None
    elif old is not None:
        assert abs(old.slowness - 1) <= abs(young.slowness - 1) and old.failures <= young.failures


@given(
    st.floats(0, 50), st.floats(0, 20), st.floats(0, 20), st.floats(0, 1), st.floats(0, 100), st.floats(0, 5)
)
def test_what_may_have_been_spent_unseen_makes_no_debt(level, demand, rate, share, quiet, unseen):
    m = samples.ACCOUNT._replace(level=level, demand=demand)
    spent = expiry.unrecorded_spending(m, rate, share, quiet, unseen)
    assert 0 <= spent <= level + rate * share * unseen + 1e-9 and spent <= demand * unseen + 1e-9
