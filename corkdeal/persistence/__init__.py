"""Persisted state: what the decisions learned, kept in a folder and expired by age when a restart reads it.

Without I/O: `clock` (a snapshot's age), `expiry` (the weight of a record of that age), `restore` (returns
records to the decisions), `capture` (makes snapshots of the decisions), `merge` (combines snapshots of
several machines), `quota_handover` (divides a quota between two processes).
With I/O: `files` (file system operations), `store` (the generations in a folder), `snapshot_writer` with
`snapshot_loader`, `write_health`, `worker` and `host` (run beside the reactor), `handover_files` (snapshots
passed from one process to the next).
The stored form, between the two: `codec`, `migrate` and `envelope`.
"""
