"""Stand-ins and helpers of the review scripts."""
