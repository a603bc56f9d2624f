"""Orders that are retried until the endpoint's own report shows that they are fulfilled."""

from __future__ import annotations

from rattangate.core.orders import (
    FIRST_RETRY_S,
    ORDERS_PER_FENCE,
    Drain,
    LoadVersion,
    ObservedState,
    OrderEnded,
    OrderReconciler,
    OrderResult,
    SendOrder,
    SetDesiredOrders,
    SetRole,
    SteppedDown,
)

OLD_REPORT = ObservedState("e", 1, "v1", "serve", ready=True, leaving=False)


def make_driver(*orders) -> OrderReconciler:
    driver = OrderReconciler(3)
    driver.handle(SetDesiredOrders("e", orders), 0.0)
    return driver


def test_orders_are_sent_one_at_a_time_with_increasing_numbers() -> None:
    driver = make_driver(LoadVersion("v1"), SetRole("prefill"), Drain())
    first = 3 * ORDERS_PER_FENCE + 1
    assert driver.handle(OLD_REPORT, 0.0) == [SendOrder("e", first, SetRole("prefill"))]
    assert driver.handle(OLD_REPORT, 0.1) == []
    driver.handle(OrderEnded("e", first, OrderResult.ACCEPTED), 0.2)
    report = ObservedState("e", 1, "v1", "prefill", ready=True, leaving=False)
    assert driver.handle(report, 0.3) == [SendOrder("e", first + 1, Drain())]


def test_accepted_order_is_resent_when_the_report_shows_another_state() -> None:
    driver = make_driver(LoadVersion("v2"))
    (order,) = driver.handle(OLD_REPORT, 0.0)
    driver.handle(OrderEnded("e", order.number, OrderResult.ACCEPTED), 0.1)
    done = ObservedState("e", 1, "v2", "serve", ready=True, leaving=False)
    assert driver.handle(done, 0.2) == []
    # A late order of an earlier holder has returned the endpoint to the older version.
    (resent,) = driver.handle(OLD_REPORT, 0.3)
    assert resent.number > order.number


def test_lost_order_is_retried_after_a_delay() -> None:
    driver = make_driver(LoadVersion("v2"))
    (order,) = driver.handle(OLD_REPORT, 0.0)
    driver.handle(OrderEnded("e", order.number, OrderResult.LOST), 1.0)
    assert driver.handle(OLD_REPORT, 1.0) == []
    assert len(driver.handle(OLD_REPORT, 1.0 + FIRST_RETRY_S)) == 1


def test_rejected_order_number_makes_the_holder_step_down() -> None:
    driver = make_driver(LoadVersion("v2"))
    (order,) = driver.handle(OLD_REPORT, 0.0)
    ended = OrderEnded("e", order.number, OrderResult.OLD_NUMBER)
    assert driver.handle(ended, 0.1) == [SteppedDown(3)]


def test_retry_delay_does_not_exceed_the_maximum():
    driver = OrderReconciler(1, max_retry_s=0.5)
    driver.handle(SetDesiredOrders("e", (LoadVersion("v2"),)), 0.0)
    now = 0.0
    for _ in range(6):
        (sent,) = driver.handle(OLD_REPORT, now)
        driver.handle(OrderEnded("e", sent.number, OrderResult.LOST), now + 1.0)
        assert driver.handle(OLD_REPORT, now + 1.4) == []
        now += 1.5
