"""Roles, each wired from settings."""
