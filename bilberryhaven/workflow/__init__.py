"""Workflows of tasks: admission, placement, execution and completion."""
