"""Hold the private parts of the package."""
