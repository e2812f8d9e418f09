"""The process of a target monitor, with real signals."""

import json
from os import getpid
from signal import SIGTERM
from subprocess import PIPE, Popen
from sys import executable

HOST = f"127.75.{1 + getpid() // 250 % 250}.{1 + getpid() % 250}"
SETTINGS = {
    "node-name": "side-1",
    "ip": HOST,
    "port-range": [7600, 7602],
    "app": f"{HOST}:8000",
    "service": "s",
    "zone": "fd-a",
}


class TestSigterm:
    def test_process_ends_by_itself(self, tmp_path):
        """It holds no requests, so that nothing has to be waited for."""
        path = tmp_path / "vm.json"
        path.write_text(json.dumps(SETTINGS))
        command = [executable, "-m", "berylwalk.monitor", "--settings", str(path)]
        with Popen(command, stdout=PIPE) as process:
            started = json.loads(process.stdout.readline())
            process.send_signal(SIGTERM)
            events = [json.loads(line)["event"] for line in process.stdout]
        assert (started["event"], events) == ("started", ["stopped"])
        assert process.returncode == 0
