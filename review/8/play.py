"""Case 8: spoiled answers of endpoints are passed on: as a success with another body, or as bytes that are no answer."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness_2 as h  # noqa: E402

# garble of the site file: share 0.6 of the endpoints, 0.05 of their answers, 5 s. Here 2 of 4 endpoints.
TROUBLE_S = 5.0
ONE_IN = 20


class Answers:
    """The answers of one endpoint: in two chunks (RFC 9112, section 7.1), or with a length.

    While it spoils them, one in 20 is not a response: a chunk lacks a byte, or one byte of the head is another one."""

    def __init__(self, chunked):
        self.chunked = chunked
        self.count = 0
        self.spoils = False
        self.bodies = {}

    def answer(self, endpoint, request, fields, body):
        self.bodies[request] = body
        self.count += 1
        spoils = self.spoils and self.count % ONE_IN == 0
        reply = self.in_chunks(fields, body, spoils) if self.chunked else self.with_length(fields, body, spoils)
        if spoils:
            endpoint.record("endpoint %s: spoils its answer to %s: %r" % (endpoint.id, request, reply))
        return reply

    @staticmethod
    def in_chunks(fields, body, spoils):
        first, second = body[:20], body[20:]
        sent = first[:10] + first[11:] if spoils else first
        head = "HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % item for item in fields.items())
        return (head.encode("latin-1") + b"Transfer-Encoding: chunked\r\n\r\n" + b"%x\r\n" % len(first) + sent + b"\r\n"
                + b"%x\r\n" % len(second) + second + b"\r\n0\r\n\r\n")

    def with_length(self, fields, body, spoils):
        whole = h.Endpoint.encode(200, fields, body)
        if not spoils:
            return whole
        if self.count // ONE_IN % 2 == 0:
            return whole.replace(b"HTTP/1.1 200 ", b"HTTP/1.1 2000", 1)
        return whole.replace(b"X-Server-Stamp: ", b"X-Server Stamp: ", 1)


def case(record, started):
    system = h.Deployment(record, core=5, fronts=2)
    started.append(system)
    system.start_all()
    system.order("POST", "/Config.Put", h.configuration(1))
    endpoints = [h.Endpoint(record, system, i, zone=zone) for i, zone in
                 enumerate(["hakata", "kokura", "hakata", "kokura"])]
    answers = [Answers(chunked=i % 2 == 0) for i in range(len(endpoints))]
    for endpoint, own in zip(endpoints, answers):
        endpoint.spoil = own.answer
    system.wait_until_ready()
    time.sleep(3.0)
    breaks = []
    lock = threading.Lock()
    stop_at = time.monotonic() + 3.0 + TROUBLE_S + 3.0

    def run_client(front, method, path, body):
        client = h.Client(record, (front[1], h.FRONT))
        while time.monotonic() < stop_at:
            request, answer = client.send(method, path, body)
            whole = next((own.bodies[request] for own in answers if request in own.bodies), None)
            if answer.status == 200 and answer.body != whole:
                with lock:
                    breaks.append("%s got 200 with the body %r; the endpoint's body is %r" % (request, answer.body, whole))
            elif answer.wrong:
                with lock:
                    breaks.append("%s got bytes that are no answer: %s" % (request, answer.wrong))
            time.sleep(0.05)
        client.close()

    kinds = [("GET", "/status/1", b""), ("POST", "/order/1", b"lamp")]
    threads = [threading.Thread(target=run_client, args=(system.fronts[i % 2], *kinds[i // 2 % 2])) for i in range(8)]
    for thread in threads:
        thread.start()
    time.sleep(3.0)
    for own in answers[:2]:
        own.spoils = h.TROUBLE
    time.sleep(TROUBLE_S)
    for own in answers:
        own.spoils = False
    for thread in threads:
        thread.join()
    return breaks


sys.exit(h.play(FOLDER, case))
