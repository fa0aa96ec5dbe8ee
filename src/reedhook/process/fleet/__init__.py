"""Which hosts there are, and which of them is home of what."""
