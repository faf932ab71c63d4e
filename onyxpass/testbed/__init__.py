"""Stand-ins for the services that onyxpass talks to, on loopback addresses only.

They are written from the public specifications, for trials, demonstrations and tests. They record
what reaches them and can inject faults.
"""
