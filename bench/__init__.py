"""Benchmarks; each prints its figures as lines of JSON on standard output."""
