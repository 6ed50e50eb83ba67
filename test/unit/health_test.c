#include <glib.h>

#include "health.h"

enum {
	SLOTS = 8,
	SECOND_US = 1000000
};

static struct health new_health(void)
{
	const struct health_limits limits = {.fail_streak = 5,
					     .first_backoff_us = SECOND_US,
					     .longest_backoff_us = 60 * SECOND_US};
	struct health health;

	health_init(&health, &limits);
	return health;
}

static void end_tasks(struct health *health, bool success, int count, int64_t now_us)
{
	for (int i = 0; i < count; i++)
		health_record_result(health, success, SLOTS, now_us);
}

/* Guards against filling all slots of a new server at once, because the server may fail
 * every task. */
static void test_slow_start_doubles(void)
{
	struct health health = new_health();

	for (uint32_t allowed = 1; allowed <= SLOTS; allowed *= 2) {
		g_assert_cmpuint(health_start_limit(&health, SLOTS), ==, allowed);
		end_tasks(&health, true, 1, 0);
	}
	g_assert_cmpint(health.state, ==, HEALTH_HEALTHY);
	g_assert_cmpuint(health_start_limit(&health, 3), ==, 3);
}

/* Guards against a quarantine after scattered failures, which are caused by the tasks. Five
 * consecutive failures are attributed to the server. */
static void test_streak_begins_quarantine(void)
{
	struct health health = new_health();

	end_tasks(&health, false, 4, 0);
	end_tasks(&health, true, 1, 0);
	end_tasks(&health, false, 4, 0);
	g_assert_cmpint(health.state, ==, HEALTH_SLOW_START);
	g_assert_cmpint(health_next_tick_us(&health), ==, INT64_MAX);
	end_tasks(&health, false, 1, 10);
	g_assert_cmpuint(health_start_limit(&health, SLOTS), ==, 0);
	g_assert_cmpint(health_next_tick_us(&health), ==, 10 + SECOND_US);
}

/* Guards against a backoff that does not double with each failed trial up to its limit, that
 * changes with results of tasks started before the quarantine, or that is reset before the server
 * is healthy again. */
static void test_backoff(void)
{
	struct health health = new_health();
	int64_t now_us = 0;

	end_tasks(&health, false, 5, now_us);
	for (int64_t backoff_us = SECOND_US; now_us < 400 * (int64_t)SECOND_US;
	     backoff_us = MIN(backoff_us * 2, 60 * SECOND_US)) {
		end_tasks(&health, false, 9, now_us + 1);
		end_tasks(&health, true, 1, now_us + 1);
		g_assert_false(health_tick(&health, now_us + backoff_us - 1));
		now_us += backoff_us;
		g_assert_true(health_tick(&health, now_us));
		g_assert_cmpuint(health_start_limit(&health, SLOTS), ==, 1);
		end_tasks(&health, false, 1, now_us);
	}
	health_tick(&health, health_next_tick_us(&health));
	end_tasks(&health, true, 1, now_us);
	g_assert_cmpuint(health_start_limit(&health, SLOTS), ==, 2);
	end_tasks(&health, false, 5, now_us);
	g_assert_cmpint(health_next_tick_us(&health), ==, now_us + 60 * SECOND_US);
	health_tick(&health, health_next_tick_us(&health));
	end_tasks(&health, true, 3, now_us);
	end_tasks(&health, false, 5, now_us);
	g_assert_cmpint(health_next_tick_us(&health), ==, now_us + SECOND_US);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/health/slow-start-doubles", test_slow_start_doubles);
	g_test_add_func("/health/streak-begins-quarantine", test_streak_begins_quarantine);
	g_test_add_func("/health/backoff", test_backoff);
	return g_test_run();
}
