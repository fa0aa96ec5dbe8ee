"""Database groups: their keepers, proofs and changes of primary.

Used by hosts that run by YAML settings: the home of the primary confirms its term at
the other members, which accept a change of primary by majority. Hosts on a platform
with a store don't load this; see :mod:`reedhook.process.primary_lease`.
"""
