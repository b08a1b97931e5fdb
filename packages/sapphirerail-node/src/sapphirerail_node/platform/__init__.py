"""Adapter to the users' platform: formats, settings and store calls, no decisions."""
