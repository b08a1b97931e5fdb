from sapphirerail_core.flow.names import Names


def test_a_name_keeps_its_number_and_a_number_its_name() -> None:
    names: Names[str] = Names()
    texts = [f"server-{number % 300}" for number in range(900)]
    numbers = [names.number(text) for text in texts]
    assert numbers == [number % 300 for number in range(900)]
    assert [names.name(number) for number in numbers] == texts
