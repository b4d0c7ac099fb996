"""Unit tests of `expiry`: the weights of records by their age."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkdeal.persistence import expiry

from . import samples
from .strategies import AGES, BACKENDS

RULES = [
    expiry.BACKEND_LATENCY_RATIO,
    expiry.BACKEND_FAILURES,
    expiry.USUAL_LATENCY,
    expiry.FLEET_LATENCY_RATIO,
    expiry.RETRY_BUDGET,
]


@given(st.sampled_from(RULES), AGES, AGES)
def test_weights_never_grow_and_end_at_the_horizon(rule, one, other):
    young, old = sorted((one, other))
    assert 1 >= rule.weight(young) >= rule.weight(old) >= 0
    assert rule.weight(rule.horizon) == 0 == rule.weight(math.inf) == rule.weight(math.nan)
    assert rule.weight(rule.half_life) == pytest.approx(0.5)


@given(BACKENDS, AGES, AGES)
def test_an_aged_server_lies_between_its_record_and_an_unknown_one(record, one, other):
    young, old = (expiry.expire_backend(record, a) for a in sorted((one, other)))
    for expired in (young, old):
        if expired is not None:
            assert min(record.latency_ratio, 1) <= expired.latency_ratio <= max(record.latency_ratio, 1)
            assert 0 <= expired.failures <= record.failures and expired.ejection_time <= record.ejection_time
            assert expired.is_ejected <= record.is_ejected and all(
                s.remaining <= t.remaining
                for s, t in zip(expired.rejections, record.rejections, strict=False)
            )
    if young is None:
        assert old is None
    elif old is not None:
        assert abs(old.latency_ratio - 1) <= abs(young.latency_ratio - 1) and old.failures <= young.failures


@given(
    st.floats(0, 50), st.floats(0, 20), st.floats(0, 20), st.floats(0, 1), st.floats(0, 100), st.floats(0, 5)
)
def test_unrecorded_spending_makes_no_debt(level, demand, rate, share, idle_time, unrecorded_time):
    record = samples.ACCOUNT._replace(level=level, demand=demand)
    spent = expiry.unrecorded_spending(record, rate, share, idle_time, unrecorded_time)
    assert (
        0 <= spent <= level + rate * share * unrecorded_time + 1e-9
        and spent <= demand * unrecorded_time + 1e-9
    )
