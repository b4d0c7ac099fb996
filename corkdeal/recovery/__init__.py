"""Coming back: what a gateway may rely on after a start or after standing still, without I/O.

`pulse` notices a pause, `waking` ages what was known before one, `standing` says how far a gateway has come
back. `net/recovery.py` joins them to the sockets; docs/recovery.md derives the bounds.
"""
