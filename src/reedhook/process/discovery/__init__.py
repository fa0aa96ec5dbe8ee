"""What the operators, the targets and the hosts announce in the platform's store."""
