"""Hypothesis profiles for all tests."""

from __future__ import annotations

import os

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.register_profile("default", derandomize=True, deadline=None, database=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "default"))
