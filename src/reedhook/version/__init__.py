"""Versioned configuration: documents, validation, snapshots and deltas."""
