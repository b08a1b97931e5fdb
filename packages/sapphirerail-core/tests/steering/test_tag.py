from hypothesis import given
from hypothesis import strategies as st

from sapphirerail_core.steering.tag import NO_TAG, server_tag

identities = st.integers(0, 2**64 - 1)


@given(identities)
def test_a_tag_fits_32_bits_and_is_never_the_absent_tag(identity):
    assert NO_TAG < server_tag(identity) < 2**32


@given(st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1))
def test_identities_of_32_bits_do_not_collide(one, other):
    # A digest of 0 becomes tag 1, so these two identities may share a tag.
    if one != other and {server_tag(one), server_tag(other)} != {1}:
        assert server_tag(one) != server_tag(other)
