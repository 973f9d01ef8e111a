from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from egretloft._internal.scheduling.cells import choose_devices, device_indexes


@given(st.integers(0, 255), st.integers(0, 8))
def test_chosen_devices_are_free_and_as_many_as_requested(free_mask: int, count: int):
    # Guards against double booking: a choice that includes devices of another gang.
    count = min(count, free_mask.bit_count())
    chosen = choose_devices(free_mask, count)
    assert chosen & ~free_mask == 0
    assert chosen.bit_count() == count
    assert len(device_indexes(chosen)) == count


def test_smallest_block_is_split():
    # Guards against fragmentation: taking a device from a large free block while a
    # smaller block is free leaves no large block for later gangs.
    assert device_indexes(choose_devices(0b1111_0100, 1)) == (2,)
    assert device_indexes(choose_devices(0b1111_1100, 2)) == (2, 3)
    assert device_indexes(choose_devices(0b1111_1111, 4)) == (0, 1, 2, 3)
