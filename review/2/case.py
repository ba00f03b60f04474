"""A model replica crashes for good, and its address goes to a replica of another service. The machine beside it, with its
scout, stays. Requests must be run only by services to which the configuration sends them."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *

ENGINES = 7
# reuseAfterS is 2; the entry of a silent replica is removed after three check-in intervals of 1.2 s.
REUSED_AFTER, EXPIRES_AFTER = 2.2, 3.6
SECONDS = 8.0
# The first requests of the crashed replica's service come so long after the address is used again.
QUIET_FOR = 0.5


def case(record, programs):
    net = Net()
    zones = {"a": "north"}
    store = Store(net.host(1))
    relay = net.host(11)
    drafts, hymns = "liturgy", "hymnal"
    store.put("config", "main", config(
        [route("drafts", "/drafts/", "streaming", drafts, 39000, 1800, 0, gap=180),
         route("hymns", "/hymns/", "streaming", hymns, 39000, 1800, 0, gap=180)],
        [engine_service(drafts), engine_service(hymns)]))
    everyone, engines = {}, []

    def add(number, service, ident, ip):
        engine = Engine(everyone, ident, service, ip, 8720, record, 0.06)
        store.put("servers", ident, server_entry(service, engine.text, "a", 24, engine.born))
        record("replica %s of %s is at %s" % (ident, service, engine.text))
        return engine

    def add_scout(number, service, ip):
        programs.start("scout", "scout-%d" % number, scout_fields(
            "scout-%d" % number, ip, net.host(1), [relay], zones, "a", service, "%s:8720" % ip))

    for number in range(ENGINES):
        ip = net.host(21 + number)
        engines.append(add(number, drafts, "i-d%d" % number, ip))
        add_scout(number, drafts, ip)
    others = [add(20, hymns, "i-h0", net.host(51))]
    add_scout(20, hymns, net.host(51))
    programs.start("relay", "relay", relay_fields("relay", relay, net.host(1), [relay], zones, "a", True))
    wait_for("the relay is ready", lambda: is_ready(relay))
    time.sleep(3.0)

    counts = {}

    def stream(kind, number):
        identifier = "%s-%d" % (kind, number)
        head = request_head("POST", "/%s/%s" % (kind, identifier), identifier, stream_headers(200, 80, identifier), 39000)
        heard = ask((relay, CALLERS), head, timeout=20.0)
        record("requester of %s: %s, %d events, %s" % (
            identifier, heard.status, heard.body.count(b"\n\n"), heard.end))
        counts[(kind, heard.status)] = counts.get((kind, heard.status), 0) + 1

    threads = []

    def traffic(kind, pause):
        until = time.monotonic() + SECONDS
        number = 0
        while time.monotonic() < until:
            thread = threading.Thread(target=stream, args=(kind, number), daemon=True)
            thread.start()
            threads.append(thread)
            number += 1
            time.sleep(pause)

    senders = [threading.Thread(target=traffic, args=("hymns", 0.1), daemon=True)]
    senders[0].start()
    time.sleep(1.5)
    if trouble():
        gone = engines[0]
        gone.crash()
        crashed = time.monotonic()
        record("replica %s crashes for good" % gone.id)
        time.sleep(REUSED_AFTER)
        others.append(add(21, hymns, "i-h1", gone.address[0]))
    else:
        time.sleep(REUSED_AFTER)
        others.append(add(21, hymns, "i-h1", net.host(52)))
    time.sleep(QUIET_FOR)
    senders.append(threading.Thread(target=traffic, args=("drafts", 0.05), daemon=True))
    senders[1].start()
    if trouble():
        time.sleep(max(0.0, EXPIRES_AFTER - (time.monotonic() - crashed)))
        store.remove("servers", gone.id)
        record("the entry of %s is removed" % gone.id)
    for sender in senders:
        sender.join()
    for thread in threads:
        thread.join(25.0)
    record("answers: %s" % sorted(counts.items(), key=str))
    broken = []
    for engine in engines + others:
        expected = "/drafts/" if engine.service == drafts else "/hymns/"
        wrong = [identifier for identifier, path, _ in engine.ran if not path.startswith(expected)]
        if wrong:
            broken.append("replica %s of service %s ran %d requests of routes that never led to it, the first %s" % (
                engine.id, engine.service, len(wrong), wrong[0]))
    if counts.get(("drafts", 200), 0) < 50:
        raise RuntimeError("hardly any request was served: %s" % counts)
    return broken


main(case, os.path.dirname(os.path.abspath(__file__)))
