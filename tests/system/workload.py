"""Callers and fault injection that several system tests share."""

import http.client
import random
import signal
import threading
import time

import fleet as f
import history


class BookingCaller(threading.Thread):
    """A caller that sends bookings with one idempotency key at a time through random routers.

    Each booking is sent up to three times. It is repeated most often after a lost or unknown outcome.
    """

    def __init__(self, fleet, index, seed, stop):
        super().__init__(daemon=True)
        self.fleet, self.index, self.stop = fleet, index, stop
        self.random = random.Random(seed * 1000 + index)
        self.calls = []
        self.start()

    def run(self):
        number = 0
        while not self.stop.is_set():
            key = f"booking-{self.index}-{number}-end"
            number += 1
            body = {"towels": self.random.randrange(100), "key": key}
            for _ in range(self.random.choice([1, 2, 3])):
                call = self.call(key, body)
                self.calls.append(call)
                if call.outcome == "answered" and self.random.random() < 0.8:
                    break

    def call(self, key, body):
        call = history.Call(key, str(body))
        router = self.random.choice(list(self.fleet.routers.values()))
        try:
            call.status, headers, answer = router.post(
                "/bookings", body, "atlas", {"Idempotency-Key": key}, timeout=4
            )
            call.outcome = headers.get("pomelospar-outcome", "lost")
            call.answer = answer
            call.replayed = "pomelospar-replayed" in headers
        except (OSError, http.client.HTTPException):
            time.sleep(0.05)
        return call


class FaultInjector:
    """Injects random faults into routers, services and the platform; the seed fixes their order."""

    def __init__(self, fleet, services, seed):
        self.fleet, self.services = fleet, services
        self.random = random.Random(seed)
        self.paused = []
        self.killed = []

    def step(self):
        action = self.random.choice(
            [self.kill, self.pause, self.start_outage, self.lose_platform_responses,
             self.lose_platform_requests, self.delay_platform, self.lose_service_answer,
             self.crash_service, self.heal, self.heal]
        )
        action()

    def routers(self):
        return [r for r in self.fleet.routers.values() if r.process.child.poll() is None]

    def kill(self):
        if len(self.routers()) > 2:
            router = self.random.choice(self.routers())
            router.kill()
            self.killed.append(router)

    def pause(self):
        router = self.random.choice(self.routers())
        router.process.signal(signal.SIGSTOP)
        self.paused.append(router)

    def start_outage(self):
        self.fleet.platform_faults(outage=self.random.choice(["reject", "hang", "close"]))

    def lose_platform_responses(self):
        self.fleet.platform_faults(lose_responses=self.random.randrange(1, 6))

    def lose_platform_requests(self):
        self.fleet.platform_faults(lose_before_write=self.random.randrange(1, 4))

    def delay_platform(self):
        self.fleet.platform_faults(delay_ms=self.random.choice([50, 300]))

    def service_fault(self, kind):
        address = self.random.choice(self.services)["address"]
        body = {"fault": {"kind": kind, "count": self.random.randrange(1, 4)}}
        f.request(address, "POST", "/control", body, timeout=2)

    def lose_service_answer(self):
        self.service_fault("lose_answer")

    def crash_service(self):
        self.service_fault(self.random.choice(["crash", "crash_after_run"]))

    def heal(self):
        self.fleet.platform_faults(outage="none", delay_ms=1)
        for router in self.paused:
            router.process.signal(signal.SIGCONT)
        self.paused.clear()
        for router in self.killed:
            router.start()
        self.killed.clear()


class ChatCaller(threading.Thread):
    """Sends chats, streamed or not, through random routers and checks that each response is its own."""

    def __init__(self, fleet, index, seed, stop, tokens=(1, 30)):
        super().__init__(daemon=True)
        self.fleet, self.index, self.stop, self.tokens = fleet, index, stop, tokens
        self.random = random.Random(seed * 7919 + index)
        # `outcomes` counts responses by outcome or status; `wrong` has a message for each violation.
        self.outcomes = {}
        self.wrong = []
        self.start()

    def run(self):
        number = 0
        while not self.stop.is_set():
            number += 1
            self.call(f"nonce-{self.index}-{number}-end")

    def call(self, nonce):
        stream = self.random.random() < 0.5
        tokens = self.random.randint(*self.tokens)
        body = f.chat_body(f"prompt of {nonce}", tokens, stream, f"caller-{self.index}", nonce)
        router = self.random.choice(list(self.fleet.routers.values()))
        try:
            status, headers, content = router.post(
                "/v1/chat/completions", body, "atlas", timeout=20)
        except (OSError, http.client.HTTPException):
            # Visibly truncated or not sent: the caller can't take it for a response.
            self.count("cut")
            time.sleep(0.02)
            return
        self.count(headers.get("pomelospar-outcome", "stream") if status == 200 else str(status))
        if status == 200:
            self.check(nonce, stream, content)

    def count(self, outcome):
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    def check(self, nonce, stream, content):
        if nonce.encode() not in content:
            self.wrong.append(f"{nonce} got a foreign answer: {content[:200]!r}")
        if stream and not content.endswith(b"data: [DONE]\n\n"):
            self.wrong.append(f"{nonce} got a stream that looks whole without its end")
