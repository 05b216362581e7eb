"""Fuzzes the SASP codec: prints the cases, the line coverage, the failures and the slowest input.

    python -m benchmarks.fuzz_sasp [--seconds 120] [--seed 1] [--short]

Messages of every kind are mutated (changed bytes and lengths, cuts, copies of parts). Inputs that execute new lines of
the codec join the corpus and are mutated further. The last line of the output is one JSON object; the first failing
input is printed before it.
"""

import argparse
import json
import sys
import time
from random import Random

from ospreyrouter.sasp import (
    DeregistrationRequest,
    Framer,
    GetWeightsReply,
    GetWeightsRequest,
    Group,
    InvalidMessage,
    LbStateRequest,
    Member,
    MemberState,
    MemberStateRequest,
    RegistrationRequest,
    Reply,
    SendWeights,
    WeightEntry,
    decode,
    encode,
    framing,
    messages,
)

MEMBERS = (Member("10.0.0.1", 80), Member("::1", 81, 6, "label"))
SEED_MESSAGES = [
    RegistrationRequest((Group("lb", "slice-1", MEMBERS),)),
    DeregistrationRequest((Group("lb", "slice-1", MEMBERS),)),
    GetWeightsRequest((Group("lb", "slice-1"), Group("lb", "slice-2"))),
    LbStateRequest("lb", 7, True, True, True),
    GetWeightsReply(0, 5, (Group("lb", "slice-1", tuple(WeightEntry(member, 7) for member in MEMBERS)),)),
    SendWeights((Group("lb", "slice-1", tuple(WeightEntry(member, 7) for member in MEMBERS)),)),
    Reply(0x1015, 0),
    MemberStateRequest((Group("lb", "slice-1", tuple(MemberState(member, 1, True) for member in MEMBERS)),)),
]


def add_lines(code, lines):
    """Adds (file name, line) of every line of `code` and of the code objects in it to the set `lines`."""
    lines |= {(code.co_filename, line) for _, _, line in code.co_lines() if line}
    for constant in code.co_consts:
        if hasattr(constant, "co_lines"):
            add_lines(constant, lines)
    return lines


def codec_lines():
    """Returns {(file name, line)} of the codec, including encoding, as every decoded message is encoded again."""
    lines = set()
    for module in (messages, framing):
        for value in vars(module).values():
            for function in (
                [value] if hasattr(value, "__code__") else vars(value).values() if isinstance(value, type) else []
            ):
                code = getattr(function, "__code__", None)
                if code and code.co_filename == module.__file__:
                    add_lines(code, lines)
    return lines


def mutate(data, rng):
    """Returns a copy of `data` with one to four random mutations; mostly with a correct length in its header."""
    data = bytearray(data)
    for _ in range(rng.choice((1, 1, 2, 4))):
        if not data:
            break
        offset = rng.randrange(9 if rng.random() < 0.05 else 13, len(data)) if len(data) > 13 else 0
        operation = rng.randrange(5)
        if operation == 0:
            data[offset] = rng.randrange(256)
        elif operation == 1:
            data[offset : offset + 2] = rng.choice((0, 1, 3, 4, 255, 256, 65535, len(data))).to_bytes(2, "big")
        elif operation == 2:
            del data[offset : offset + rng.randint(1, 12)]
        elif operation == 3:
            start = rng.randrange(len(data))
            data[offset:offset] = data[start : start + rng.choice((4, 28, 400))]
        else:
            data[offset] ^= 1 << rng.randrange(8)
    if len(data) >= 13 and rng.random() < 0.8:
        data[5:9] = len(data).to_bytes(4, "big")  # a correct length, so that the framer accepts the message
    return bytes(data)


def fuzz(seconds, max_cases, seed):
    """Decodes and encodes mutated messages for `seconds` or `max_cases`; returns the figures as a dict."""
    rng, corpus, executed, failures = Random(seed), [encode(message, 1) for message in SEED_MESSAGES], set(), 0
    all_lines = codec_lines()
    files = {name for name, _ in all_lines}

    def trace(frame, event, _):
        if frame.f_code.co_filename in files:
            executed.add((frame.f_code.co_filename, frame.f_lineno))
            return trace
        return None

    cases, slowest, rejected, deadline = 0, (0.0, 0), 0, time.monotonic() + seconds
    while time.monotonic() < deadline and cases < max_cases:
        data, traced, executed_before = mutate(rng.choice(corpus), rng), cases % 10 == 0, len(executed)
        cases += 1
        if traced:
            sys.settrace(trace)
        started_at = time.perf_counter()
        try:
            for message in Framer().feed(data):
                encode(decode(message)[0], 1)
        except InvalidMessage:
            rejected += 1
        except Exception as error:  # noqa: BLE001  any other exception is a fault of the codec
            failures += 1
            if failures == 1:
                print(f"{type(error).__name__}: {error}: {data.hex()}")
        duration_s = time.perf_counter() - started_at
        sys.settrace(None)
        if not traced and duration_s > slowest[0]:
            slowest = (duration_s, len(data))
        if len(executed) > executed_before and len(data) < 20_000:
            corpus.append(data)
    return {
        "cases": cases,
        "refused": rejected,
        "failures": failures,
        "lines_run": len(executed & all_lines),
        "lines": len(all_lines),
        "coverage": round(len(executed & all_lines) / len(all_lines), 3),
        "slowest_ms": round(slowest[0] * 1000, 2),
        "slowest_bytes": slowest[1],
        "seed": seed,
    }


def measure_decode_times():
    """Returns {members: ms to decode} for registrations of 1,000 to 16,000 members, fed in pieces of 1 KB."""
    durations_ms = {}
    for count in (1_000, 4_000, 16_000):
        groups = tuple(
            Group("lb", f"slice-{k}", tuple(Member("10.0.0.1", port) for port in range(100)))
            for k in range(count // 100)
        )
        data = encode(RegistrationRequest(groups), 1)
        started_at, framer = time.perf_counter(), Framer(1 << 30)
        for offset in range(0, len(data), 1024):
            for message in framer.feed(data[offset : offset + 1024]):
                decode(message)
        durations_ms[str(count)] = round((time.perf_counter() - started_at) * 1000, 1)
    return durations_ms


def main():
    """Prints the figures as JSON; the exit code is 1 if an input failed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true")
    options = parser.parse_args()
    result = fuzz(5.0 if options.short else options.seconds, 20_000 if options.short else 10**9, options.seed)
    print(json.dumps(result | {"decode_ms_by_members": measure_decode_times()}))
    return 1 if result["failures"] else 0


if __name__ == "__main__":
    sys.exit(main())
