"""Adapters to the platform: its names, formats and calls, but no decisions."""
