"""JSON values that other writers have left or may leave and that decoders refuse."""

ODD_JSON = (
    b"[" * 1_100 + b"]" * 1_100,
    b"[" * 100_000 + b"]" * 100_000,
    b'{"a":' * 1_100 + b"1" + b"}" * 1_100,
    b"1e400",
    b'["j.0.0.7",1e400,"",0]',
    b"9" * 5_000,
    b"18446744073709551616",
    b"NaN",
    b"-Infinity",
    b'"\xff"',
    b'["\xff",2,"",0]',
    b'"\\ud800"',
    b"null",
    b"{}",
    b"[]",
    b"true",
    b'""',
    b'[",]"]',
)
"""Each is well formed as to brackets and strings, so that its neighbours can be told apart."""

ODD_NUMBERS = (
    b"1e400",
    b"1e300",
    b"9" * 5_000,
    b"9223372036854775808",
    b"18446744073709551616",
    b"NaN",
    b"null",
    b'"1"',
    b"[1]",
)
"""JSON values in place of a number."""
