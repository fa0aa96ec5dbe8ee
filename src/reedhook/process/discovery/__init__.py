"""Discovery of configuration, targets and hosts through the platform's store."""
