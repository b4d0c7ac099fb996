"""The decisions of a gateway: timed events in, actions out, without I/O, clock or global state."""
