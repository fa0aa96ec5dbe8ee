"""Benchmarks of reedhook, separate from the tests."""
