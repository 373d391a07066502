"""A soak test: daemons of the platform as processes, injected faults and external checks."""
