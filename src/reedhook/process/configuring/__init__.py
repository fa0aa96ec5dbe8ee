"""Editions of the configuration: kept, spread and edited."""
