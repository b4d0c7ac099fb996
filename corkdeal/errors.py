"""Base class of the exceptions that corkdeal defines."""


class CorkdealError(Exception):
    """An error whose text states the reason and, where there is one, the place in the input."""
