"""State that survives a restart: what the decisions learned, expired when it is read, kept in a folder.

Pure: `clock` (how old a snapshot is), `expiry` (how far a record of that age counts), `restore` (gives
records back to the decisions), `capture` (makes snapshots of them), `merge`, `quota_handover` (divides a
quota between two processes). With I/O: `files` (the file system), `store` (generations in a folder),
`snapshot_writer` with `snapshot_loader`, `write_health` and `worker` (beside the reactor), `handover_files`.
Between them `codec`, `migrate` and `envelope`: the stored form.
"""
