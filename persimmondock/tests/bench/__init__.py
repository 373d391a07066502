"""Tests of the load and measuring tool."""

from __future__ import annotations
