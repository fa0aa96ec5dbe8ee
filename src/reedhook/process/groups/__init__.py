"""Database groups: their keepers, proofs and changes of primary."""
