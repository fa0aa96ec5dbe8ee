"""Request handling: authorization, routing, queueing and forwarding."""
