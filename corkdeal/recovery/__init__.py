"""Recovery: what a gateway may rely on after a start or a stall, without I/O.

`stall_detector` detects a stall, `resume` ages what was known before it, `quota_restore` takes quota shares
up from neighbours, `admission_ramp` limits the first seconds, and `readiness` tells how far a gateway has
come back. `net/recovery.py` joins them to the sockets; docs/recovery.md derives the bounds.
"""
