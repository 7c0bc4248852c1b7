"""Runs azurerock-ctl against the stand-in store and fake entries."""
import base64
import http.server
import json
import os
import shutil
import subprocess
import tempfile
import threading

from process_testing import ROOT, StoreTestCase, program_path

RUN_TIMEOUT_S = 30
PARTITIONS = 64


class FakeEntry:
    """Answers /v1/status with a revision that the test sets, up to @n_answers times if it isn't
    None; later requests get no response."""

    def __init__(self, incarnation, revision, n_answers=None):
        self.incarnation = incarnation
        self.revision = revision
        self.n_answers = n_answers
        self.stopped = threading.Event()
        entry = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                if not entry.take_answer():
                    entry.stopped.wait()
                    return
                body = json.dumps({"incarnation": str(entry.incarnation),
                                   "revision": entry.revision}).encode()
                self.send_response(200 if self.path == "/v1/status" else 404)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def take_answer(self):
        """Returns whether the next request gets a response."""
        if self.n_answers is None:
            return True
        self.n_answers -= 1
        return self.n_answers >= 0

    def stop(self):
        self.stopped.set()
        self.server.shutdown()
        self.server.server_close()


class CtlTestCase(StoreTestCase):
    def setUp(self):
        super().setUp()
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder)

    def copy_example(self, name="theatre", copy="objects"):
        target = os.path.join(self.folder, copy)
        shutil.copytree(os.path.join(ROOT, "examples", name), target)
        return target

    def start_ctl(self, *arguments):
        return subprocess.Popen(
            [program_path("azurerock-ctl"), "--store", self.store.address, *arguments],
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)

    def finish(self, process):
        out, err = process.communicate(timeout=RUN_TIMEOUT_S)
        return process.returncode, out, err

    def ctl(self, *arguments):
        return self.finish(self.start_ctl(*arguments))

    def set_roster(self, version, members):
        """members: list of (FakeEntry or address, incarnation, joined)"""
        roster = [{"incarnation": str(incarnation), "instance": f"entry-{incarnation}",
                   "domain": "north", "rpc_address": "127.0.0.1:1",
                   "http_address": getattr(entry, "address", entry), "joined": joined}
                  for entry, incarnation, joined in members]
        owner = {"owner": str(members[0][1]), "from_ms": 0, "previous": "0"}
        table = {"version": version, "roster": roster, "partitions": [owner] * PARTITIONS}
        answer = self.call("PUT", "/v1/kv/azurerock/owners", json.dumps(table))
        self.assertEqual(answer.json(), True)

    def add_entry(self, incarnation, revision, n_answers=None):
        entry = FakeEntry(incarnation, revision, n_answers)
        self.addCleanup(entry.stop)
        return entry

    def stored(self):
        answer = self.call("GET", "/v1/kv/azurerock/config")
        return None if answer.status == 404 else self.decode(answer)

    @staticmethod
    def decode(answer):
        return json.loads(base64.b64decode(answer.json()[0]["Value"]))

    def edit(self, directory, name, change):
        path = os.path.join(directory, "objects", name)
        with open(path, encoding="utf-8") as file:
            objects = json.load(file)
        change(objects)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(objects, file)

    def set_quota(self, directory, quota):
        self.edit(directory, "teams.json", lambda teams: teams[0].update(quota_slots=quota))
