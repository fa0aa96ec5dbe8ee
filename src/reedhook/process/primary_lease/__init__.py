"""Who may use the primary of a service, and how another one is promoted.

Used by hosts on a platform with a store: a record there names the one host that may,
and the platform promotes. Hosts that run by YAML settings don't load this; see
:mod:`reedhook.process.groups`.
"""
