"""Decisions under overload: forecast of room, precedence and admission.

The modules do no I/O and read no clock; callers pass in what is known.
"""
