"""Who of the tier is there, and which of two gateways may spend a slice when one does not hear the other.

Decisions without I/O: `beats` lays messages out, `table` holds what is known of each member, `leases` says
who spends what, `members` joins them and is what the brain asks. `docs/membership.md` has the protocol.
"""
