"""Connections to targets, and the homes and sessions that use them."""
