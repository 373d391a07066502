"""Adapter that runs persimmondock on the users' platform.

It translates between the platform's names and persimmondock's types. The package shares its name
with the standard library's module ``platform``: import it only by its full name, and never put its
parent directory on ``sys.path``, as running a script from that directory does.
"""
