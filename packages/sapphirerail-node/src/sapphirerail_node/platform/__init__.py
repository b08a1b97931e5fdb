"""Adapter to the users' platform: names, forms and calls, and no decisions."""
