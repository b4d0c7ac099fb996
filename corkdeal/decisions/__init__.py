"""The decisions of a gateway: no I/O, no clock, no global state. Events with their time in, actions out."""
