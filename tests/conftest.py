"""Property tests draw the same examples on every machine, and none is judged by its time."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, max_examples=200)
settings.load_profile("same")
