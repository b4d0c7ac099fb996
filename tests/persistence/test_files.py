"""Unit tests of `files`: the operations on one folder."""

import os

import pytest

from corkdeal.persistence.errors import FolderLockedError, UnsafeFileError
from corkdeal.persistence.files import CHUNK_SIZE, StateFolder


@pytest.fixture
def folder(tmp_path):
    opened = StateFolder(str(tmp_path / "state"))
    yield opened
    opened.close()


def write(folder, name, parts):
    file = folder.create(name)
    folder.write(file, parts)
    folder.sync(file)
    folder.close_file(file)


def test_a_missing_folder_is_created_for_this_user_alone_unless_told_not_to(tmp_path):
    StateFolder(str(tmp_path / "state")).close()
    assert (tmp_path / "state").stat().st_mode & 0o777 == 0o700
    with pytest.raises(FileNotFoundError):
        StateFolder(str(tmp_path / "other"), create_missing=False)


def test_a_file_larger_than_one_chunk_is_written_whole_and_read_back(folder):
    data = os.urandom(CHUNK_SIZE + 7)
    write(folder, "a", [data[:5], b"", data[5:]])
    assert folder.read("a", len(data)) == data
    with pytest.raises(UnsafeFileError, match="over the size limit"):
        folder.read("a", len(data) - 1)


def test_a_file_is_never_created_over_another_and_a_rename_replaces_one(folder):
    write(folder, "a", [b"old"])
    write(folder, "b", [b"new"])
    with pytest.raises(FileExistsError):
        folder.create("a")
    folder.rename("b", "a")
    folder.sync_folder()
    assert folder.list_names() == ["a"] and folder.read("a", 10) == b"new"
    folder.unlink("a")
    assert folder.list_names() == []


def test_a_lock_holds_until_its_descriptor_is_closed(folder):
    lock = folder.lock("lock")
    with pytest.raises(FolderLockedError, match="locked by another process"):
        folder.lock("lock")
    os.close(lock)
    os.close(folder.lock("lock"))


def test_a_folder_that_was_moved_is_not_current_and_closing_twice_is_harmless(folder, tmp_path):
    assert folder.is_current()
    os.rename(folder.path, tmp_path / "away")
    assert not folder.is_current()
    folder.close()
    folder.close()
