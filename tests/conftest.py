"""Settings shared by all tests."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "reedhook",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("reedhook")
