"""Checkers of recorded histories: request traces, lease histories and desired configurations."""
