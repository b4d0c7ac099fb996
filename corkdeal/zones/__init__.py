"""Zones (localities): which zone an address is in, their distances, and whether one is cut off; no I/O.

`nets` finds the zone of an address, `tiers` orders zones by distance, and `loss` declares a zone lost, by the
replies and failures of its backends.
"""
