"""Report how callers were served over the day."""
