"""Tests of `store`: all states that a crash may leave, unexpected files in the folder, and disk errors."""

import errno
import os
import pathlib

import msgspec
import pytest

from corkdeal.persistence.errors import FolderLockedError, UnsafeFileError
from corkdeal.persistence.files import StateFolder
from corkdeal.persistence.store import SnapshotStore, gateway_folder, snapshot_name

from . import samples
from .crash_states import crash_states, recording_folder

OTHER_UID = 54321  # uid of another user


def numbered_parts(generation):
    """Return the parts of a snapshot that contains its generation, as the latency ratio of its backends."""
    servers = tuple(
        samples.BACKEND._replace(backend=f"s-{i}", latency_ratio=float(generation)) for i in range(40)
    )
    return samples.parts(generation, head=msgspec.structs.replace(samples.HEAD, servers=servers))


def generation_of(snapshot):
    (latency_ratio,) = {s.latency_ratio for s in snapshot.head.servers}
    return int(latency_ratio)


def test_no_crash_state_loads_a_damaged_file_or_loses_a_durable_generation(tmp_path):
    log = []
    store = SnapshotStore(str(tmp_path / "recorded"), folder_factory=recording_folder(log))
    for _ in range(4):
        log.append(("durable", store.write(numbered_parts)))
    store.close()
    states = list(crash_states(log))
    assert len(states) > 60
    newer = 0
    for number, (durable, state) in enumerate(states):
        folder = tmp_path / str(number)
        folder.mkdir(mode=0o700)
        for name, content in state:
            (folder / name).write_bytes(content)
        opened = SnapshotStore(str(folder))
        opened.open()
        loaded = opened.load()
        if loaded.snapshot is None:
            assert durable == 0, (number, [n for n, _ in state], loaded.rejected)
        else:  # the content of exactly one generation, under its own name
            found = generation_of(loaded.snapshot)
            assert found >= durable and loaded.file == snapshot_name(found)
            newer += found > durable
        after = opened.write(numbered_parts)  # whatever the crash left, the next write succeeds
        assert generation_of(opened.load().snapshot) == after > durable
        assert not [n for n in os.listdir(folder) if n.endswith(".tmp")]
        opened.close()
    assert newer  # some states have a generation that was not reported as durable yet


def test_without_the_sync_before_the_rename_the_same_states_do_lose_one(tmp_path):
    """Shows that the enumeration detects a fault: a store that leaves out one sync loses a generation."""
    log = []
    store = SnapshotStore(str(tmp_path / "recorded"), folder_factory=recording_folder(log))
    for _ in range(3):
        log.append(("durable", store.write(numbered_parts)))
    store.close()
    for omitted in ("sync", "sync_folder"):
        shortened = [entry for entry in log if entry[0] != omitted]
        assert any(
            durable
            and not any(
                (name == snapshot_name(durable) and content == b"".join(numbered_parts(durable)))
                or (name > snapshot_name(durable) and content == b"".join(numbered_parts(int(name[:16]))))
                for name, content in state
            )
            for durable, state in crash_states(shortened)
        )


def test_two_generations_are_kept_and_a_damaged_one_falls_back(tmp_path):
    store = SnapshotStore(str(tmp_path))
    for _ in range(5):
        store.write(numbered_parts)
    assert sorted(os.listdir(tmp_path)) == [snapshot_name(4), snapshot_name(5), "lock"]
    assert (tmp_path / snapshot_name(5)).stat().st_mode & 0o777 == 0o600
    store.close()
    (tmp_path / snapshot_name(5)).write_bytes(b"".join(numbered_parts(5))[:-1])
    # intact, but not of the generation in its name
    (tmp_path / snapshot_name(6)).write_bytes(b"".join(numbered_parts(5)))
    again = SnapshotStore(str(tmp_path))
    again.open()
    loaded = again.load()
    assert generation_of(loaded.snapshot) == 4 and [r.file for r in loaded.rejected] == [
        snapshot_name(6),
        snapshot_name(5),
    ]
    assert (
        "checksum" in loaded.rejected[1].reason and "in the file of generation 6" in loaded.rejected[0].reason
    )
    assert again.write(numbered_parts) == 7
    again.close()


def test_a_newer_format_is_neither_loaded_nor_touched(tmp_path):
    newer = (samples.DATA / "format-4.know").read_bytes()
    (tmp_path / snapshot_name(3)).write_bytes(newer)
    (tmp_path / snapshot_name(2)).write_bytes(b"".join(numbered_parts(2)))
    store = SnapshotStore(str(tmp_path))
    store.open()
    loaded = store.load()
    assert generation_of(loaded.snapshot) == 2 and "needs a reader of format 4" in loaded.rejected[0].reason
    for _ in range(4):
        store.write(numbered_parts)
    store.close()
    unread = SnapshotStore(str(tmp_path))  # writes without loading first
    for _ in range(4):
        unread.write(numbered_parts)
    unread.close()
    assert (tmp_path / snapshot_name(3)).read_bytes() == newer and len(os.listdir(tmp_path)) == 4


