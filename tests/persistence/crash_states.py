"""Records operations on a folder and enumerates the states in which a crash may leave the disk."""

import itertools
from collections.abc import Iterator
from typing import NamedTuple

from corkdeal.persistence.files import StateFolder


def recording_folder(log):
    """Return a subclass of `StateFolder` that appends its operations to `log`."""

    class RecordingFolder(StateFolder):
        """Performs each operation as `StateFolder` does and records it."""

        def create(self, name):
            file = super().create(name)
            log.append(("create", name, file))
            return file

        def write(self, file, parts):
            for part in parts:
                half = len(part) // 2
                for piece in (part[:half], part[half:]):  # the operating system may perform a write in pieces
                    super().write(file, [piece])
                    log.append(("write", file, bytes(piece)))

        def sync(self, file):
            super().sync(file)
            log.append(("sync", file))

        def close_file(self, file):
            super().close_file(file)
            log.append(("close_file", file))

        def rename(self, old, new):
            super().rename(old, new)
            log.append(("rename", old, new))

        def sync_folder(self):
            super().sync_folder()
            log.append(("sync_folder",))

        def unlink(self, name):
            super().unlink(name)
            log.append(("unlink", name))

    return RecordingFolder


class NameChange(NamedTuple):
    """A change of the names in the folder, which may not be durable yet."""

    kind: str  # "link", "move" or "drop"
    name: str
    inode: int | None = None
    new_name: str = ""


class Disk:
    """The files and names after some operations, and which of them are durable."""

    def __init__(self):
        self.content: dict[int, bytes] = {}  # by inode, as last written
        self.synced: dict[int, bytes] = {}  # by inode, as last synced
        self.names: dict[str, int] = {}  # as of the folder's last sync
        self.pending: list[NameChange] = []  # changes of names since then
        self.open_files: dict[int, int] = {}  # inode by descriptor
        self.durable = 0  # the last generation that the store reported as durable

    def apply(self, number, operation, *args):
        """Apply one recorded operation; `number` is the inode of a file that it creates."""
        handler = getattr(self, f"apply_{operation}", None)
        if handler is not None:
            handler(number, *args)

    def apply_create(self, number, name, file):
        self.content[number] = b""
        self.synced[number] = b""
        self.open_files[file] = number
        self.pending.append(NameChange("link", name, number))

    def apply_write(self, number, file, piece):
        self.content[self.open_files[file]] += piece

    def apply_sync(self, number, file):
        inode = self.open_files[file]
        self.synced[inode] = self.content[inode]

    def apply_rename(self, number, old, new):
        inode = changed(self.names, self.pending)[old]
        self.pending.append(NameChange("move", old, inode, new))

    def apply_unlink(self, number, name):
        self.pending.append(NameChange("drop", name))

    def apply_sync_folder(self, number):
        self.names = changed(self.names, self.pending)
        self.pending = []

    def apply_durable(self, number, generation):
        self.durable = generation

    def possible_names(self) -> Iterator[dict[str, int]]:
        """Yield the names after a crash: any subset of the unsynced changes has taken effect."""
        for chosen in itertools.product((False, True), repeat=len(self.pending)):
            yield changed(self.names, itertools.compress(self.pending, chosen))

    def possible_content(self) -> Iterator[dict[int, bytes]]:
        """Yield the files after a crash: unsynced data is there whole, by half, as zeros or not at all."""
        unsynced = [inode for inode in self.content if self.content[inode] != self.synced[inode]]
        forms = [possible_forms(self.content[inode], len(self.synced[inode])) for inode in unsynced]
        for chosen in itertools.product(*forms):
            yield self.synced | dict(zip(unsynced, chosen, strict=True))


def possible_forms(content, synced_size):
    """Return what a file may hold after a crash if its first `synced_size` bytes were synced."""
    return (
        content[:synced_size],
        content,
        content[: (synced_size + len(content)) // 2],
        content[:synced_size] + bytes(len(content) - synced_size),
    )


def changed(names, changes):
    """Return the names after some changes."""
    names = dict(names)
    for change in changes:
        if change.kind == "link":
            names[change.name] = change.inode
            continue
        names.pop(change.name, None)
        if change.kind == "move":
            names[change.new_name] = change.inode
    return names


def crash_states(log):
    """Yield each state once: (last generation reported durable, sorted pairs of name and content)."""
    seen = set()
    for stop in range(len(log) + 1):
        disk = Disk()
        for number, operation in enumerate(log[:stop]):
            disk.apply(number, *operation)
        for names, content in itertools.product(disk.possible_names(), list(disk.possible_content())):
            state = tuple(sorted((name, content[inode]) for name, inode in names.items()))
            if (disk.durable, state) not in seen:
                seen.add((disk.durable, state))
                yield disk.durable, state
