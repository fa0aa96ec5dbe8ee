"""Database groups: group managers, consistency proofs and changes of primary.

Used by hosts that are configured with YAML settings. The home of the primary confirms
its term at the other members, which accept a change of primary by majority. Hosts on a
platform with a store use :mod:`reedhook.process.primary_lease` instead.
"""
