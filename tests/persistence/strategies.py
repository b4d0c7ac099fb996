"""Hypothesis strategies for records and snapshots."""

import msgspec
from hypothesis import strategies as st

from corkdeal.decisions.persisted_state import (
    StoredAccount,
    StoredBackend,
    StoredLatency,
    StoredLedger,
    StoredRejection,
)
from corkdeal.persistence.clock import ClockReading

from . import samples

AGES = st.floats(0, 2e5)
POSITIVE_FLOATS = st.floats(0.01, 100)
BACKENDS = st.builds(
    StoredBackend,
    st.sampled_from("abc"),
    st.sampled_from([0.0, 5.0, 9.0]),
    st.floats(0, 100),
    POSITIVE_FLOATS,
    st.integers(0, 30),
    st.booleans(),
    st.floats(0, 6),
    st.lists(
        st.builds(StoredRejection, st.sampled_from(["look", "pay"]), st.floats(0, 16), st.floats(0, 16)),
        max_size=2,
    ).map(tuple),
    st.sampled_from(["", "10.0.0.1:1"]),
)


ACCOUNTS = st.builds(
    StoredAccount,
    st.sampled_from(["small", "large"]),
    st.integers(0, 3),
    st.integers(1, 4),
    st.floats(0, 100),
    st.floats(0, 100),
    POSITIVE_FLOATS,
    POSITIVE_FLOATS,
    POSITIVE_FLOATS,
    st.integers(0, 9),
    st.just(0.0),
    st.just(0.0),
    st.lists(
        st.builds(
            StoredLedger,
            st.integers(0, 3),
            st.integers(-9, 9),
            POSITIVE_FLOATS,
            st.integers(0, 9),
            st.none() | POSITIVE_FLOATS,
            POSITIVE_FLOATS,
            POSITIVE_FLOATS,
            st.booleans(),
            st.integers(0, 2**32 - 1),
        ),
        max_size=2,
    ).map(tuple),
    st.just(()),
)
HEADS = st.builds(
    lambda boot_id, wall, boot, servers, latencies, is_clean: msgspec.structs.replace(
        samples.HEAD,
        clock=ClockReading(wall, boot, boot_id),
        servers=tuple({s.backend: s for s in servers}.values()),
        fleet=samples.FLEET._replace(
            usual_latencies=tuple({(w.request_class, w.size): w for w in latencies}.values())
        ),
        is_clean=is_clean,
    ),
    st.sampled_from("ab"),
    st.floats(1000, 2000),
    st.floats(100, 200),
    st.lists(BACKENDS, max_size=4),
    st.lists(
        st.builds(
            StoredLatency,
            st.sampled_from(["look", "pay"]),
            st.integers(1, 2),
            POSITIVE_FLOATS,
            st.floats(0, 100),
        )
    ),
    st.booleans(),
)
SNAPSHOTS = st.builds(
    samples.snapshot_of,
    HEADS,
    st.dictionaries(st.integers(0, 2**33 - 1) | st.integers(0, 3), ACCOUNTS, max_size=5),
)
