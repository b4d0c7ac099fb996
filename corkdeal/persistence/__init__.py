"""Knowledge that survives a restart: what the decisions learned, aged on reading, kept in a folder.

Pure: `clock` (how old a document is), `ageing` (what a record of that age still says), `recall` (hands
records back to the decisions), `collect` (makes documents of them), `merge`. With I/O: `files` (the file
system), `store` (generations in a folder), `keeper` (writes beside the reactor). Between them `document`,
`migrate` and `envelope`: the form on disk.
"""
