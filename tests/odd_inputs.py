"""Odd values that another writer may leave in a record of the store."""

DEEP_LISTS = b'[' * 100_000 + b']' * 100_000
DEEP_TABLES = b'{"a":' * 100_000 + b'1' + b'}' * 100_000

ODD_DOCUMENTS = (
    b'',
    b'{',
    b'\xff\xfe',
    b'[]',
    b'null',
    b'"x"',
    b'1e999',
    DEEP_LISTS,
    DEEP_TABLES,
    b'{"service":' + DEEP_LISTS + b'}',
    b'[' * 100_000,
)
"""Contents that are no record of any kind."""

ODD_NUMBERS = ('9' * 30, '9' * 400, '9' * 5000, '1e999', '-1', '1.5', 'null')
"""JSON texts of numbers that no field may have."""

ODD_DURATIONS = (
    'nans',
    'infs',
    'infinitys',
    '-5s',
    '+5s',
    '1e9s',
    '1_000ms',
    ' 5s',
    '5 s',
    '\u0665s',
    '9' * 400 + 's',
    '9' * 5000 + 'ms',
    '.s',
    '1.s',
    '99999999s',
)

ODD_ADDRESSES = (
    '10.0.0.9:0',
    '10.0.0.9:65536',
    '10.0.0.9:70000',
    '10.0.0.9:\u00b2',
    '10.0.0.9:\u0668\u0660',
    '10.0.0.9:' + '8' * 5000,
    '10.0.0.9:-1',
    '10.0.0.9:+80',
    '10.0.0.9: 80',
    'host name:80',
    'localhost:80',
    '10.0.0.256:80',
    '10.0.9:80',
    '010.0.0.9:80',
    '0.0.0.0:80',
    '[::1]:80',
    '10.0.0.9\x00:80',
    ':80',
    '10.0.0.9',
    '',
)

ODD_SERVER_IDS = ('', 'i 1', 'i\r\nx: y', 'i\u20ac', '\u00fc', 'i' * 300)
"""Ids that cannot stand in a header field of a request."""
