"""Why a client connection ended, for the log event `client_connection_closed`."""

from __future__ import annotations

import enum


class CloseReason(enum.StrEnum):
    """The first cause of a close; the values are field values of the log."""

    CLIENT_LEFT = "client_left"  # it closed or reset the connection
    HALF_CLOSED = "half_closed"  # it sent its FIN, and has all its answers
    QUIT = "quit"
    MALFORMED = "malformed"  # its input is not RESP2
    BAD_REQUESTS = "bad_requests"
    SILENT = "silent"  # no command after connecting
    NO_MEMORY = "no_memory"  # for the rest of a command
    COMMAND_TIMEOUT = "command_timeout"  # a command was not complete in time
    IDLE = "idle"
    REPLACED = "replaced"  # its descriptor was needed for another connection
    SHED = "shed"  # the event loop is overloaded
    DESCRIPTORS = "descriptors"  # none was free when it was accepted
    ANSWERS_NOT_TAKEN = "answers_not_taken"
    ANSWER_CUT_OFF = "answer_cut_off"  # a long answer broke off
    STANDBY = "standby"
    SHUTDOWN = "shutdown"
    UPGRADE = "upgrade"  # its descriptor was needed by the other process of an upgrade
