"""Servers, and calls between hosts."""
