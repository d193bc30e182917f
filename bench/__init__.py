"""Measure the product against baselines and find its limits."""
