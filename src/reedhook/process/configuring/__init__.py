"""Distribution, storage and editing of the configuration."""
