"""TLS, the fleet key, the admin token and the operator's tool against a running fleet."""

import http.client
import re
import signal
import socket
import ssl
import subprocess
import time
import unittest
import warnings

import fleet as f

FLEET_KEYS = ["first-key-" + "a" * 32, "second-key-" + "b" * 32]


def make_certificate(folder, name):
    """A self-signed certificate for 127.0.0.1; returns the paths of certificate and key."""
    certificate, key = folder / f"{name}.crt", folder / f"{name}.pem"
    subprocess.run(
        ["openssl", "req", "-x509", "-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1",
         "-nodes", "-days", "2", "-subj", f"/CN={name}", "-addext",
         "subjectAltName=IP:127.0.0.1", "-out", certificate, "-keyout", key],
        check=True, capture_output=True)
    return certificate, key


def tls_connection(router, trusted):
    ip, port = router.caller.split(":")
    context = ssl.create_default_context(cafile=trusted)
    return http.client.HTTPSConnection(ip, int(port), timeout=10, context=context)


def ask_once(router, trusted):
    connection = tls_connection(router, trusted)
    try:
        return ask(connection)
    finally:
        connection.close()


def ask(connection):
    headers = {"Authorization": f"Bearer {f.api_key('atlas')}"}
    connection.request("GET", "/orders/1", headers=headers)
    response = connection.getresponse()
    response.read()
    return response.status


def metric(router, name):
    found = re.search(rf"^{re.escape(name)} (\S+)$", router.metrics(), re.M)
    if not found:
        # Gauges are first set after up to a second; `wait_until` retries after this error.
        raise RuntimeError(f"{router.name} has no metric {name}")
    return float(found.group(1))


def rejected(router, reason):
    return metric(router, f'pomelospar_control_rejected{{reason="{reason}"}}')


def live_members(router):
    return metric(router, "pomelospar_live_members")


class SecurityTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        # A failure below must not leave processes behind.
        self.addCleanup(self.fleet.stop)
        self.folder = self.fleet.folder
        (self.folder / "fleet.key").write_text(FLEET_KEYS[0])
        (self.folder / "previous.key").write_text("")
        self.fleet.start_platform()
        self.services = self.fleet.start_runners("service_stand_in", "service", ["a"], 8)

    def start(self, **extra):
        """Starts routers r0, r1 and r2, one in each domain, and applies the document."""
        for index, domain in enumerate("abc"):
            previous = {"previous_fleet_key_file": str(self.folder / "previous.key")}
            self.fleet.add_router(f"r{index}", domain, **previous, **extra)
        for router in self.fleet.routers.values():
            router.start()
        self.fleet.apply_and_wait(self.document())
        self.routers = list(self.fleet.routers.values())
        self.wait_members(3)

    def document(self, share=1.0):
        return f.fleet_document({"atlas": {"share": share}}, [f.service_upstream(self.services)],
                                f.STANDARD_ROUTES[1:])

    def wait_members(self, count):
        for router in self.routers:
            f.wait_until(lambda r=router: live_members(r) == count, 15,
                         f"{router.name} sees {count} routers")

    def reload_routers(self):
        for router in self.routers:
            router.process.signal(signal.SIGHUP)
        time.sleep(0.5)

    # Guards against a caller port that accepts plain HTTP or presents the wrong certificate, that keeps
    # the old certificate after a reload, or that stops serving after a reload of an invalid file.
    def test_tls_with_reload(self):
        first = make_certificate(self.folder, "first")
        second = make_certificate(self.folder, "second")
        used = (self.folder / "used.crt", self.folder / "used.pem")

        def install(files):
            for source, target in zip(files, used):
                target.write_bytes(source.read_bytes())

        install(first)
        self.start(tls={"certificate_file": str(used[0]), "private_key_file": str(used[1])})
        router = self.routers[0]
        old = tls_connection(router, first[0])
        self.addCleanup(old.close)
        self.assertEqual(ask(old), 200)
        with self.assertRaises(ssl.SSLCertVerificationError):
            ask_once(router, second[0])
        with self.assertRaises((OSError, http.client.HTTPException)):
            f.request(router.caller, "GET", "/orders/1", timeout=5)
        install(second)
        self.assertEqual(ask_once(router, first[0]), 200)
        self.reload_routers()
        self.assertEqual(ask_once(router, second[0]), 200)
        with self.assertRaises(ssl.SSLCertVerificationError):
            ask_once(router, first[0])
        self.assertEqual(ask(old), 200, "a connection from before the reload goes on")
        used[0].write_text("no certificate")
        self.reload_routers()
        self.assertEqual(ask_once(router, second[0]), 200)
        self.assertIn("the old content stays", router.process.log())

    # Guards against a caller port that serves a client of an outdated TLS version.
    def test_old_tls_version_is_refused(self):
        certificate, key = make_certificate(self.folder, "first")
        self.start(tls={"certificate_file": str(certificate), "private_key_file": str(key)})
        context = ssl.create_default_context(cafile=certificate)
        # Lowers the client's own requirements, so that only the server can refuse.
        context.set_ciphers("ALL:@SECLEVEL=0")
        with warnings.catch_warnings():
            warnings.simplefilter("ignore", DeprecationWarning)
            context.minimum_version = context.maximum_version = ssl.TLSVersion.TLSv1_1
        ip, port = self.routers[0].caller.split(":")
        with socket.create_connection((ip, int(port)), timeout=5) as plain:
            with self.assertRaises(ssl.SSLError) as caught:
                context.wrap_socket(plain, server_hostname=ip)
        self.assertIn("ALERT", str(caught.exception).upper())

    # Guards against a router with another fleet key that becomes a member or gets an answer, and against
    # rejected messages that no metric counts.
    def test_foreign_fleet_key(self):
        self.start()
        (self.folder / "foreign.key").write_text("foreign-key-" + "c" * 32)
        foreign = self.fleet.add_router("foreign", "a",
                                        fleet_key_file=str(self.folder / "foreign.key"))
        foreign.start()
        f.wait_until(lambda: sum(rejected(r, "unknown_key") for r in self.routers) >= 3, 15,
                     "the foreign router is rejected and counted")
        time.sleep(2)
        self.assertEqual(live_members(foreign), 1)
        self.assertEqual(metric(foreign, "pomelospar_control_received_bytes"), 0, "no answer")
        for router in self.routers:
            _, answer = router.admin_call("GET", "/v1/members")
            addresses = [member["address"] for member in answer["members"]]
            self.assertNotIn(foreign.control, addresses)
            self.assertEqual(live_members(router), 3)

    # Guards against a rotation of the fleet key in which a message is rejected or a router is lost,
    # and against an old key that is still accepted afterwards.
    def test_rotation_of_the_fleet_key(self):
        self.start()
        before = [rejected(router, "unknown_key") for router in self.routers]
        stages = [(FLEET_KEYS[0], FLEET_KEYS[1]), (FLEET_KEYS[1], FLEET_KEYS[0]),
                  (FLEET_KEYS[1], "")]
        for current, previous in stages:
            (self.folder / "fleet.key").write_text(current)
            (self.folder / "previous.key").write_text(previous)
            for router in self.routers:
                router.process.signal(signal.SIGHUP)
                # Routers reload one after another, so the fleet runs with both settings meanwhile.
                self.watch_members(1.5)
        # Longer than a silent router remains a member.
        self.watch_members(5)
        self.assertEqual([rejected(router, "unknown_key") for router in self.routers], before)
        status, answer = self.fleet.apply(self.document(share=2.0))
        self.assertEqual(status, 200, answer)
        for router in self.routers:
            f.wait_until(lambda r=router: r.status()["generation"] == answer["generation"], 5,
                         "the fleet goes on")
        (self.folder / "old.key").write_text(FLEET_KEYS[0])
        late = self.fleet.add_router("late", "a", fleet_key_file=str(self.folder / "old.key"))
        late.start()
        f.wait_until(lambda: rejected(self.routers[0], "unknown_key") > before[0], 15,
                     "the old key is rejected")
        self.assertEqual(live_members(self.routers[0]), 3)

    def watch_members(self, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self.assertEqual([live_members(router) for router in self.routers], [3, 3, 3])
            time.sleep(0.1)

    # Guards against an admin action without the operator's token, and against an old token that
    # still works after it was replaced.
    def test_admin_token(self):
        self.start()
        router = self.routers[0]
        runner = self.services[0]["address"]
        calls = [("GET", "/v1/status", None), ("GET", "/v1/configuration", None),
                 ("POST", "/v1/configuration/apply", {"document": "", "file": "x"}),
                 ("POST", "/v1/configuration/rollback", {"generation": 1}),
                 ("POST", "/v1/runners/drain", {"address": runner}),
                 ("POST", "/v1/faults", {"block_platform": True}),
                 ("DELETE", "/v1/quarantine/x", None), ("GET", "/v1/no-such-path", None)]
        tokens = ["", "Bearer", "Bearer wrong", f"Bearer {f.ADMIN_TOKEN}x", f.ADMIN_TOKEN,
                  f"Bearer {f.api_key('atlas')}"]
        for method, path, body in calls:
            for token in tokens:
                with self.subTest(path=path, token=token):
                    headers = {"Authorization": token}
                    status, _, _ = f.request(router.admin, method, path, body, headers)
                    self.assertEqual(status, 401)
        _, answer = router.admin_call("GET", "/v1/upstreams")
        self.assertEqual(answer["upstreams"][0]["runners"][0]["state"], "live")
        self.assertTrue(router.status()["platform_reachable"])
        (self.folder / "admin.token").write_text("replaced-token")
        self.reload_routers()
        self.assertEqual(router.admin_call("GET", "/v1/status")[0], 401)
        headers = {"Authorization": "Bearer replaced-token"}
        self.assertEqual(f.request(router.admin, "GET", "/v1/status", headers=headers)[0], 200)

    def tool(self, *arguments, router=None, token="admin.token"):
        router = router or self.routers[0]
        result = subprocess.run(
            [f.BINARIES / "pomelosparctl", f"--server={router.admin}",
             f"--token_file={self.folder / token}", "--timeout=10", *map(str, arguments)],
            capture_output=True, text=True, timeout=60, check=False)
        return result.returncode, result.stdout, result.stderr

    # Guards against exit codes of pomelosparctl by which a script takes a failed change for a success.
    def test_exit_codes_of_the_tool(self):
        self.start()
        good, bad = self.folder / "good.toml", self.folder / "bad.toml"
        good.write_text(self.document(share=2.0))
        broken = self.document().replace("share = 1.0", "share = -1.0")
        bad.write_text(broken.replace('upstream = "desk"', 'upstream = "nowhere"', 1))
        self.assertEqual(self.tool("validate", good)[0], 0)
        code, _, errors = self.tool("validate", bad)
        self.assertEqual(code, 2)
        # All errors in one pass, each with its line.
        self.assertRegex(errors, r"bad\.toml:\d+.*share")
        self.assertRegex(errors, r"bad\.toml:\d+.*upstream")
        self.assertEqual(self.tool("apply", bad)[0], 2)
        self.assertEqual(self.routers[0].status()["generation"], 1)
        self.assertEqual(self.tool("apply", good, "--expect_generation=7")[0], 3)
        code, output, _ = self.tool("apply", good, "--expect_generation=1")
        self.assertEqual(code, 0)
        self.assertIn("generation 2", output)
        code, output, _ = self.tool("status", "--json")
        self.assertEqual(code, 0)
        self.assertIn('"generation": 2', output)
        self.assertEqual(self.tool("apply", self.folder / "absent.toml")[0], 1)
        self.assertEqual(self.tool("no-such-command")[0], 1)
        (self.folder / "wrong.token").write_text("wrong")
        self.assertEqual(self.tool("status", token="wrong.token")[0], 4)
        good.write_text(self.document(share=3.0))
        self.assertEqual(self.tool("apply", good, token="wrong.token")[0], 4)
        self.fleet.platform_faults(outage="reject")
        self.assertEqual(self.tool("apply", good)[0], 4)
        self.fleet.platform_faults(outage="none")
        self.assertEqual(self.routers[0].status()["generation"], 2)
        self.routers[2].kill()
        self.assertEqual(self.tool("status", router=self.routers[2])[0], 4)


if __name__ == "__main__":
    unittest.main(verbosity=2)
