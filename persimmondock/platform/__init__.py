"""Runs the product on the users' platform.

Everything here translates between the platform's words and the product's types. The folder has the
name of a module of the standard library: import it only by its full name, and never put the folder
above it on the path as a script's own.
"""
