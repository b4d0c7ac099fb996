"""The first step of a process that may have a predecessor, before most of the program is loaded.

The process takes its incarnation number, claims what it needs while it loads the program, and waits until
older processes have made room for that (`process_limits`). Imports next to nothing.
"""

from __future__ import annotations

import os
import tempfile
import time

from ..persistence.claim_table import ClaimTable
from ..persistence.errors import FolderLockedError
from ..persistence.handover_files import HandoverFiles
from ..persistence.store import gateway_folder
from .config import Config
from .process_limits import GatewayLimits, first_claim, fits, whole_claim

FOLDER_NAME = "corkdeal-lives"  # in the folder for temporary files
ROOM_TIMEOUT = 1.0  # s that a start waits until the older processes have made room for it
ROOM_POLL_INTERVAL = 0.02  # s between looks at their claims meanwhile


def handover_folder(name: str) -> str:
    """Return the folder that the processes of the gateway of that name share."""
    return gateway_folder(os.path.join(tempfile.gettempdir(), FOLDER_NAME), name)


def join(config: Config) -> HandoverFiles | None:
    """Take an incarnation number, and wait for room; None where the folder can't be used."""
    try:
        files = HandoverFiles(handover_folder(config.name))
        files.join()
    except OSError:
        return None  # the handover finds the same, and logs it
    limits, table = GatewayLimits(config.memory, config.sockets), ClaimTable(files.files, files.incarnation)
    try:
        ends_at = time.monotonic() + ROOM_TIMEOUT
        while not has_room(limits, files, table) and time.monotonic() < ends_at:
            time.sleep(ROOM_POLL_INTERVAL)
    except OSError:
        pass  # without a claim it counts as an earlier version
    return files


def has_room(limits: GatewayLimits, files: HandoverFiles, table: ClaimTable) -> bool:
    """Claim what a process needs while it loads the program; return whether the older ones leave that."""
    running = files.running()
    claims = {}
    try:
        with table.locked():
            table.write(first_claim(), running)
            claims = table.read()
    except FolderLockedError:
        return False
    older = [each for each in running if each < files.incarnation]
    if not any(each in claims for each in older):
        return True  # there is none, or one of an earlier version, which makes no room
    return fits(limits, [first_claim(), *(claims.get(each, whole_claim(limits)) for each in older)])
