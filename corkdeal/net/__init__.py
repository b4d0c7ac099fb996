"""Socket I/O of the gateway. All policy is in `corkdeal.decisions`; this package carries it out."""
