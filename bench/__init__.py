"""Benchmarks of reedhook, kept outside the tests."""
