/* Tests when an entry has an agent read the configuration. Guards against a configuration that is
 * late on all entries because the store refuses their calls, and against many calls to a store that
 * is down. */
#include <glib.h>

#include "config_relay.h"
#include "core_defs.h"

enum {
	TICK_US = 50 * US_PER_MS,
	ANSWER_US = 50 * US_PER_MS,
	APPLY_LIMIT_US = 2000 * US_PER_MS /* time limit for a configuration to be in force */
};

/* A change becomes known within the time limit at any moment, also when the store has just begun to
 * refuse the agent that was asked before and refuses two others as well. */
static void test_change_at_any_moment(void)
{
	for (int64_t changed_us = TICK_US; changed_us < 2 * APPLY_LIMIT_US; changed_us += TICK_US) {
		struct config_relay relay = {.apply_limit_us = APPLY_LIMIT_US};
		uint32_t refusals = 3;
		int64_t known_us = 0;

		for (int64_t now_us = TICK_US; known_us == 0; now_us += TICK_US) {
			bool is_refused = now_us >= changed_us && refusals > 0;

			if (!config_relay_due(&relay, now_us))
				continue;
			if (is_refused)
				refusals--;
			else
				config_relay_answered(&relay, now_us + ANSWER_US);
			if (now_us >= changed_us && !is_refused)
				known_us = now_us + ANSWER_US;
		}
		g_assert_cmpint(known_us - changed_us, <=, APPLY_LIMIT_US);
	}
}

/* While the store answers nobody, each entry causes at most two calls in each time limit, and a few
 * more at first. */
static void test_store_down(void)
{
	enum {
		LIMITS = 10,
		FIRST_CALLS = 4
	};
	struct config_relay relay = {.apply_limit_us = APPLY_LIMIT_US};
	uint32_t requests = 0;

	for (int64_t now_us = TICK_US; now_us <= LIMITS * APPLY_LIMIT_US; now_us += TICK_US)
		requests += config_relay_due(&relay, now_us);
	g_assert_cmpuint(requests, >=, LIMITS);
	g_assert_cmpuint(requests, <=, 2 * LIMITS + FIRST_CALLS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config_relay/change_at_any_moment", test_change_at_any_moment);
	g_test_add_func("/config_relay/store_down", test_store_down);
	return g_test_run();
}
