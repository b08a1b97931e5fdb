"""Interning of names, so that tables can hold small integers."""

from typing import Generic, TypeVar

__all__ = ["NameInterner"]

Name = TypeVar("Name", bound=str)


class NameInterner(Generic[Name]):
    """Assigns each name a stable number, in order of first use.

    Examples
    --------
    >>> interner: NameInterner[str] = NameInterner()
    >>> interner.number("a"), interner.number("b"), interner.number("a")
    (0, 1, 0)
    >>> interner.name(1)
    'b'
    """

    def __init__(self) -> None:
        self._names: list[Name] = []
        self._numbers: dict[Name, int] = {}

    def number(self, name: Name) -> int:
        """Return the number of a name; a new name gets the next one."""
        number = self._numbers.get(name)
        if number is None:
            number = len(self._names)
            self._numbers[name] = number
            self._names.append(name)
        return number

    def name(self, number: int) -> Name:
        """Return the name of a number."""
        return self._names[number]
