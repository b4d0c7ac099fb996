"""Backends held out by an operator: they override the endpoint list and persist through an upgrade.

`maintenance/enter/ID` holds a backend out until `maintenance/exit/ID`, whatever the endpoint list says; one
exit ends any number of enters. Each change is written to a small file in the folder for temporary files
(under another name first, then renamed), so that the next process of the same name, which shares that folder
during an upgrade, holds the same backends out from its start. While both processes run, an operator may call
either, so each checks whether the other has replaced the file. A backend that comes back is reported to the
decisions as one that has just started, so that it goes through slow start.
"""

from __future__ import annotations

import dataclasses
import os
import tempfile
from collections.abc import Iterable

import orjson

from .. import logs
from ..decisions.events import Endpoint, EndpointState
from .invariants import count

FORMAT = 1  # of the file; one of another format is not read, and nothing is held out


class ManualOverrides:
    """The backends held out, those that came back, and the file that persists both."""

    def __init__(self, name: str, folder: str | None = None) -> None:
        safe_name = "".join(c if c.isalnum() or c in "-_." else "_" for c in name) or "gateway"
        self.path = os.path.join(folder or tempfile.gettempdir(), f"corkdeal-{safe_name}.held-out.json")
        self.held_out: set[str] = set()
        self.returned_at: dict[str, float] = {}  # by id, in the decisions' time
        self.known_file_id: tuple[int, int] | None = None  # inode and mtime of the file last read or written

    def load(self) -> None:
        """Read the file of an earlier process of this name; an unreadable one is counted and ignored."""
        self.known_file_id = self.file_id()  # taken before the read, so that a later file is noticed
        try:
            with open(self.path, "rb") as file:
                document = orjson.loads(file.read())
            held_out, returned_at = document["out"], document["back"]
            if (
                document.get("format") != FORMAT
                or not all(isinstance(x, str) for x in held_out)
                or not all(isinstance(k, str) and type(v) is float for k, v in returned_at.items())
            ):
                raise ValueError("unexpected format")
            self.held_out, self.returned_at = set(held_out), returned_at
        except FileNotFoundError:
            return
        except (OSError, ValueError, TypeError, KeyError, AttributeError) as error:
            count("held_out_unreadable")
            logs.event("held_out_unreadable", file=self.path, error=f"{type(error).__name__}: {error}"[:200])

    def file_id(self) -> tuple[int, int] | None:
        """Return the inode and mtime of the file that exists now; None if there is none."""
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return status.st_ino, status.st_mtime_ns

    def reload_if_replaced(self) -> set[str]:
        """Read the file if another process of this gateway replaced it; returns the ids that changed."""
        if self.file_id() in (self.known_file_id, None):
            return set()
        old_held_out, old_returned_at = self.held_out, self.returned_at
        self.load()
        return (old_held_out ^ self.held_out) | {
            backend for backend, time in self.returned_at.items() if old_returned_at.get(backend) != time
        }

    def save(self) -> None:
        """Write the file; if that fails, only the next process lacks what is held out."""
        temporary_path = f"{self.path}.{os.getpid()}"
        try:
            with open(temporary_path, "wb") as file:
                file.write(
                    orjson.dumps({"format": FORMAT, "out": sorted(self.held_out), "back": self.returned_at})
                )
            os.replace(temporary_path, self.path)
            self.known_file_id = self.file_id()
        except OSError as error:
            count("held_out_not_saved")
            logs.event("held_out_not_saved", file=self.path, error=str(error)[:200])

    def hold_out(self, backend: str) -> bool:
        """Hold a backend out; returns whether it was not held out before."""
        is_new = backend not in self.held_out
        self.held_out.add(backend)
        self.save()
        return is_new

    def let_back(self, backend: str, now: float) -> bool:
        """Let a backend back in, as one that has just started; returns whether it was held out."""
        if backend not in self.held_out:
            return False
        self.held_out.discard(backend)
        self.returned_at[backend] = now
        self.save()
        return True

    def apply_all(self, endpoints: Iterable[Endpoint]) -> tuple[Endpoint, ...]:
        """Return the endpoints as the decisions see them: draining if held out, new if they came back."""
        return tuple(self.apply(endpoint) for endpoint in endpoints)

    def apply(self, endpoint: Endpoint) -> Endpoint:
        """Return one endpoint with the overrides applied."""
        if endpoint.backend in self.held_out and endpoint.state is EndpointState.READY:
            return dataclasses.replace(endpoint, state=EndpointState.DRAINING)
        returned_at = self.returned_at.get(endpoint.backend)
        if returned_at is not None and endpoint.started < returned_at:
            return dataclasses.replace(endpoint, started=returned_at)
        return endpoint
