"""Measure how the cost of single mechanisms grows, in one module for each."""
