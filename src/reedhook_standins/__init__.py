"""In-memory stand-ins of the external systems, for tests, demo and benchmarks."""
