"""All nodes restart at once, with the log up and with it down."""

import unittest

import urllib3

from tests.fleet import Fleet, wait_for

_http = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(connect=2, read=10))


class HerdTest(unittest.TestCase):
    """Guards against a herd restart that revives a withdrawn key or an older configuration."""

    def setUp(self) -> None:
        self.fleet = Fleet.from_config(nodes=4)
        self.addCleanup(self.fleet.stop)
        applied = self.fleet.apply()
        self.assertEqual(applied.returncode, 0, applied.stderr)
        self.key, _ = self.fleet.issue_key()
        self.withdrawn, key_id = self.fleet.issue_key()
        self.fleet.wait_serving(self.key)
        finished = self.fleet.command("keys", "withdraw", key_id)
        self.assertEqual(finished.returncode, 0, finished.stderr)
        self.version = self.fleet.status_of("node-1")["version"]

    def _restart_all(self) -> None:
        for node in self.fleet.nodes.values():
            node.kill()
        for name in list(self.fleet.nodes):
            self.fleet.add_node(name)

    def _models(self, name: str, key: str) -> tuple[int, str, str]:
        node = self.fleet.nodes[name]
        headers = {"Authorization": f"Bearer {key}"}
        try:
            answer = _http.request("GET", f"http://{node.address}/v1/models", headers=headers)
        except urllib3.exceptions.HTTPError:
            return 0, "", ""
        error = answer.json().get("error", {})
        return answer.status, error.get("code", ""), error.get("ran", "")

    def _wait_all_serve(self) -> None:
        for name in self.fleet.nodes:
            wait_for(lambda name=name: self._serves_and_keeps_out(name), f"{name} to serve")

    def _serves_and_keeps_out(self, name: str) -> bool:
        self.assertNotEqual(self._models(name, self.withdrawn)[0], 200)
        status = self.fleet.status_of(name)
        if status is not None:
            self.assertIn(status["version"], (-1, self.version))
        return self._models(name, self.key)[0] == 200

    def test_nodes_serve_again_from_the_log(self) -> None:
        self._restart_all()
        self._wait_all_serve()
        for name in self.fleet.nodes:
            self.assertEqual(self.fleet.status_of(name)["version"], self.version)
            self.assertEqual(self._models(name, self.withdrawn)[:2], (401, "key_invalid"))
        self.fleet.wait_serving(self.key)

    def test_nodes_without_log_and_peers_refuse_truly_and_recover(self) -> None:
        self.fleet.fault(self.fleet.log, outage=True)
        self._restart_all()
        for name in self.fleet.nodes:
            refused = wait_for(
                lambda name=name: self._models(name, self.key)[0] and self._models(name, self.key),
                f"{name} to answer",
            )
            self.assertEqual(refused, (503, "no_configuration", "not_run"))
        self.fleet.fault(self.fleet.log, outage=False)
        self._wait_all_serve()
        self.fleet.wait_serving(self.key)
