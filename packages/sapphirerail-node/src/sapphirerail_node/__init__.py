"""The sapphirerail node package."""
