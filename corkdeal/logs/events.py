"""Every event that a log line may name: its level and what it means. A line not named here is not written.

Pairs never hold keys, tokens or bodies.
"""

from __future__ import annotations

DEBUG, INFO, WARN, ERROR = 10, 20, 30, 40
LEVELS = {"debug": DEBUG, "info": INFO, "warn": WARN, "error": ERROR}

EVENTS: dict[str, tuple[int, str]] = {
    "serving": (INFO, "clients are let in: name, at"),
    "listen_failed": (ERROR, "the clients' address can't be had and is tried again: at, error"),
    "reloaded": (INFO, "configuration read again: discovery, and what waits for the next start"),
    "reload_refused": (ERROR, "the new configuration or options can't be used; the old go on: error"),
    "draining": (INFO, "a planned end began: open RPCs"),
    "ops_listening": (INFO, "the operations address is open: at"),
    "standby": (INFO, "PING says no, client connections close as they fall idle: open, client_connections"),
    "active": (INFO, "standby ended on the operators' word; client connections stay open again"),
    "held_out": (INFO, "a backend is held out by hand, whatever the list says: server, new"),
    "held_out_unreadable": (WARN, "the held-out file can't be read; nothing is held out: file, error"),
    "held_out_not_saved": (WARN, "the held-out file can't be written; the next lacks it: file, error"),
    "held_elsewhere": (INFO, "another life of this gateway was told of a backend by hand: server, out"),
    "let_back": (INFO, "a backend held out by hand is let back, as a cold one: server, new"),
    "handover_begun": (INFO, "a part of the quota is here: life, before, accounts, part"),
    "handover_none": (WARN, "the life before gave nothing in time; serving without: life, before"),
    "handover_done": (INFO, "the life before spends no more: life, before, whether its rest came, part"),
    "handover_given": (INFO, "the next life has started and has a part: life, after, part"),
    "handover_rest": (INFO, "all was handed on to the next life: life, after"),
    "handover_taken_back": (INFO, "the next life ended; its rate is here again: life, after"),
    "handover_unreadable": (WARN, "what was handed on can't be read: what, before, error"),
    "handover_not_written": (WARN, "nothing could be handed on: what, after, error"),
    "handover_off": (WARN, "the shared folder can't be used; quotas are not handed on: error"),
    "counts": (INFO, "every count that is not 0, where one changed"),
    "figures": (INFO, "running totals since the start, and how things stand now (now_...)"),
    "recovery": (INFO, "how far it has come back: state, before, why, among few or many, after s"),
    "refused": (INFO, "requests given up on so far, by cause, inside and beyond quotas, where one was"),
    "module_failed": (ERROR, "the decisions raised; the RPCs of these events are failed: events, trace"),
    "action_failed": (ERROR, "an action could not be carried out: action, trace"),
    "module_says": (INFO, "a line of the decisions' own: text"),
    "discovery_failed": (WARN, "discovery gave no list that can be used; the one held goes on: error"),
    "list_not_taken": (ERROR, "a list could not be followed, and is asked for again: revision, trace"),
    "library": (WARN, "a line of a library's own: source, text"),
    "options_reloaded": (INFO, "the operators' file was read again: nodes that changed"),
    "knowledge_loaded": (INFO, "an earlier life's knowledge is in force: file, age, servers, accounts"),
    "knowledge_none": (INFO, "the folder holds no knowledge: folder"),
    "knowledge_refused": (WARN, "a file was not loaded and is left where it is: file, why"),
    "knowledge_useless": (WARN, "a whole file was read, but nothing in it counts any more: file, age, odd"),
    "knowledge_foreign": (WARN, "the folder holds another gateway's knowledge; none is used: file, name"),
    "knowledge_late": (WARN, "the store did not answer in time; serving without: waited"),
    "knowledge_locked": (WARN, "another process of this name keeps the folder; serving without: folder"),
    "knowledge_unlocked": (INFO, "the folder is free; writing from now on: folder"),
    "knowledge_failing": (WARN, "writing fails, service goes on: error"),
    "membership": (INFO, "a member, or whose slices may be spent, is seen otherwise: what, then what it is"),
    "knowledge_healed": (INFO, "writing works again: after so many failures"),
    "knowledge_collect_failed": (ERROR, "a bug: what is known could not be put into records: trace"),
}
