"""HTTP servers, and calls between hosts."""
