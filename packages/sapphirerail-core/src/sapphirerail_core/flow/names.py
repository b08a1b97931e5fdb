"""Numbers names, so that tables can hold small integers."""

from typing import Generic, TypeVar

__all__ = ["Names"]

Name = TypeVar("Name", bound=str)


class Names(Generic[Name]):
    """Gives each name a number that stays the same.

    Examples
    --------
    >>> names: Names[str] = Names()
    >>> names.number("a"), names.number("b"), names.number("a")
    (0, 1, 0)
    >>> names.name(1)
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
