"""Small stand-ins of the outside systems, for tests, demo and benchmarks."""
