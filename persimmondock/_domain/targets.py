"""Parsing of request targets, which are forwarded as they were received."""

from __future__ import annotations

from urllib.parse import unquote

import attrs

DOT_SEGMENTS = frozenset({".", ".."})


class TargetError(ValueError):
    """A request target that cannot be forwarded as it stands."""


@attrs.frozen
class Target:
    """A request target.

    Parameters
    ----------
    raw
        Path and query as received.
    segments
        Percent-decoded segments of the path. A slash inside a segment was percent-encoded.
    """

    raw: str
    segments: tuple[str, ...]

    def find_segment_after(self, prefix: str) -> str:
        """Return the first segment after a path prefix, or an empty string."""
        count = len(split_path(prefix))
        return self.segments[count] if len(self.segments) > count else ""

    def starts_with(self, prefix: str) -> bool:
        """Return whether the path equals a prefix or lies below it."""
        segments = split_path(prefix)
        return self.segments[: len(segments)] == segments

    def build_path(self) -> str:
        """Return the decoded path without trailing slashes, for matching routes."""
        return "/" + "/".join(self.segments).rstrip("/")


def split_path(path: str) -> tuple[str, ...]:
    """Return the segments of a path that starts with a slash."""
    return tuple(path[1:].split("/"))


def parse_target(raw: str) -> Target:
    """Parse a request target.

    Raises
    ------
    TargetError
        If it is not a path, has bytes that are not UTF-8, or has segments ``.`` or ``..``, which
        a backend server might resolve to the path of another key.
    """
    if not raw.startswith("/"):
        raise TargetError("the request target is not a path")
    path = raw.partition("?")[0]
    try:
        segments = tuple(unquote(part, errors="strict") for part in split_path(path))
    except UnicodeDecodeError as error:
        raise TargetError("the path is not UTF-8") from error
    if any(part in DOT_SEGMENTS for segment in segments for part in segment.split("/")):
        raise TargetError("the path has dot segments")
    return Target(raw, segments)
