"""The real gateway: sockets round the decisions of corkdeal.brain; nothing is decided here."""
