"""The command line for managing many instances: selection, waves of changes, and outcomes."""
