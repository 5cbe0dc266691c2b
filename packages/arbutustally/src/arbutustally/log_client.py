"""HTTP client of the platform's log; the only module that knows its wire format."""

from dataclasses import dataclass
from typing import Any

import orjson
import urllib3

from arbutustally.bounded_head import bounded_pools
from arbutustally.errors import BadRequestError, HoleFoundError, LogUnavailableError, Ran
from arbutustally.logs import get_logger
from arbutustally.records import Record, decode

_log = get_logger("log_client")

#: Bounds the memory of one response of the log.
MAX_RESPONSE_BYTES = 64 << 20
_GONE = 410
_RETRY_AFTER_S = 1.0


@dataclass(frozen=True)
class ReadResult:
    """Records of one read.

    :ivar records: pairs of offset and record, ``None`` for a record that cannot be decoded.
    :ivar next: offset at which the next read starts.
    :ivar oldest: lowest offset that the log still has.
    """

    records: list[tuple[int, Record | None]]
    next: int
    oldest: int


class LogClient:
    """Appends and reads records; safe for several greenlets.

    :param url: base URL of the log.
    :param timeout_s: longest time to connect and to wait for the next data, seconds.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = bounded_pools(num_pools=1, maxsize=4, retries=False)

    @classmethod
    def from_config(cls, url: str, timeout_s: float) -> "LogClient":
        """Builds a client of the log at ``url``."""
        return cls(url, timeout_s)

    def append(self, records: list[Record]) -> int:
        """Appends records in order.

        :return: offset of the first one.
        :raises LogUnavailableError: ``may_have_run`` if the response was lost, ``not_run`` only if
            no byte reached the log or the log refused the append.
        """
        body = orjson.dumps({"records": [record.encode() for record in records]})
        data = self._call("POST", "/v1/append", body, self._timeout_s)
        offset = data.get("first_offset") if isinstance(data, dict) else None
        if type(offset) is not int or offset < 0:
            raise _unavailable("responded to an append without first_offset", Ran.MAY_HAVE_RUN)
        return offset

    def read(self, start: int, limit: int, wait_s: float) -> ReadResult:
        """Reads records from an offset.

        :param limit: largest number of records to return.
        :param wait_s: how long the log may wait for a first record, seconds.
        :raises HoleFoundError: if the log no longer has ``start``.
        :raises LogUnavailableError: if the log did not return a valid response.
        """
        path = f"/v1/records?from={start}&limit={limit}&wait_s={wait_s:.3f}"
        data = self._call("GET", path, None, self._timeout_s + wait_s)
        try:
            return _read_result(data, limit)
        except (KeyError, TypeError, ValueError) as error:
            raise _unavailable(
                f"sent a malformed response to a read ({error!r})", Ran.NOT_RUN
            ) from error

    def _call(self, method: str, path: str, body: bytes | None, timeout_s: float) -> Any:
        timeout = urllib3.Timeout(connect=self._timeout_s, read=timeout_s)
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            response = self._pool.request(
                method,
                self._url + path,
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
                redirect=False,
            )
            try:
                payload = response.read(MAX_RESPONSE_BYTES + 1)
            finally:
                response.release_conn()
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            raise _unavailable("cannot be reached", Ran.NOT_RUN) from None
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _unavailable(
                f"failed during a request ({type(error).__name__})", Ran.MAY_HAVE_RUN
            ) from error
        return _parse(response.status, payload)


def _parse(status: int, payload: bytes) -> Any:
    if len(payload) > MAX_RESPONSE_BYTES:
        raise _unavailable(f"sent more than {MAX_RESPONSE_BYTES} bytes", Ran.MAY_HAVE_RUN)
    try:
        data = orjson.loads(payload)
    except orjson.JSONDecodeError:
        data = None
    if status == _GONE:
        oldest = data.get("oldest") if isinstance(data, dict) else None
        if type(oldest) is int:
            message = f"the log has dropped records below {oldest}; read a checkpoint"
            raise HoleFoundError(message, oldest=oldest)
    if 400 <= status < 500:
        raise _unavailable(f"refused the request with status {status}", Ran.NOT_RUN)
    if status != 200 or data is None:
        raise _unavailable(f"responded with status {status}", Ran.MAY_HAVE_RUN)
    return data


def _read_result(data: Any, limit: int) -> ReadResult:
    rows = data["records"]
    if len(rows) > limit:
        raise ValueError(f"{len(rows)} records for a limit of {limit}")
    records = [(_offset(row["offset"]), _decode(row)) for row in rows]
    return ReadResult(records, _offset(data["next"]), _offset(data["oldest"]))


def _offset(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f"offset {value!r}")
    return value


def _decode(row: Any) -> Record | None:
    try:
        return decode(row)
    except BadRequestError as error:
        _log.warning(
            "skipped a record that cannot be decoded", offset=row["offset"], error=str(error)[:200]
        )
        return None


def _unavailable(problem: str, ran: Ran) -> LogUnavailableError:
    return LogUnavailableError(
        f"the log {problem}; check --log-url and the log, then retry",
        ran=ran,
        retry_after_s=_RETRY_AFTER_S,
    )
