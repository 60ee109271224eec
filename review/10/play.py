"""Case 10: a request that the entry has given up reaches its endpoint many seconds later, when it has drained."""

import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness_2 as h  # noqa: E402

# node_cut, how = servers: the endpoint is partitioned from all machines. The site file has up to 10 s.
CUT_S = 8.0
# TCP sends what is not acknowledged again after this time, and after twice as long each time that follows.
FIRST_RETRANSMISSION_S = 0.2
# The endpoint goes on serving for drain-ms "and a little longer (at times many seconds)".
SERVES_S = 8.0


class Link:
    """The network between the entries and one endpoint, as the TCP of an ordinary machine sees it.

    While it is cut, what is sent on open connections is held up, the end of a connection as well, and delivered with the
    first retransmission after the cut. "Bytes that are held up by a partition are lost if their sender resets the
    connection" (DEPLOY.md). New connections are refused during the cut, so they carry no request."""

    def __init__(self, record, address, target):
        self.record, self.address, self.target = record, address, target
        self.cut_until = 0.0
        self.listener = None
        self.listen()

    def listen(self):
        self.listener = socket.create_server(self.address, backlog=256)
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def cut(self, duration):
        self.cut_until = time.monotonic() + duration
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.record("link of %s: is cut" % self.address[0])
        time.sleep(duration)
        self.listen()
        self.record("link of %s: is whole again" % self.address[0])

    def accept(self, listener):
        while True:
            try:
                entry, _ = listener.accept()
                endpoint = socket.create_connection(self.target)
            except OSError:
                return
            for sock in (entry, endpoint):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.carry, args=(entry, endpoint), daemon=True).start()
            threading.Thread(target=self.carry, args=(endpoint, entry), daemon=True).start()

    def wait_for_retransmission(self):
        """Returns at the first retransmission of bytes that are sent now which finds the link whole."""
        began = time.monotonic()
        pause = FIRST_RETRANSMISSION_S
        at = began
        while at < self.cut_until:
            at += pause
            pause *= 2
        if at > began:
            time.sleep(at - began)

    def carry(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if time.monotonic() < self.cut_until:
                    self.wait_for_retransmission()
                    # A reset in the meantime is an error here, and the held bytes are lost.
                    error = source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                    if error != 0:
                        raise OSError(error, "reset")
                    self.record("link of %s: delivers %d bytes that were held up" % (self.address[0], len(data)))
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for sock in (source, sink):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


def case(record, started):
    system = h.Deployment(record, core=5, fronts=2)
    started.append(system)
    system.start_all()
    system.order("POST", "/Config.Put", h.configuration(1))
    endpoints = [h.Endpoint(record, system, i, zone=zone, work_s=0.2) for i, zone in
                 enumerate(["hakata", "kokura"] * 2)]
    # One endpoint is reached through a link that can be cut; its heartbeats name the near end of the link.
    draining = endpoints[0]
    link = Link(record, ("%s.200" % system.network, h.ENDPOINT), draining.address)
    draining.announced_address = link.address
    draining.born += 1
    system.wait_until_ready()
    time.sleep(3.0)
    answered = {}
    lock = threading.Lock()
    stop_at = time.monotonic() + 3.0 + CUT_S + SERVES_S

    def run_client(front, method, path, body):
        client = h.Client(record, (front[1], h.FRONT))
        while time.monotonic() < stop_at:
            request, answer = client.send(method, path, body, deadline_ms=4000)
            with lock:
                answered[request] = (time.monotonic(), str(answer))
            time.sleep(0.1)
        client.close()

    kinds = [("GET", "/status/1", b""), ("POST", "/order/1", b"lamp")]
    threads = [threading.Thread(target=run_client, args=(system.fronts[i % 2], *kinds[i // 2 % 2])) for i in range(12)]
    for thread in threads:
        thread.start()
    time.sleep(3.0)
    if h.TROUBLE:
        draining.beating = False
        link.cut(CUT_S)
    else:
        time.sleep(CUT_S)
    draining.state = "draining"
    draining.answers_leaving = True
    acknowledged = draining.announce()
    draining.beating = True
    if acknowledged is None:
        raise h.CannotRun("the draining was not acknowledged")
    for thread in threads:
        thread.join()
    breaks = []
    bound = h.BOUNDS["drain-ms"] / 1000.0
    for ran, request in draining.runs:
        if ran > acknowledged + bound:
            at, answer = answered.get(request, (ran, "not answered"))
            breaks.append("%s reached %s %.1f s after its draining was acknowledged, and %.1f s after the client got %s" % (
                request, draining.id, ran - acknowledged, ran - at, answer))
    return breaks


sys.exit(h.play(FOLDER, case))
