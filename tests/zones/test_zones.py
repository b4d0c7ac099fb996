"""Zones: look-up of addresses, tiers, and the detection of a lost zone."""

import ipaddress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkdeal.experiment.zone_outage import CONDITIONS, ZONES, OutageSimulation
from corkdeal.zones import tiers
from corkdeal.zones.nets import ZoneLookup, ZoneNetwork
from corkdeal.zones.tiers import Zone, ZoneDistances


@pytest.mark.parametrize(
    ("address", "zone"),
    [
        ("10.1.2.3", "north"),
        ("10.1.9.1", "east"),
        ("10.2.0.1", None),
        ("2001:db8:1::7", "north"),
        ("2001:db8:2::7", "south"),
        ("::1", None),
        ("nowhere", None),
        ("", None),
    ],
)
def test_the_longest_prefix_counts(address, zone):
    nets = ZoneLookup(
        [
            ZoneNetwork("10.1.0.0/16", "north"),
            ZoneNetwork("10.1.9.0/24", "east"),
            ZoneNetwork("2001:db8::/32", "south"),
            ZoneNetwork("2001:db8:1::/48", "north"),
        ]
    )
    assert nets.invalid == [] and nets.zone_of(address) == zone


class Position:
    def __init__(self, line):
        self.line = line

    def position(self):
        return self.line, 2


@pytest.mark.parametrize(
    ("nets", "reason"),
    [
        (["10.0.0.0/33"], "not a network in CIDR notation"),
        (["10.0.0.1"], "not a network"),
        (["10/8"], "not a network"),
        (["x/8"], "not a network"),
        (["10.0.0.1/24"], "10.0.0.0/24 is the network"),
        (["2001:db8::1/32"], "host bits set"),
        (["10.0.0.0/8", "10.0.0.0/8"], "is given twice; first for zone north at line 1, column 2"),
        (["10.0.0.0/8", "10.1.0.0/16"], "overlaps 10.0.0.0/8 of the same zone at line 1, column 2"),
    ],
)
def test_an_invalid_network_is_reported_with_its_position(nets, reason):
    lookup = ZoneLookup([ZoneNetwork(text, "north", Position(i + 1)) for i, text in enumerate(nets)])
    assert reason in lookup.invalid[0].reason and lookup.invalid[0].net.place.position() == (len(nets), 2)


def test_a_network_of_another_zone_between_gives_the_inner_one_an_effect():
    lookup = ZoneLookup(
        [ZoneNetwork("10.0.0.0/8", "a"), ZoneNetwork("10.1.0.0/16", "b"), ZoneNetwork("10.1.1.0/24", "a")]
    )
    assert lookup.invalid == [] and lookup.zone_of("10.1.1.1") == "a" and lookup.zone_of("10.1.2.1") == "b"


NETS = st.dictionaries(
    st.builds(
        lambda n, size: ipaddress.ip_network((n >> (32 - size) << (32 - size), size)),
        st.integers(0, 2**32 - 1),
        st.integers(1, 32),
    ),
    st.sampled_from("abc"),
    max_size=12,
)


@given(NETS, st.lists(st.integers(0, 2**32 - 1), max_size=20))
def test_look_ups_agree_with_a_walk_over_all_nets(nets, addresses):
    lookup = ZoneLookup([ZoneNetwork(str(net), hall) for net, hall in nets.items()])
    for number in [*addresses, *(int(n.network_address) for n in nets)]:
        address = ipaddress.ip_address(number)
        holding = [n for n in nets if address in n]
        best = nets[max(holding, key=lambda n: n.prefixlen)] if holding else None
        assert lookup.zone_of(str(address)) == best


def test_tiers_are_ordered_by_distance_over_two_levels():
    zones = [Zone("n", "campus"), Zone("e", "campus"), Zone("s", "town"), Zone("w", "town")]
    assert ZoneDistances.build(zones).tiers("n") == (("n",), ("e",), ("s", "w"))
    assert ZoneDistances.build(zones, {("w", "n"): 0.5}).tiers("n") == (("n",), ("w",), ("e",), ("s",))
    assert ZoneDistances.build([Zone("n"), Zone("e"), Zone("s")]).tiers("e") == (("e",), ("n", "s"))
    assert ZoneDistances.build(zones).distance("n", "elsewhere") == tiers.OTHER_REGION
    for invalid in (
        {("n", "x"): 1.0},
        {("n", "n"): 1.0},
        {("n", "e"): 0.0},
        {("n", "e"): 1.0, ("e", "n"): 2.0},
    ):
        with pytest.raises(ValueError):
            ZoneDistances.build(zones, invalid)


NORTH, EAST, SOUTH = ZONES


@pytest.mark.parametrize("seed", range(5))
def test_a_cut_is_declared_once_and_soon(seed):
    simulation = OutageSimulation(seed)
    simulation.run(10)
    assert simulation.declared_outages == []
    simulation.zones_down = {EAST}
    simulation.run(15)
    assert [h for _, h in simulation.declared_outages] == [
        EAST
    ] == simulation.detector.lost_zones() and simulation.declared_outages[0][0] < 11.5
    simulation.zones_down = set()
    simulation.detector.mark_reachable(EAST)
    simulation.run(25)
    assert len(simulation.declared_outages) == 1


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("kind", CONDITIONS)
def test_other_faults_are_not_declared_a_cut(seed, kind):
    simulation = OutageSimulation(seed)
    simulation.run(10)
    simulation.start_condition(kind)
    simulation.run(40)
    assert simulation.declared_outages == []


def test_two_of_three_zones_can_be_lost_but_none_is_without_any_reply():
    simulation = OutageSimulation(1)
    simulation.run(10)
    simulation.zones_down = {NORTH, EAST}
    simulation.run(14)
    assert simulation.detector.lost_zones() == [EAST, NORTH]
    isolated = OutageSimulation(2)
    isolated.run(10)
    isolated.zones_down = set(ZONES)  # the gateway itself is cut off
    isolated.run(20)
    assert isolated.detector.lost_zones() == []
