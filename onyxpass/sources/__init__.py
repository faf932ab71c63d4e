"""Membership sources: reads, validates and applies the list of servers from watched files."""
