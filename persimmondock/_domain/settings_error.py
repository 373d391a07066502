"""Error of all readers of settings, apart from what it takes to read them."""

from __future__ import annotations


class SettingsError(ValueError):
    """Invalid settings; the message names the file, the field and the value."""


class SettingsUnreadableError(SettingsError):
    """Settings that could not be read, whatever they say; they may be readable later."""
