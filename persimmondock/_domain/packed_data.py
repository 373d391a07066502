"""Number of objects in packed data, which is known before they are made.

An object takes some 60 bytes of memory and may take one byte of msgpack. The size of packed data
says little about what it takes when it is unpacked.
"""

from __future__ import annotations

FREE_OBJECTS = 50_000  # such as the records of 15,000 daemons
BYTES_PER_OBJECT = 256  # of data with more objects than these

# Bytes of each kind of object by its first byte, which is counted; the contents of arrays and maps
# are objects that follow. Source: the specification of msgpack, "Formats".
_SIZES = (
    [1] * 160
    + [1 + size for size in range(32)]
    + [1, 1, 1, 1, 2, 3, 5, 3, 4, 6, 5, 9, 2, 3, 5, 9, 2, 3, 5, 9, 3, 4, 6, 10, 18, 2, 3, 5]
    + [3, 5, 3, 5]
    + [1] * 32
)
# Bytes behind the first one that tell the size of the content.
_LENGTH_BYTES = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xC7: 1, 0xC8: 2, 0xC9: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4}


def check_objects(data: bytes | memoryview) -> None:
    """Check that packed data has no more objects than its size suggests.

    Raises
    ------
    ValueError
        If it has.
    """
    limit = FREE_OBJECTS + len(data) // BYTES_PER_OBJECT
    position, count, end = 0, 0, len(data)
    while position < end:
        count += 1
        if count > limit:
            raise ValueError(f"more than {limit} objects in {end} bytes")
        kind = data[position]
        size = _SIZES[kind]
        length_bytes = _LENGTH_BYTES.get(kind)
        if length_bytes is not None:
            size += int.from_bytes(data[position + 1 : position + 1 + length_bytes], "big")
        position += size
