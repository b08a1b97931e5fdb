"""The sapphirerail standins package."""
