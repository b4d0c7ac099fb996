"""The fake backends, discovery and clients, and the experiments' quota accounting.

Every measurement of the experiments depends on them.
"""

import asyncio
import random
import time
from types import SimpleNamespace

import pytest

from corkdeal.experiment import summary
from corkdeal.standin import clients
from corkdeal.standin.backends import BackendModel, FakeBackend
from corkdeal.standin.discovery import Discovery


async def send_request(server, number=1):
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    words = [b"API.READ", b"%016x" % 7, b"%016x" % number, b"c=board-load,t=family,d=900"]
    writer.write(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words))
    try:
        head = await reader.readline()
        return await reader.readline() if head.startswith(b"*") and await reader.readline() else head
    except ConnectionError:
        return b""
    finally:
        writer.close()


def with_server(work, **more):
    async def play(script):
        server = FakeBackend(BackendModel("s", "north-hall", **more), lambda: work, lambda a: None)
        await server.start()
        try:
            return await script(server)
        finally:
            server.crash()

    return play


def test_a_server_serves_queues_and_turns_away():
    async def script(server):
        answers = await asyncio.gather(*(send_request(server, n) for n in range(5)))
        return sorted(a[:5] for a in answers)

    assert asyncio.run(with_server(0.2, cores=1, queue=2)(script)) == [b"-BUSY"] * 2 + [b"done "] * 3


def test_a_cold_server_that_is_sent_too_much_falls_over_and_a_warm_one_does_not():
    async def script(server):
        server.up_since = time.time()
        await asyncio.gather(*(send_request(server, n) for n in range(10)))
        return server.has_crashed

    assert asyncio.run(with_server(0.5, cores=1, queue=99)(script))
    assert not asyncio.run(with_server(0.001, cores=1, queue=99)(script))


def test_a_server_cut_off_is_silent_and_answers_once_restored():
    async def script(server):
        server.cut_off()
        waiting = asyncio.ensure_future(send_request(server))
        done, _ = await asyncio.wait({waiting}, timeout=0.1)
        assert not done
        server.restore()
        return await asyncio.wait_for(waiting, 20)

    assert asyncio.run(with_server(0.001)(script)).startswith(b"done")


def test_discovery_answers_the_watch_when_something_changed():
    async def script():
        members = [{"id": "a"}]
        discovery = Discovery(lambda: members)
        await discovery.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", discovery.port)

        async def get(path):
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            return await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))

        first = await get("/v1/servers")
        later = asyncio.ensure_future(get("/v1/servers?after=1&wait_ms=20000"))
        await asyncio.sleep(0)
        members.append({"id": "b"})
        await discovery.publish()
        second = await later
        writer.close()
        return first, second

    first, second = asyncio.run(script())
    assert b'"revision": 1' in first and b'"revision": 2' in second and b'"b"' in second


def test_arrivals_are_the_same_for_a_seed_and_stay_in_their_customer_s_set():
    made = [clients.arrivals(c := random.Random(3), clients.customers(c, 30.0, 3), 5.0, 3) for _ in range(2)]
    one, other = ([(a.at, a.customer.id, a.gateway) for a in each] for each in made)
    assert one == other
    assert all((a.gateway - a.customer.first) % 3 < a.customer.spread for a in made[0])
    inside = sum(min(c.rate, c.request_rate) for c in {a.customer.id: a.customer for a in made[0]}.values())
    assert inside == pytest.approx(30, rel=0.4)


def test_the_books_take_a_unit_for_a_try_inside_the_quota_and_none_beyond():
    who = {7: clients.Customer(7, 0, 1.4, 9.0, 0, 2, (1.0, 1.0))}
    at = [0.0] * 7 + [10.0, 10.0]  # a burst of 5.6: five within, two beyond; refilled later
    seen = [SimpleNamespace(at=a, customer=7, request=i) for i, a in enumerate(at)]
    seen += [SimpleNamespace(at=0.1, customer=7, request=0), SimpleNamespace(at=0.0, customer=9, request=50)]
    booked = clients.classify_by_quota(seen, who)  # a second attempt and an unknown customer are not counted
    assert [over for _, over, _ in booked] == [False] * 5 + [True] * 2 + [False] * 2


def test_rows_compare_arms_of_one_seed():
    def run(seed, arm, served, beyond):
        window = {
            "length": 5.0,
            "asked": 200.0,
            "served": served,
            "asked_there": 100.0,
            "served_there": served / 2,
            "beyond": beyond,
            "to_slow": beyond,
        }
        return {"seed": seed, "arm": arm, "windows": [window]}

    runs = [
        run(s, arm, served + s, beyond)
        for s in (1, 2)
        for arm, served, beyond in (("calm", 180, 1), ("forgets", 160, 11), ("knows", 175, 3))
    ]
    rows = {r["what"]: r for r in summary.restart_rows(runs)}
    assert rows["worth served in time, all gateways"]["forgets"][0] == pytest.approx(10.0)
    assert rows["worth served in time, all gateways"]["saved_share"] == pytest.approx(0.75)
    assert rows["units let in beyond quotas"]["knows"] == (2.0, 0.0)
    assert "| 5 s | units let in beyond quotas, units | 10.00 ± 0.00 | 2.00 ± 0.00 |" in summary.markdown(
        list(rows.values())
    )
