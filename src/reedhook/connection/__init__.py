"""What lives for one connection to a target."""
