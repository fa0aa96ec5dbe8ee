"""A soak: real hosts as processes, with faults brought about from outside."""
