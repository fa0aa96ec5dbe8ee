"""Exclusive leases on service primaries, and failover to a new primary.

Used on a platform with a key-value store: a record in the store names the one host
that may use the primary, and the platform carries out promotions. Hosts configured
by YAML settings use :mod:`reedhook.process.groups` instead.
"""
