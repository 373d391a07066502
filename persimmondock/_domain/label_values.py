"""Values of a metric's label, of which there may be any number."""

from __future__ import annotations

import re

import attrs

MAX_VALUES = 200
OTHERS = "others"
# Names of metrics and values of labels are joined with dots.
UNSAFE = re.compile(r"[^A-Za-z0-9_-]")


def name_service(service: str) -> str:
    """Return the name of a service as one part of a metric's dotted name."""
    return service.replace(".", "_")


@attrs.define
class LabelValues:
    """Gives the first names a value of their own and all others a common one."""

    max_values: int = MAX_VALUES
    _values: dict[str, str] = attrs.field(factory=dict)

    def find(self, name: str) -> str:
        """Return the value of a name."""
        value = self._values.get(name)
        if value is not None:
            return value
        if len(self._values) >= self.max_values:
            return OTHERS
        value = self._values[name] = UNSAFE.sub("_", name)
        return value
