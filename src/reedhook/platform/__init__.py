"""How the users' platform speaks: names, formats and calls, and no decisions."""
