"""Workspace rate limits across all hosts.

For each workspace one host, the owner, counts operations against the rate and grants
them in portions to the homes that admit them.
"""
