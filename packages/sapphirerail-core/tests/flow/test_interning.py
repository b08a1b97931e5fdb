from sapphirerail_core.flow.interning import NameInterner


def test_interned_numbers_are_stable() -> None:
    interner: NameInterner[str] = NameInterner()
    texts = [f"server-{number % 300}" for number in range(900)]
    numbers = [interner.number(text) for text in texts]
    assert numbers == [number % 300 for number in range(900)]
    assert [interner.name(number) for number in numbers] == texts