def create_unexpected(path, kind):
    if kind == "symlink":
        (path.parent / "target").write_bytes(b"".join(numbered_parts(9)))
        path.symlink_to("target")
    elif kind == "fifo":
        os.mkfifo(path)
    elif kind == "folder":
        path.mkdir()
    elif kind == "large":
        with open(path, "wb") as file:
            file.truncate(1 << 40)  # sparse
    else:
        path.write_bytes(b"".join(numbered_parts(9)))
        os.chown(path, OTHER_UID, OTHER_UID)


@pytest.mark.parametrize("kind", ["symlink", "fifo", "folder", "large", "stranger"])
def test_what_is_no_plain_file_of_ours_is_passed_over_without_waiting(tmp_path, kind):
    if kind == "stranger" and os.geteuid():
        pytest.skip("only root can give a file away")
    (tmp_path / snapshot_name(1)).write_bytes(b"".join(numbered_parts(1)))
    create_unexpected(tmp_path / snapshot_name(9), kind)
    store = SnapshotStore(str(tmp_path))
    store.open()
    loaded = store.load()
    assert generation_of(loaded.snapshot) == 1 and loaded.rejected[0].file == snapshot_name(9)
    assert store.write(numbered_parts) == 10
    store.close()
    if kind in ("symlink", "fifo", "folder"):  # also as the lock file or as the folder itself
        (tmp_path / "lock").unlink()
        create_unexpected(tmp_path / "lock", kind)
        with pytest.raises(OSError):
            SnapshotStore(str(tmp_path)).open()
        create_unexpected(tmp_path / "instead", kind)
        if kind != "folder":
            with pytest.raises(OSError):
                SnapshotStore(str(tmp_path / "instead")).open()


def test_a_folder_that_others_may_write_is_refused(tmp_path):
    os.chmod(tmp_path, 0o777)
    with pytest.raises(UnsafeFileError):
        SnapshotStore(str(tmp_path)).open()


def test_a_second_process_of_one_name_cannot_use_the_folder_until_the_first_ends(tmp_path):
    first, second = SnapshotStore(str(tmp_path)), SnapshotStore(str(tmp_path))
    first.write(numbered_parts)
    with pytest.raises(FolderLockedError):
        second.open()
    with pytest.raises(FolderLockedError):
        second.write(numbered_parts)
    first.close()
    assert second.write(numbered_parts) == 2
    second.close()


@pytest.mark.parametrize("name", ["n0", "../../etc", ".", "", "a/b", "halle-ä"])
def test_a_name_never_leads_out_of_the_path(name):
    folder = pathlib.PurePath(gateway_folder("/var/lib/corkdeal", name))
    assert folder.parent == pathlib.PurePath("/var/lib/corkdeal") and folder.name not in (".", "..")


class FailingFolder(StateFolder):
    """A folder on which the operation named by `failing` fails."""

    failing = ""
    number = errno.ENOSPC

    def fail_if_selected(self, operation):
        if operation == FailingFolder.failing:
            raise OSError(self.number, os.strerror(self.number))

    def create(self, name):
        self.fail_if_selected("create")
        return super().create(name)

    def write(self, file, parts):
        parts = list(parts)
        super().write(file, parts[:1])
        self.fail_if_selected("write")
        super().write(file, parts[1:])

    def sync(self, file):
        self.fail_if_selected("sync")
        super().sync(file)

    def rename(self, old, new):
        self.fail_if_selected("rename")
        super().rename(old, new)

    def sync_folder(self):
        self.fail_if_selected("sync_folder")
        super().sync_folder()


@pytest.mark.parametrize("step", ["create", "write", "sync", "rename", "sync_folder"])
def test_a_disk_that_fails_costs_that_write_only_and_heals(tmp_path, step):
    store = SnapshotStore(str(tmp_path), folder_factory=FailingFolder)
    assert store.write(numbered_parts) == 1
    for number in (errno.ENOSPC, errno.EROFS, errno.EIO):
        FailingFolder.failing, FailingFolder.number = step, number
        for _ in range(3):
            with pytest.raises(OSError):
                store.write(numbered_parts)
        FailingFolder.failing = ""
        assert not [n for n in os.listdir(tmp_path) if n.endswith(".tmp")]
        assert generation_of(store.load().snapshot) >= 1
    after = store.write(numbered_parts)
    assert generation_of(store.load().snapshot) == after
    store.close()


def test_a_folder_that_vanished_is_made_anew(tmp_path):
    store = SnapshotStore(str(tmp_path / "here"))
    store.write(numbered_parts)
    os.rename(tmp_path / "here", tmp_path / "away")
    assert store.write(numbered_parts) == 2 and os.listdir(tmp_path / "away").count(snapshot_name(2)) == 0
    store.close()
