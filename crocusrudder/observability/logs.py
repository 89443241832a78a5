"""Log state changes through loguru, as JSON lines or as text."""

import sys
from typing import Any
from typing import TextIO

import loguru
import msgspec

from crocusrudder.conf import settings
from crocusrudder.core import effects
from crocusrudder.observability import streams

MAX_LINE_BYTES = 16 * 1024
"""Maximum length of a line; longer fields are truncated so that no event can flood the log."""


class _Sink:
    """Write one line per log record, rate-limited per event."""

    def __init__(
        self, process: str, format_: settings.LogFormat, stream: TextIO | streams.LineStream
    ) -> None:
        self._limiter = streams.LineRateLimiter()
        self._process = process
        self._format = format_
        self._stream = stream

    def __call__(self, message: Any) -> None:
        """Write a loguru message to the stream."""
        record = message.record
        if not self._limiter.admit(record["message"]):
            return
        dropped_lines = self._limiter.drain_dropped()
        if dropped_lines:
            record["extra"] = {
                "fields": {**record["extra"].get("fields", {}), "left_out": dropped_lines}
            }
        encode = _encode_json if self._format is settings.LogFormat.JSON else _encode_text
        line = encode(self._process, record)
        self._stream.write(f"{line}\n")
        self._stream.flush()


def configure(
    document: settings.LogSettings,
    process: str,
    stream: TextIO | streams.LineStream | None = None,
) -> None:
    """Replace all log outputs of this process by ``stream``, standard error by default."""
    sink = _Sink(process, document.format, sys.stderr if stream is None else stream)
    loguru.logger.remove()
    loguru.logger.add(sink, level=document.level.value.upper(), format="{message}", catch=True)


def configure_process(process: str) -> None:
    """Log to standard output as JSON lines."""
    stream = streams.LineStream(sys.stdout.fileno())
    configure(settings.LogSettings(format=settings.LogFormat.JSON), process, stream)


def write_change(change: effects.LogChange, level: str = "INFO") -> None:
    loguru.logger.bind(fields=change.fields).log(level, "{}", change.name)


class DependencyMonitor:
    """Log when a dependency of the process becomes unavailable and when it recovers."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._is_available = True

    def record(self, is_available: bool, reason: str = "") -> None:
        """Record whether the last use succeeded; log only changes."""
        if is_available == self._is_available:
            return
        self._is_available = is_available
        event = "dependency_back" if is_available else "dependency_lost"
        write_change(effects.LogChange(event, {"dependency": self._name, "reason": reason}))


def _encode_json(process: str, record: dict[str, Any]) -> str:
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "process": process,
        "event": record["message"],
        "fields": record["extra"].get("fields", {}),
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    text = _encode(line)
    if len(text) <= MAX_LINE_BYTES:
        return text
    line["fields"] = {"cut": _encode(line["fields"])[: MAX_LINE_BYTES // 2]}
    return _encode(line)


def _encode_text(process: str, record: dict[str, Any]) -> str:
    time = record["time"].isoformat(sep=" ", timespec="milliseconds")
    fields = record["extra"].get("fields", {})
    pairs = " ".join(f"{name}={_encode(value)}" for name, value in fields.items())
    head = f"{time} {record['level'].name:<7} {process} {record['message']}"
    line = f"{head} {pairs}" if pairs else head
    if record["exception"] is not None:
        line += f" exception={record['exception'].value!r}"
    # A line break within a message would look like a separate record.
    return line[:MAX_LINE_BYTES].replace("\n", "\\n")


def _encode(value: Any) -> str:
    return msgspec.json.encode(value, enc_hook=str).decode()
