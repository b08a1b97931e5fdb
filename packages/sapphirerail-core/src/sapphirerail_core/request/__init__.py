"""Requests: outcome, deadline, retry and duplicates."""
