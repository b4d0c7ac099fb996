"""The options file: valid contents, and the position and text of each fault."""

import pathlib

import pytest

from corkdeal import options

ROOT = pathlib.Path(__file__).parents[1]


def test_the_example_is_good_and_nothing_is_on_without_a_file():
    parsed = options.load(str(ROOT / "deploy" / "corkdeal.kdl"))
    assert (
        parsed.log.format == "json"
        and parsed.knowledge.path == "/var/lib/corkdeal"
        and parsed.knowledge.every == 1.0
    )
    assert options.parse("") == options.Options() and options.parse("// nothing").knowledge is None


def test_settings_are_properties_or_children_and_have_defaults():
    one = options.parse('knowledge path="/x" every=2 { generations 3; }')
    other = options.parse('knowledge {\n  path "/x"\n  every 2.0\n  generations 3\n  /-read-wait 99\n}')
    assert one == other and one.knowledge.read_wait == 0.5 and type(one.knowledge.every) is float


@pytest.mark.parametrize(
    ("text", "line", "column", "node", "message"),
    [
        ('log {\n  format "xml"\n}', 2, 10, "log.format", "must be one of text, json"),
        ("\n  bogus 1", 2, 3, "bogus", "unknown node; known are figures, halls, knowledge, log"),
        ("log colour=true", 1, 12, "log.colour", "unknown setting"),
        ('log level="info" level=3', 1, 24, "log.level", "must be a string"),
        ('log "json"', 1, 5, "log", "takes settings by name only"),
        ("log\nlog", 2, 1, "log", "second time"),
        ('log format="json" {\n format "text"\n}', 2, 2, "log.format", "second time"),
        ('log {\n format "json" "text"\n}', 2, 2, "log.format", "exactly one value"),
        ("knowledge", 1, 1, "knowledge.path", "must be given"),
        ('knowledge path="here"', 1, 16, "knowledge.path", "absolute"),
        ('knowledge path="/x" every=0.05', 1, 27, "knowledge.every", "between 0.1 and 60"),
        ('knowledge path="/x" every=true', 1, 27, "knowledge.every", "a number, not True"),
        ('knowledge path="/x" generations=2.5', 1, 33, "knowledge.generations", "an integer"),
        ('knowledge path="/x" read_wait=1', 1, 31, "knowledge.read_wait", "unknown setting"),
        ('knowledge path="/x" {', 1, 21, "", "Hit EOF"),
        ("log format=", 1, 12, "", "Expected value"),
        ("a {\n" * 3000, 0, 0, "", "too deeply"),
    ],
)
def test_a_fault_is_reported_with_its_position(text, line, column, node, message):
    with pytest.raises(options.OptionsError) as raised:
        options.parse(text)
    fault = raised.value.faults[0]
    assert (fault.line, fault.column, fault.node) == (line, column, node) and message in fault.text


ZONES = """halls {
    hall "north" region="campus" { net "10.1.0.0/16"; net "2001:db8::/32"; }
    hall "east" region="campus" weight=2 { net "10.2.0.0/16"; }
    hall "south" region="town"
    distance "north" "south" 1.5
}"""


def test_zones_have_networks_regions_and_distances():
    parsed = options.parse(ZONES).halls
    assert [(h.name, h.region, h.weight, [n.cidr for n in h.nets]) for h in parsed.halls] == [
        ("north", "campus", 1.0, ["10.1.0.0/16", "2001:db8::/32"]),
        ("east", "campus", 2.0, ["10.2.0.0/16"]),
        ("south", "town", 1.0, []),
    ]
    assert [(d.one, d.other, d.value) for d in parsed.distances] == [("north", "south", 1.5)]


@pytest.mark.parametrize(
    ("old", "new", "line", "column", "node", "message"),
    [
        (
            "10.2.0.0/16",
            "10.1.0.0/16",
            3,
            44,
            "halls.hall.net",
            "twice; first for zone north at line 2, column 36",
        ),
        ("2001:db8::/32", "10.1.2.0/24", 2, 55, "halls.hall.net", "overlaps 10.1.0.0/16 of the same zone"),
        ("10.2.0.0/16", "10.2.0.1/16", 3, 44, "halls.hall.net", "10.2.0.0/16 is the network"),
        ('hall "south"', 'hall "east"', 4, 5, "halls.hall", "second time"),
        ('"north" "south" 1.5', '"north" "west" 1.5', 5, 5, "halls.distance", "unknown zone 'west'"),
        ("1.5", "1.5 2", 5, 34, "halls.distance", "takes 3 values"),
        ("weight=2", "weight=0", 3, 40, "halls.hall.weight", "between 0.01 and 100"),
        ('net "10.2.0.0/16"', "net 3", 3, 48, "halls.hall.net", "must be a string"),
        ('"south" 1.5', '"south"', 5, 5, "halls.distance.value", "must be given"),
        ('distance "north"', 'near "north"', 5, 5, "halls.near", "known are distance, hall"),
    ],
)
def test_a_fault_of_zones_is_reported_with_its_position(old, new, line, column, node, message):
    assert old in ZONES
    with pytest.raises(options.OptionsError) as raised:
        options.parse(ZONES.replace(old, new))
    fault = raised.value.faults[0]
    assert (fault.line, fault.column, fault.node) == (line, column, node) and message in fault.text


def test_all_faults_are_reported_at_once_in_order():
    with pytest.raises(options.OptionsError) as raised:
        options.parse("x\nlog level=1\nknowledge {\n every 99\n}")
    assert [f.line for f in raised.value.faults] == [1, 2, 3, 4]


@pytest.mark.parametrize(
    ("data", "message"),
    [(b'log level="\xff"', "line 1, column 12: invalid UTF-8"), (b"//" + b"x" * (1 << 20), "larger than")],
)
def test_a_file_that_is_not_text_is_rejected(tmp_path, data, message):
    path = tmp_path / "o.kdl"
    path.write_bytes(data)
    with pytest.raises(options.OptionsError, match=message):
        options.load(str(path))
    with pytest.raises(options.OptionsError, match="not a regular file"):
        options.load(str(tmp_path))
    with pytest.raises(options.OptionsError, match="No such file"):
        options.load(str(tmp_path / "none"))
