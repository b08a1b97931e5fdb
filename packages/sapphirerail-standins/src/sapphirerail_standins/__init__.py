"""Test doubles of everything around the instances, and checks of what they saw."""
