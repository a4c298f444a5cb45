"""Adapter to the users' infrastructure: its names, formats and calls.

Nothing here decides anything: what the infrastructure says is decoded once
into the project's own types, and its calls are passed on.
"""
