"""Private modules of the package."""
