"""The gateway on sockets, round the decisions of `corkdeal.decisions`; nothing is decided here."""
