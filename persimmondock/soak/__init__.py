"""A soak: the platform's daemon as real processes, faults and checks from outside."""
