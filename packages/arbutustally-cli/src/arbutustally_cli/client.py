"""Client of a node's operator interface."""

from typing import Any

import orjson
import urllib3

from arbutustally.bounded_head import bounded_pools
from arbutustally.errors import NodeUnreachableError, Ran, RouterError

MAX_ANSWER_BYTES = 64 << 20


def _error_classes() -> dict[str, type[RouterError]]:
    return {cls.code: cls for cls in RouterError.__subclasses__()}


class OperatorClient:
    """Calls one node.

    :param node: operator address, host:port.
    :param token: operator credential.
    :param timeout_s: for connecting and for each silence, in seconds.
    """

    def __init__(self, node: str, token: str, timeout_s: float) -> None:
        self._node = node
        self._token = token
        self._timeout_s = timeout_s
        self._pool = bounded_pools(retries=False)

    @property
    def node(self) -> str:
        """Returns the operator address."""
        return self._node

    def call(
        self, method: str, path: str, body: dict[str, Any] | None = None, longest_s: float = 0.0
    ) -> dict[str, Any]:
        """Calls the interface.

        :param longest_s: time that the node may take by design, where that exceeds the timeout.
        :raises RouterError: the node's own typed error, or ``NodeUnreachableError``.
        """
        headers = {"Authorization": f"Bearer {self._token}", "Content-Type": "application/json"}
        timeout = urllib3.Timeout(connect=self._timeout_s, read=max(self._timeout_s, longest_s))
        try:
            answer = self._pool.request(
                method,
                f"http://{self._node}{path}",
                body=orjson.dumps(body) if body is not None else None,
                headers=headers,
                timeout=timeout,
                preload_content=False,
                redirect=False,
            )
            payload = answer.read(MAX_ANSWER_BYTES)
            answer.release_conn()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise self._unreachable(method, error) from error
        return self._parse(answer.status, payload)

    def _unreachable(self, method: str, error: Exception) -> NodeUnreachableError:
        never_sent = (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.LocationValueError,
        )
        if method == "GET" or isinstance(error, never_sent):
            remedy = "check --node and that the node is running"
            ran = Ran.NOT_RUN
        else:
            remedy = "it may have taken effect; look at history, or run the command again"
            ran = Ran.MAY_HAVE_RUN
        kind = type(error).__name__
        return NodeUnreachableError(f"node {self._node} did not answer ({kind}); {remedy}", ran=ran)

    def _parse(self, status: int, payload: bytes) -> dict[str, Any]:
        try:
            data = orjson.loads(payload)
        except orjson.JSONDecodeError:
            data = None
        if not isinstance(data, dict):
            raise RouterError(
                f"{self._node} answered status {status} without JSON; check that --node is an "
                "operator address"
            )
        fault = data.get("error")
        if status != 200 or isinstance(fault, dict):
            raise _error_of(fault if isinstance(fault, dict) else {}, status)
        return data


def _error_of(fault: dict[str, Any], status: int) -> RouterError:
    code = str(fault.get("code", "internal"))
    cls = _error_classes().get(code, RouterError)
    message = str(fault.get("message", f"status {status}"))
    ran = fault.get("ran")
    error = cls(
        message,
        ran=Ran(ran) if ran in tuple(Ran) else Ran.MAY_HAVE_RUN,
        retry_after_s=fault.get("retry_after_s"),
    )
    error.code = code
    return error
