"""Connections of pomelospard to a runner that repeats its responses late."""

import unittest

import fleet as f
from raw_runner import RawRunner

REQUESTS = 12

class RepeatingRunner(RawRunner):
    """Answers each request with its path. On a connection in use again it first repeats the response before."""

    def __init__(self, repeats, echoes):
        self.repeats, self.echoes = repeats, echoes
        self.connections = 0
        self.previous = {}
        super().__init__()

    def respond(self, connection, request):
        previous = self.previous.get(connection, b"")
        if not previous:
            self.connections += 1
        elif self.repeats:
            connection.sendall(previous)
        path, identifier = request["path"], request["headers"][b"pomelospar-request-id"]
        echo = b"Pomelospar-Request-Id: %b\r\n" % identifier if self.echoes else b""
        response = b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (echo, len(path), path)
        self.previous[connection] = response
        connection.sendall(response)
        return True

class ConnectionReuseTest(unittest.TestCase):
    def play(self, repeats, echoes, headers=None):
        """Sends requests one after the other; returns the runner and the pairs of path and response."""
        runner = RepeatingRunner(repeats, echoes)
        self.addCleanup(runner.listener.close)
        fleet = self.enterContext(f.Fleet())
        fleet.start_platform()
        router = fleet.start_routers(["a"])[0]
        runners = [{"address": runner.address, "domain": "a", "slots": 4}]
        fleet.apply_and_wait(
            f.fleet_document({"atlas": {}}, [f.service_upstream(runners)], f.STANDARD_ROUTES[1:]))

        answers = []
        for number in range(REQUESTS):
            path = f"/orders/{number}"
            status, _, content = router.post(path, {}, "atlas", headers=headers)
            answers.append((path, status, content.decode()))
        return runner, answers

    # Guards against a late second response that the next caller gets, from a runner that echoes no identifier.
    def test_a_late_response_reaches_no_other_caller(self):
        _, answers = self.play(repeats=True, echoes=False)
        self.assertEqual(answers, [(path, 200, path) for path, _, _ in answers])

    # The same for a runner that echoes the identifier: connections are reused, so a request may fail, but it
    # gets no foreign response.
    def test_a_late_response_with_an_identifier_reaches_no_other_caller(self):
        _, answers = self.play(repeats=True, echoes=True)
        self.assertEqual([a for a in answers if a[1] == 200 and a[0] != a[2]], [])
        self.assertIn(200, [status for _, status, _ in answers])

    # Guards against a new connection for each request to a runner whose responses name their requests.
    def test_connections_are_reused_where_responses_name_their_requests(self):
        runner, answers = self.play(repeats=False, echoes=True)
        self.assertEqual([status for _, status, _ in answers], [200] * REQUESTS)
        self.assertLess(runner.connections, REQUESTS // 2)

    # Guards against a failure of every request of a caller that sends the header itself, as another router
    # of this kind before this one does: the runner would copy that identifier.
    def test_the_identifier_of_the_caller_is_not_passed_on(self):
        _, answers = self.play(repeats=False, echoes=True, headers={"Pomelospar-Request-Id": "0123456789abcdef"})
        self.assertEqual([status for _, status, _ in answers], [200] * REQUESTS)

if __name__ == "__main__":
    unittest.main(verbosity=2)
