"""The base class of all errors that corkdeal raises on purpose."""


class CorkdealError(Exception):
    """An error with a reason, and where there is one the place, in its text."""
