"""Another writer's entry among the servers holds deeply nested lists, and all
instances crash, again and again."""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import fleet as f  # noqa: E402

CLIENTS_PER_INSTANCE = 10
WARM_UP = 6.0  # longer than contactMs
LENGTH = 12.0
DEPTH = 200_000  # 400 KB; valueBytes is 1 MiB
ALLOWED = 3  # LOST: "more than three times"


def case(fleet):
    fleet.put_config(
        [
            f.route("submit", "/submit/", "unsafe", "entry-desk", 2000, 1),
            f.route("read", "/read/", "safe", "entry-desk", 2000, 2),
        ],
        [f.service("entry-desk")],
    )
    for number in range(3):
        fleet.add_worker("i-%d" % (number + 1), "entry-desk", work_s=0.3)
    fleet.start()
    stop_at = fleet.record.now() + WARM_UP + LENGTH

    def ask(instance, number):
        pauses = random.Random(number)
        is_unsafe = number % 2 == 0
        client = f.Client(fleet, instance)
        while fleet.record.now() < stop_at:
            answer = (
                client.ask("POST", "/submit/1", 2000, b"entry=1")
                if is_unsafe
                else client.ask("GET", "/read/1", 2000)
            )
            time.sleep(pauses.uniform(0.0, 0.1) if answer is not None else 0.2)
        client.close()

    threads = [
        threading.Thread(target=ask, args=(each, number), daemon=True)
        for each in fleet.instances
        for number in range(CLIENTS_PER_INSTANCE)
    ]
    for each in threads:
        each.start()
    time.sleep(WARM_UP)
    written_at = fleet.record.now()
    if f.has_trouble():
        nested = "[" * DEPTH + "]" * DEPTH
        fleet.store.put(
            "servers",
            "another-writer",
            '{"service":"entry-desk","address":%s,"zone":"north-a","version":"v1",'
            '"capacity":12,"state":"ready","warmupLeftMs":0,"sequence":1}' % nested,
        )
    for each in threads:
        each.join()

    ran = {run.attempt for run in fleet.runs}
    lost = [
        (instance, answer)
        for instance, answer in fleet.answers
        if not answer.is_whole and answer.was_kept and answer.cause != "TimeoutError"
        and answer.attempt in ran and instance.was_in_touch(answer.ended_at)
    ]
    served = [a for _, a in fleet.answers if a.sent_at > written_at + 4 and a.status == 200]
    fleet.record.say("%d requests passed on from kept connections to sound workers "
                     "and lost with the connection" % len(lost))
    fleet.record.say("%d requests served that were sent in the last %.0f s"
                     % (len(served), LENGTH - 4))
    if len(lost) <= ALLOWED:
        return []
    return [
        "%s ended by itself at %.3f, status %d" % (instance.name, at, status)
        for instance in fleet.instances
        for at, status in instance.own_ends
    ] + [
        "%s, sent %.3f to %s, ran at a sound worker; the connection was closed at %.3f "
        "without an answer" % (answer.attempt, answer.sent_at, instance.name, answer.ended_at)
        for instance, answer in lost
    ]


f.play(FOLDER, case)
