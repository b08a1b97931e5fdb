"""Command line for operators of a sapphirerail fleet."""
