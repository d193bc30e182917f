"""Choose an upstream for each call."""
