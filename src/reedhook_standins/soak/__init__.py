"""Soak test: real host processes under injected faults."""
