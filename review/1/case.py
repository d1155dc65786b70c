"""Two answers of a worker have a body without end, and instances crash."""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import fleet as f  # noqa: E402

CLIENTS_PER_INSTANCE = 24
WARM_UP = 6.0  # longer than contactMs
# `garble` at one worker of six (share 0.17), x = 0.02, for_s = 5.5.
SPOILT_EACH = 50
TROUBLE_LENGTH = 5.5
LENGTH = 16.0
MOST_PIECES = 500  # bounds the test, not the answer
ALLOWED = 3  # LOST: "more than three times"


def answer_without_end(worker, sock, attempt, head):
    """Every 50th answer announces a body of 10^15 bytes, and bytes come until
    the caller closes."""
    worker.answers += 1
    now = worker.fleet.record.now()
    if not worker.from_at <= now < worker.from_at + TROUBLE_LENGTH:
        return False
    if worker.answers % SPOILT_EACH:
        return False
    worker.fleet.record.say("worker %s spoils its answer to %s" % (worker.id, attempt))
    sock.sendall(head + b"Content-Length: 1000000000000000\r\n\r\n")
    for _ in range(MOST_PIECES):
        sock.sendall(b"x" * 1024)
        time.sleep(0.01)
    return False


def case(fleet):
    fleet.put_config(
        [
            f.route("submit", "/submit/", "unsafe", "entry-desk", 2000, 1),
            f.route("read", "/read/", "safe", "entry-desk", 2000, 2),
        ],
        [f.service("entry-desk")],
    )
    for number in range(6):
        fleet.add_worker("i-%d" % (number + 1), "entry-desk", work_s=0.3)
    fleet.start()
    stop_at = fleet.record.now() + WARM_UP + LENGTH
    faulty = fleet.workers[0]
    faulty.answers = 0
    faulty.from_at = fleet.record.now() + WARM_UP
    if f.has_trouble():
        faulty.spoil = answer_without_end

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
    for each in threads:
        each.join()

    ran_at = {}
    for run in fleet.runs:
        ran_at.setdefault(run.attempt, []).append(run.worker)
    breaches = []
    for instance in fleet.instances:
        for at, status in instance.own_ends:
            breaches.append("%s ended by itself at %.3f, status %d" % (instance.name, at, status))
    lost = [
        (instance, answer)
        for instance, answer in fleet.answers
        if not answer.is_whole
        and answer.was_kept
        and answer.cause != "TimeoutError"
        and ran_at.get(answer.attempt)
        and faulty not in ran_at[answer.attempt]
        and instance.was_in_touch(answer.ended_at)
    ]
    fleet.record.say("%d requests passed on from kept connections to sound workers "
                     "and lost with the connection" % len(lost))
    if len(lost) <= ALLOWED:
        return []
    return breaches + [
        "%s, sent %.3f to %s, ran at sound worker %s; the connection was closed at %.3f "
        "without an answer"
        % (answer.attempt, answer.sent_at, instance.name,
           ran_at[answer.attempt][0].id, answer.ended_at)
        for instance, answer in lost
    ]


f.play(FOLDER, case)
