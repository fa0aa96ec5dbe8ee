"""The time line of events."""
