"""Tests of the stand-ins and of the checks."""

from __future__ import annotations
