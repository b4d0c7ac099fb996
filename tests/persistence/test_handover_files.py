"""Unit tests of `handover_files`: numbering, locks and snapshots in the shared folder."""

import pytest

from corkdeal.persistence.errors import DamagedSnapshotError
from corkdeal.persistence.handover_files import HandoverFiles, HandoverPart

from . import samples


@pytest.fixture
def joined(tmp_path):
    """Returns a function that makes a `HandoverFiles` that has joined; all are closed at the end."""
    opened = []

    def join():
        files = HandoverFiles(str(tmp_path))
        files.join()
        opened.append(files)
        return files

    yield join
    for files in opened:
        files.close()


def names(tmp_path):
    return sorted(path.name for path in tmp_path.iterdir())


def test_processes_are_numbered_in_turn_and_see_their_running_neighbours(joined):
    first, second, third = joined(), joined(), joined()
    assert [f.incarnation for f in (first, second, third)] == [1, 2, 3]
    assert (first.predecessor(), second.predecessor(), third.predecessor()) == (None, 1, 2)
    assert (first.successor(), second.successor(), third.successor()) == (2, 3, None)
    second.close()
    second.close()
    assert (first.successor(), third.predecessor()) == (3, 1)
    assert first.is_running(1) and not first.is_running(2)


def test_files_have_the_names_that_earlier_versions_gave_them(joined, tmp_path):
    first, second = joined(), joined()
    first.write(second.incarnation, HandoverPart.PARTIAL, samples.parts)
    first.write(second.incarnation, HandoverPart.FINAL, samples.parts)
    assert names(tmp_path) == [
        "0000000000000001-2.first",
        "0000000000000001-2.rest",
        "0000000000000001.life",
        "0000000000000002.life",
    ]
    assert second.read(1, HandoverPart.PARTIAL).head == samples.HEAD


def test_a_snapshot_under_anothers_name_is_not_taken(joined):
    first, second = joined(), joined()
    first.write(second.incarnation, HandoverPart.PARTIAL, lambda number: samples.parts(number + 5))
    with pytest.raises(DamagedSnapshotError, match="byte 16: from incarnation 6, not 1"):
        second.read(first.incarnation, HandoverPart.PARTIAL)


def test_a_write_that_fails_leaves_no_snapshot_and_the_next_one_succeeds(joined):
    first, second = joined(), joined()
    with pytest.raises(ZeroDivisionError):
        first.write(second.incarnation, HandoverPart.FINAL, lambda number: 1 / 0)
    assert second.read(first.incarnation, HandoverPart.FINAL) is None
    first.write(second.incarnation, HandoverPart.FINAL, samples.parts)
    assert second.read(first.incarnation, HandoverPart.FINAL) is not None


def test_a_start_removes_what_ended_processes_left(joined, tmp_path):
    first, second = joined(), joined()
    first.write(second.incarnation, HandoverPart.PARTIAL, samples.parts)
    (tmp_path / "another file").write_bytes(b"")
    first.close()
    second.close()
    assert joined().incarnation == 3
    assert names(tmp_path) == ["0000000000000003.life", "another file"]
