"""All log events, with their levels and meanings; logging an event that is not listed here is a bug.

Each description ends with the event's fields. In the handover events, `life` is this process's incarnation,
`before` and `after` are those of its predecessor and successor. Fields never hold keys, tokens or bodies.
"""

from __future__ import annotations

DEBUG, INFO, WARN, ERROR = 10, 20, 30, 40
LEVELS = {"debug": DEBUG, "info": INFO, "warn": WARN, "error": ERROR}

EVENTS: dict[str, tuple[int, str]] = {
    "serving": (INFO, "clients are accepted: name, at, inherited (whether the listening socket is)"),
    "listen_failed": (ERROR, "an address is in use, listening is retried: at, error"),
    "reloaded": (INFO, "configuration reloaded: discovery, at_next_start (changes that need a restart)"),
    "reload_refused": (ERROR, "invalid new configuration or options, the old ones stay in force: error"),
    "draining": (INFO, "shutdown began: open (RPCs)"),
    "ops_listening": (INFO, "the operations address is open: at"),
    "standby": (INFO, "standby began, idle client connections close: open (RPCs), client_connections"),
    "active": (INFO, "an operator ended standby, client connections stay open again"),
    "held_out": (INFO, "an operator held a backend out, whatever the endpoint list says: server, new"),
    "held_out_unreadable": (WARN, "the held-out file can't be read and is ignored: file, error"),
    "held_out_not_saved": (WARN, "the held-out file can't be written, a successor lacks it: file, error"),
    "held_elsewhere": (INFO, "an override made at the predecessor or successor was applied: server, out"),
    "let_back": (INFO, "an operator returned a backend to service, as a cold one: server, new"),
    "handover_begun": (INFO, "a fraction of the quota was received: life, before, accounts, part"),
    "handover_none": (WARN, "the predecessor gave nothing in time, serving without it: life, before"),
    "handover_done": (INFO, "the predecessor spends no more: life, before, rest (was received), part"),
    "handover_given": (INFO, "a fraction of the quota was given to the successor: life, after, part"),
    "handover_rest": (INFO, "all state was handed over to the successor: life, after"),
    "handover_taken_back": (INFO, "the successor ended, its fraction was taken back: life, after"),
    "handover_unreadable": (WARN, "a handover snapshot can't be read: what, before, error"),
    "handover_not_written": (WARN, "a handover snapshot can't be written: what, after, error"),
    "handover_off": (WARN, "the shared folder can't be used, no quotas are handed over: error"),
    "limits": (
        INFO,
        "this process's part of the gateway's limits changed: life, others (incarnations that run "
        "beside it), memory_budget, connections (of clients and backends together), anonymous; bytes",
    ),
    "limits_too_small_for_upgrade": (
        WARN,
        "two processes of an upgrade may pass the gateway's limits: memory, memory_needed (bytes), sockets, "
        "sockets_needed",
    ),
    "counts": (INFO, "all counters that are not 0, after one of them changed"),
    "figures": (INFO, "metrics: counters since the start, and gauges (now_...)"),
    "recovery": (INFO, "readiness after a start or stall changed: state, before, why, among, after (s)"),
    "refused": (INFO, "requests rejected or failed so far, by cause, inside and beyond quotas"),
    "client_connection_closed": (
        DEBUG,
        "a client connection ended: connection (its number), why, age (s), requests, unanswered (their ids)",
    ),
    "attempt_ended": (DEBUG, "an attempt ended: id (the client's), attempt, server, status, after (s)"),
    "request_answered": (DEBUG, "a request got its final answer: id, attempts, line (the answer's first)"),
    "memory": (
        INFO,
        "the pressure on the memory budget changed: pressure, before, held, limit, answers (waiting), "
        "collected (long answers), bodies (incomplete), names (accounts and ids); bytes but for bodies",
    ),
    "decisions_failed": (ERROR, "the decisions raised, the RPCs of these events fail: events, trace"),
    "action_failed": (ERROR, "an action of the decisions could not be carried out: action, trace"),
    "decisions_message": (INFO, "a log line of the decisions: text"),
    "discovery_failed": (WARN, "discovery gave no valid endpoint list, the present one stays in use: error"),
    "endpoint_list_not_applied": (
        ERROR,
        "an endpoint list could not be applied and is fetched again: revision, trace",
    ),
    "library": (WARN, "a log line of a library: source, text"),
    "options_reloaded": (INFO, "options file reloaded: changed (its nodes that changed)"),
    "knowledge_loaded": (INFO, "persisted state was restored: file, format, age, servers, accounts, ..."),
    "knowledge_none": (INFO, "the folder has no snapshot: folder"),
    "knowledge_refused": (WARN, "a snapshot file was rejected and left in place: file, why"),
    "knowledge_useless": (WARN, "a valid snapshot was read, but all of it has expired: file, age, odd"),
    "knowledge_foreign": (WARN, "the newest snapshot is another gateway's and is not used: file, name"),
    "knowledge_late": (WARN, "persisted state is not used, the store did not answer in time: waited (s)"),
    "knowledge_locked": (WARN, "another process of this name has locked the folder: folder"),
    "knowledge_unlocked": (INFO, "the folder is no longer locked, snapshots are written again: folder"),
    "knowledge_failing": (WARN, "writing snapshots fails, service goes on: error"),
    "membership": (INFO, "a member's state, or who may spend which quota shares, changed: what, ..."),
    "knowledge_healed": (INFO, "writing snapshots succeeds again: after (failures)"),
    "knowledge_collect_failed": (ERROR, "state could not be captured for a snapshot, a bug: trace"),
}
