"""Recovery: what a gateway may rely on after a start or a stall of the process. No I/O is done here.

`stall_detector` detects a stall, `resume` invalidates what was known before it, `quota_restore` restores
quota shares from ring neighbours, `admission_ramp` limits traffic in the first seconds, and `readiness`
tracks how far a gateway has recovered. `net/recovery.py` connects them to the sockets; docs/recovery.md
derives the bounds.
"""
