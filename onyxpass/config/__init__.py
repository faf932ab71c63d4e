"""Reads and validates configuration: the platform's JSON file and the project's TOML files."""
