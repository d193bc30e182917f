"""Measure costs of the package."""
