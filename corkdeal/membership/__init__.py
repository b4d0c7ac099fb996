"""Failure detection within the tier, and leases on the quota shares of its members. No I/O is done here.

`messages` is the datagram codec, `failure_detector` tracks the state of each member, and `leases` decides who
may spend a quota share. `heartbeat_sender` sends heartbeats and `heartbeat_receiver` applies received ones;
`takeover` and `quota_shares` derive the quota shares from the leases; `protocol` combines these modules and
is what the decisions call. docs/membership.md describes the protocol.
"""
