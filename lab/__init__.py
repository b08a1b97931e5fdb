"""Experiments that are worth keeping, each runnable with one command."""
