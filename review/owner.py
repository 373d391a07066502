"""Checks the rule OWNER on what the backend servers' stand-ins saw."""

import time


class OwnerCheck:
    """Compares each new grant with what other backends had, and finds keys held twice."""

    def __init__(self, note):
        self.note, self.backends, self.low_tokens = note, [], []

    def add(self, backend):
        self.backends.append(backend)
        backend.on_grant = self._check_grant

    def _check_grant(self, backend, first, last, fence):
        """Note a grant whose token is not above all with which other backends had these keys."""
        self.note(f"grant {first}-{last} token {fence} taken by {backend.name}/{backend.instance}")
        for other in self.backends:
            if other is backend:
                continue
            for hold in other.holds:
                if hold.first <= last and first <= hold.last and hold.fence >= fence:
                    now = time.monotonic()
                    state = (
                        "still holds"
                        if hold.end > now
                        else f"held until {now - hold.end:.2f} s ago"
                    )
                    self.low_tokens.append(
                        (backend.name, first, last, fence, other.name, hold.fence)
                    )
                    self.note(
                        f"OWNER: {backend.name} takes {max(first, hold.first)}-{min(last, hold.last)} with "
                        f"token {fence}; {other.name} {state} them with token {hold.fence}"
                    )
                    break

    def find_shared_holds(self):
        """Return the spans in which two backends that were up held the same keys.

        Only those count that last over 0.5 s or in which both began requests on the keys.
        """
        found, now = [], time.monotonic()
        for index, one in enumerate(self.backends):
            for other in self.backends[index + 1 :]:
                for a in one.holds:
                    for b in other.holds:
                        first, last = max(a.first, b.first), min(a.last, b.last)
                        start, end = max(a.start, b.start), min(a.end, b.end, now)
                        if first <= last and start < end:
                            runs = [
                                sum(
                                    first <= r["key"] <= last and start <= r["at"] < end
                                    for r in side.runs
                                )
                                for side in (one, other)
                            ]
                            if end - start <= 0.5 and not all(runs):
                                continue
                            found.append((one.name, other.name, first, last, end - start, runs))
                            self.note(
                                f"OWNER: {one.name} (token {a.fence}) and {other.name} (token {b.fence}) both hold "
                                f"{first}-{last} for {end - start:.2f} s; requests begun there meanwhile: {runs}"
                            )
        return found
