"""Parse the command line and map failures to exit codes."""
