"""A database proxy with session consistency over asynchronous replication."""
