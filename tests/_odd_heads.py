"""Responses whose heads are no heads of HTTP/1.1."""

from tests._cut_heads import BODY

_FIELDS = b"X-Request-Id: r1\r\nX-Stage: encode.1\r\nETag: 5\r\nX-Response-Seal: x\r\n"
_STATUS_LINES = (
    ("status_000", b"HTTP/1.1 000 OK"),
    ("status_099", b"HTTP/1.1 099 OK"),
    ("status_101", b"HTTP/1.1 101 Switching Protocols"),
    ("status_600", b"HTTP/1.1 600 OK"),
    ("status_999", b"HTTP/1.1 999 OK"),
    ("status_of_four_digits", b"HTTP/1.1 2000 OK"),
    ("status_of_two_digits", b"HTTP/1.1 20 OK"),
    ("status_with_a_sign", b"HTTP/1.1 +20 OK"),
    ("status_with_a_blank", b"HTTP/1.1 2 0 OK"),
    ("version_0_9", b"HTTP/0.9 200 OK"),
    ("version_2_0", b"HTTP/2.0 200 OK"),
)
_NAMES = (
    ("no_name", b""),
    *((f"name_with_{byte:02x}", b"Na%cme" % byte) for byte in (*range(13), 14, 31)),
    ("name_with_a_blank", b"Na me"),
    ("name_before_a_blank", b"Name "),
    ("name_with_del", b"Na\x7fme"),
    ("name_with_80", b"Na\x80me"),
    ("name_with_ff", b"Na\xffme"),
    ("name_with_a_bracket", b"Na(me"),
)
_VALUES = tuple(
    (f"value_with_{byte:02x}", b"va%clue" % byte) for byte in (0, 1, 8, 11, 31, 127)
)
_LENGTHS = (
    ("length_with_a_sign", b"+%d"),
    ("length_with_a_letter", b"%dx"),
    ("two_lengths", b"%d\r\nContent-Length: 1"),
)


def make_odd_heads(body: bytes = BODY) -> list[tuple[str, bytes]]:
    """Return a row for each response, whose body is whole by its length."""
    length = b"Content-Length: %d\r\n" % len(body)
    rows = [(name, line + b"\r\n" + _FIELDS + length) for name, line in _STATUS_LINES]
    odd = [(name, field + b": x") for name, field in _NAMES if b"\n" not in field]
    odd += [(name, b"Name: " + value) for name, value in _VALUES]
    odd.append(("no_colon", b"Name"))
    for name, line in odd:
        start = b"HTTP/1.1 200 OK\r\n"
        rows.append((f"{name}_first", start + line + b"\r\n" + _FIELDS + length))
        rows.append((f"{name}_last", start + _FIELDS + length + line + b"\r\n"))
    for name, value in _LENGTHS:
        stated = b"Content-Length: " + value % len(body) + b"\r\n"
        rows.append((name, b"HTTP/1.1 200 OK\r\n" + _FIELDS + stated))
    return [(name, head + b"\r\n" + body) for name, head in rows]


ODD_HEADS = make_odd_heads()


def make_odd_framings(body: bytes = BODY) -> list[tuple[str, bytes]]:
    """Return a row for each response that only a lenient parser can read."""
    start = b"HTTP/1.1 200 OK\r\n" + _FIELDS
    length = b"Content-Length: %d" % len(body)
    chunked = start + b"Transfer-Encoding: chunked\r\n\r\n"
    end = b"\r\n" + body + b"\r\n0\r\n"
    lists = [
        (f"list_of_lengths_{name}", start + length + b", %d\r\n\r\n" % len(body) + part)
        for name, part in (("whole", body), ("cut", body[:-4]))
    ]
    lines = [
        (name, line + b"\r\n" + _FIELDS + length + b"\r\n\r\n" + body)
        for name, line in (
            ("status_behind_a_control", b"HTTP/1.1 200\x0bOK"),
            ("status_before_a_control", b"HTTP/1.1 \x1c200"),
            ("status_with_a_line", b"HTTP/1.1 2_00 OK"),
            ("status_0200", b"HTTP/1.1 0200 OK"),
            ("status_with_plus", b"HTTP/1.1 +200 OK"),
            ("status_line_behind_a_blank", b" HTTP/1.1 200 OK"),
        )
    ]
    sizes = [
        (f"chunk_size_{name}", chunked + size + end + b"\r\n")
        for name, size in (
            ("with_plus", b"+%x" % len(body)),
            ("with_0x", b"0x%x" % len(body)),
            ("with_a_line", b"0_%x" % len(body)),
            ("behind_a_blank", b" %x" % len(body)),
        )
    ]
    others = [
        ("chunk_size_below_0", chunked + b"-2" + end + b"\r\n"),
        ("last_chunk_with_minus", chunked + b"-0\r\n\r\n"),
        (
            "control_in_trailer",
            chunked + b"%x" % len(body) + end + b"X-Sum: \x01\r\n\r\n",
        ),
        (
            "no_field_in_trailer",
            chunked + b"%x" % len(body) + end + b"X Sum: 1\r\n\r\n",
        ),
        ("length_behind_nbsp", start + length + b"\xa0\r\n\r\n" + body),
    ]
    return [*lists, *lines, *sizes, *others]


ODD_FRAMINGS = make_odd_framings()
