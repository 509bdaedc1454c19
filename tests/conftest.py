"""Settings shared by all tests."""

from hypothesis import settings

# Derandomized, so that every run of CI sees the same examples and gives the same verdict.
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")
