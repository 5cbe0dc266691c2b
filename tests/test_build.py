"""The build of the deploy file and of the tests, with an installer that only notes its calls."""

import os
import platform
import shutil
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ("deploy", "packages", "platform", "requirements")
#: Stands in for the interpreter of a virtual environment and for its installer.
NOTING = '#!/bin/sh\n[ "$1" != install ] || echo installed >>installs\n'
#: Stands in for the interpreter: installs one file, and notes it.
PYTHON = f"""#!/bin/sh
if [ "$1 $2" = "-m pip" ]; then
    mkdir -p target/deps && touch target/deps/installed && echo installed >>installs
    exit 0
fi
if [ "$1 $2" = "-m venv" ]; then
    mkdir -p "$3/bin" && cp noting "$3/bin/python" && cp noting "$3/bin/pip"
    exit 0
fi
exec {sys.executable} "$@"
"""


class BuildTest(unittest.TestCase):
    def setUp(self) -> None:
        self.root = Path(tempfile.mkdtemp(prefix="build-"))
        self.addCleanup(shutil.rmtree, self.root)
        for name in SOURCES:
            shutil.copytree(ROOT / name, self.root / name, ignore=shutil.ignore_patterns("*.pyc"))
        python = self.root / "bin" / "python3"
        python.parent.mkdir()
        python.write_text(PYTHON)
        python.chmod(0o755)

    def build(self) -> int:
        """Builds, and returns how often the packages were installed so far."""
        command = tomllib.loads((self.root / "deploy" / "system.toml").read_text())["build"]
        path = f"{self.root / 'bin'}:{os.environ['PATH']}"
        subprocess.run(
            command, shell=True, cwd=self.root, env={**os.environ, "PATH": path}, check=True
        )
        installs = self.root / "installs"
        return len(installs.read_text().split()) if installs.exists() else 0

    def test_folder_from_another_machine_is_built_anew(self) -> None:
        """Guards against compiled modules of another processor, with which no node starts."""
        foreign = self.root / "target" / "deps" / "foreign.so"
        foreign.parent.mkdir(parents=True)
        foreign.touch()
        (foreign.parent / ".built").touch()
        self.assertEqual(self.build(), 1)
        self.assertFalse(foreign.exists())

    def test_folder_of_this_machine_is_kept(self) -> None:
        """Guards against packages that are installed again at each build."""
        self.assertEqual(self.build(), 1)
        self.assertEqual(self.build(), 1)
        self.assertTrue((self.root / "target" / "deps" / "arbutustally_node").is_dir())

    def test_environment_from_another_machine_is_set_up_anew(self) -> None:
        """Guards against an interpreter of another processor, with which no test runs."""
        noting = self.root / "noting"
        noting.write_text(NOTING)
        noting.chmod(0o755)
        shutil.copy(ROOT / "setup-venv", self.root)
        self.set_up()
        self.assertEqual(self.set_up(), 2)
        (self.root / ".venv" / "bin" / "python").write_bytes(b"\x7fELF of another machine")
        for stamp in (self.root / ".venv").glob(".installed-*"):
            stamp.rename(stamp.with_name(stamp.name.replace(platform.machine(), "other")))
        self.assertEqual(self.set_up(), 4)

    def set_up(self) -> int:
        """Sets up the virtual environment, and returns how often packages were installed so far."""
        path = f"{self.root / 'bin'}:{os.environ['PATH']}"
        variables = {**os.environ, "PATH": path, "ARBUTUSTALLY_VENV": ".venv"}
        subprocess.run(["./setup-venv", "dev"], cwd=self.root, env=variables, check=True)
        return len((self.root / "installs").read_text().split())

    def test_changed_requirements_are_installed(self) -> None:
        """Guards against packages of before a change of the requirements."""
        self.build()
        pins = self.root / "requirements" / "runtime.txt"
        pins.write_text(pins.read_text() + "# changed\n")
        self.assertEqual(self.build(), 2)
