"""Exit codes of the command line."""

SUCCESS = 0
FAILURE = 1
INVALID = 2
INTERRUPTED = 130
