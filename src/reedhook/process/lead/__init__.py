"""Who may use the primary of a service, and how another one is promoted."""
