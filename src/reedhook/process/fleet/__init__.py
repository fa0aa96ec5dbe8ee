"""Membership of hosts and the placement of target homes."""
