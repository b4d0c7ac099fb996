"""Halls (zones, localities): who stands where, how near they are, and whether one is cut off. No I/O.

`nets` finds an address's hall, `tiers` orders halls by nearness, `loss` declares a hall lost from what its
servers answer and fail to answer.
"""
