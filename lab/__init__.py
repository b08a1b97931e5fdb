"""Experiments that can be repeated, each with one command."""
