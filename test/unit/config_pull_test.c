/* Tests when an entry requests a configuration from another one. Guards against a large
 * configuration being sent a dozen times to each small host, and against an outdated configuration
 * on an entry that is cut off from the store. */
#include <glib.h>

#include "config_pull.h"
#include "core_defs.h"

enum {
	ENTRIES = 13,
	TICK_US = 50 * US_PER_MS,
	APPLY_LIMIT_US = 2000 * US_PER_MS /* time limit for a configuration to be in force */
};

/* Thirteen entries receive version 2 from the store at different times and learn of each other's
 * versions at once. None of them sends a request. */
static void test_no_request_if_store_delivers(void)
{
	struct config_pull pulls[ENTRIES];

	for (int i = 0; i < ENTRIES; i++)
		pulls[i] = (struct config_pull){.apply_limit_us = APPLY_LIMIT_US};
	for (int64_t now_us = TICK_US; now_us <= APPLY_LIMIT_US; now_us += TICK_US) {
		for (int i = 0; i < ENTRIES; i++) {
			uint64_t own_version = now_us >= (i + 1) * 15 * US_PER_MS ? 2 : 1;

			g_assert_false(config_pull_due(&pulls[i], own_version, 2, now_us));
		}
	}
}

/* An entry that is cut off from the store sends its request early enough to get the new
 * version within the time limit, even if the first entry does not answer and a second one must be
 * asked. */
static void test_cut_off(void)
{
	struct config_pull pull = {.apply_limit_us = APPLY_LIMIT_US};
	uint32_t requests = 0;

	for (int64_t now_us = TICK_US; now_us <= APPLY_LIMIT_US / 2; now_us += TICK_US)
		requests += config_pull_due(&pull, 1, 2, now_us);
	g_assert_cmpuint(requests, ==, 2);
}

/* An entry without any configuration cannot serve requests. It sends a request at once, but only to
 * one entry at a time. */
static void test_no_configuration(void)
{
	struct config_pull pull = {.apply_limit_us = APPLY_LIMIT_US};

	g_assert_true(config_pull_due(&pull, 0, 7, TICK_US));
	g_assert_false(config_pull_due(&pull, 0, 7, TICK_US + 1));
}

/* After an entry has caught up, it waits the full time for the store to deliver the next version.
 */
static void test_next_version(void)
{
	struct config_pull pull = {.apply_limit_us = APPLY_LIMIT_US};

	g_assert_false(config_pull_due(&pull, 1, 2, TICK_US));
	g_assert_false(config_pull_due(&pull, 2, 2, 2 * TICK_US));
	g_assert_false(config_pull_due(&pull, 2, 3, APPLY_LIMIT_US));
	g_assert_true(config_pull_due(&pull, 2, 3, 2 * APPLY_LIMIT_US));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config_pull/store_brings_it", test_no_request_if_store_delivers);
	g_test_add_func("/config_pull/cut_off", test_cut_off);
	g_test_add_func("/config_pull/start", test_no_configuration);
	g_test_add_func("/config_pull/next_version", test_next_version);
	return g_test_run();
}
