"""Channels between the relays and the platform's store that have been quiet for a while go silent for good, while others and
new ones work. A key that is taken away when all machines are in touch again must not be served for long."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *

# configApplyMs; and stableWindowMs with half a second more, after which the config is written.
CONFIG_APPLY, STABLE = 3.0, 4.5
QUIET = 1.6
REVOKED = "key-of-the-vestry"
SECONDS = 10.0


def case(record, programs):
    net = Net()
    zones = {"taipei-a": "north", "taichung-a": "central", "kaohsiung-a": "south"}
    places = ["taipei-a", "taipei-a", "taichung-a", "taichung-a", "kaohsiung-a"]
    store = Store(net.host(1))
    relays = [net.host(11 + number) for number in range(len(places))]
    app = "booking"
    first = config([route("deposits", "/deposits/", "non_idempotent", app, 2000, 300, 2)], [plain_service(app)])
    first["tenants"][0]["apiKeys"] = [KEY, REVOKED]
    store.put("config", "main", first)
    apps = []
    for number, zone in enumerate(zones):
        server = App("i-b%d" % number, app, net.host(41 + number), 8701, record, lambda: 0.03)
        apps.append(server)
        store.put("servers", server.id, server_entry(app, server.text, zone, 6, server.born))
    seeds = [relays[0], relays[2], relays[4]]
    for number, zone in enumerate(places):
        programs.start("relay", "relay-%d" % number, relay_fields(
            "relay-%d" % number, relays[number], net.host(1), seeds, zones, zone, True))
    wait_for("the relays are ready", lambda: all(is_ready(relay) for relay in relays))
    time.sleep(3.0)

    def config_watches():
        return [time.monotonic() - at for kind, at in list(store.watches.values()) if kind == "config"]

    # One relay of each region watches the config.
    wait_for("the watches on the config have waited long enough",
             lambda: len(config_watches()) == len(zones) and all(QUIET < age < 2.6 for age in config_watches()), 40.0)
    if trouble():
        record("channels go silent, with watches on: %s" % ", ".join(store.forget(QUIET)))
    time.sleep(STABLE)
    second = dict(first, version=9, tenants=[{"name": TENANT, "apiKeys": [KEY], "priority": 1}])
    store.put("config", "main", second)
    acked = time.monotonic()
    record("the config without the key %s is acknowledged" % REVOKED)
    counts, late, threads = {}, [], []

    def one(identifier, relay, key):
        head = request_head("POST", "/deposits/%s" % identifier, identifier, [], 4000).replace(KEY.encode(), key.encode())
        sent = time.monotonic()
        heard = ask((relay, CALLERS), head, timeout=4.0)
        counts[(key, heard.status)] = counts.get((key, heard.status), 0) + 1
        record("requester of %s with %s: %s" % (identifier, key, heard.status))
        due = acked + CONFIG_APPLY
        ran = any(identifier == run[0] for server in apps for run in server.ran)
        if key == REVOKED and sent > due and ran:
            late.append((sent - acked, identifier, relays.index(relay)))

    number, until = 0, time.monotonic() + SECONDS
    while time.monotonic() < until:
        for place, relay in enumerate(relays):
            for key in (KEY, REVOKED):
                identifier = "d-%d-%d-%s" % (number, place, key[7:])
                thread = threading.Thread(target=one, args=(identifier, relay, key), daemon=True)
                thread.start()
                threads.append(thread)
        number += 1
        time.sleep(0.1)
    for thread in threads:
        thread.join(6.0)
    record("answers: %s" % sorted(counts.items(), key=str))
    if counts.get((KEY, 200), 0) < 200:
        raise RuntimeError("hardly any request was served: %s" % counts)
    broken = []
    for place in range(len(relays)):
        own = sorted(entry for entry in late if entry[2] == place)
        if own:
            broken.append("relay-%d had %d requests run with the key that was taken away, the last %.1f s after the ack" % (
                place, len(own), own[-1][0]))
    return broken


main(case, os.path.dirname(os.path.abspath(__file__)))
