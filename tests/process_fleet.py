"""A fleet of processes for the tests of a class, and calls to it."""

import unittest

import urllib3

from arbutustally_standins.idempotency import new_uuid7
from tests.fleet import Fleet

GUIDE = "Chalk paint washes off in rain; stencils come in five grids. " * 60
CHAT = "/v1/chat/completions"

HTTP = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(connect=5, read=30))


def chat_body(question: str, tokens: int = 12) -> dict:
    messages = [{"role": "system", "content": GUIDE}, {"role": "user", "content": question}]
    return {"model": "marelle", "messages": messages, "max_tokens": tokens}


def engine_text(fleet: Fleet, question: str, tokens: int) -> str:
    """Returns what an engine itself answers, without the router."""
    engine = next(iter(fleet.engines.values()))
    body = {**chat_body(question, tokens), "request_id": new_uuid7(), "stream": False}
    answer = HTTP.request("POST", f"http://{engine.address}{CHAT}", json=body)
    return answer.json()["choices"][0]["message"]["content"]


class FleetCase(unittest.TestCase):
    """A fleet for all tests of a class."""

    SIZES: dict = {}

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet.from_config(**cls.SIZES)
        cls.addClassCleanup(cls.fleet.stop)
        applied = cls.fleet.apply()
        if applied.returncode:
            raise AssertionError(applied.stderr)
        cls.key, cls.key_id = cls.fleet.issue_key()
        cls.fleet.wait_serving(cls.key)

    def headers(self, key: str = "") -> dict[str, str]:
        return {"Authorization": f"Bearer {key or self.key}"}

    def call(self, node: str, path: str, body: object, **headers: str) -> tuple[int, dict]:
        url = f"http://{self.fleet.nodes[node].address}{path}"
        sent = {**self.headers(), **{k.replace("_", "-"): v for k, v in headers.items()}}
        answer = HTTP.request("POST", url, json=body, headers=sent)
        return answer.status, answer.json()
