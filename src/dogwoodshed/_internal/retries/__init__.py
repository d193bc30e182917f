"""Decide which calls are sent more than once."""
