"""Orders that are repeated until the endpoint's own report shows that they hold."""

from __future__ import annotations

from rattangate.core.orders import (
    FIRST_RETRY_S,
    ORDERS_PER_FENCE,
    Drain,
    LoadVersion,
    Observed,
    OrderDriver,
    OrderEnded,
    OrderResult,
    SendOrder,
    SetRole,
    SteppedDown,
    WantOrders,
)

SEEN = Observed("e", 1, "v1", "serve", ready=True, leaving=False)


def make(*orders) -> OrderDriver:
    driver = OrderDriver(3)
    driver.handle(WantOrders("e", orders), 0.0)
    return driver


def test_orders_go_one_at_a_time_with_rising_numbers() -> None:
    driver = make(LoadVersion("v1"), SetRole("prefill"), Drain())
    first = 3 * ORDERS_PER_FENCE + 1
    assert driver.handle(SEEN, 0.0) == [SendOrder("e", first, SetRole("prefill"))]
    assert driver.handle(SEEN, 0.1) == []
    driver.handle(OrderEnded("e", first, OrderResult.ACCEPTED), 0.2)
    seen = Observed("e", 1, "v1", "prefill", ready=True, leaving=False)
    assert driver.handle(seen, 0.3) == [SendOrder("e", first + 1, Drain())]


def test_an_accepted_order_is_repeated_when_the_report_denies_it() -> None:
    driver = make(LoadVersion("v2"))
    (order,) = driver.handle(SEEN, 0.0)
    driver.handle(OrderEnded("e", order.number, OrderResult.ACCEPTED), 0.1)
    done = Observed("e", 1, "v2", "serve", ready=True, leaving=False)
    assert driver.handle(done, 0.2) == []
    # A late order of an earlier holder set the endpoint back.
    (again,) = driver.handle(SEEN, 0.3)
    assert again.number > order.number


def test_a_lost_order_waits_before_the_next() -> None:
    driver = make(LoadVersion("v2"))
    (order,) = driver.handle(SEEN, 0.0)
    driver.handle(OrderEnded("e", order.number, OrderResult.LOST), 1.0)
    assert driver.handle(SEEN, 1.0) == []
    assert len(driver.handle(SEEN, 1.0 + FIRST_RETRY_S)) == 1


def test_a_refused_number_makes_the_holder_step_down() -> None:
    driver = make(LoadVersion("v2"))
    (order,) = driver.handle(SEEN, 0.0)
    ended = OrderEnded("e", order.number, OrderResult.OLD_NUMBER)
    assert driver.handle(ended, 0.1) == [SteppedDown(3)]


def test_a_lost_order_is_repeated_within_the_bound():
    driver = OrderDriver(1, max_retry_s=0.5)
    driver.handle(WantOrders("e", (LoadVersion("v2"),)), 0.0)
    now = 0.0
    for _ in range(6):
        (sent,) = driver.handle(SEEN, now)
        driver.handle(OrderEnded("e", sent.number, OrderResult.LOST), now + 1.0)
        assert driver.handle(SEEN, now + 1.4) == []
        now += 1.5
