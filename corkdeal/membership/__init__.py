"""Membership: failure detection in the tier, and leases on the quota shares of its members, without I/O.

`messages` is the datagram codec, `failure_detector` holds each member's state, `leases` who may spend a
share; `heartbeats` sends, `receiver` applies what arrives, `takeover` and `quota_shares` turn leases into
shares, and `members` joins them for the decisions. docs/membership.md has the protocol.
"""
