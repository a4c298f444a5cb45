"""Adapter to the users' infrastructure: its names, formats and calls.

No scheduling decisions are made here: the infrastructure's messages are
decoded once into the project's own types, and its calls are forwarded.
"""
