"""Adapter that runs the product on the users' platform.

It translates between the platform's names and the product's types. The package shares its name with
the standard library's module ``platform``: import it only by its full name, and never put its
parent folder on ``sys.path``, for example by running a script of that folder.
"""
