"""Measure how single mechanisms grow; one module for each mechanism."""
