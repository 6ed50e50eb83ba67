/* Tests when an entry counts as cut off from everybody. Guards against one that starts tasks again
 * before it learns which clients have left, and against one that ends its jobs although only its
 * agents are gone. */
#include <glib.h>

#include "isolation.h"

enum {
	TIMEOUT_US = 575000,
	HEARD_US = 1000000,
	SILENT_US = HEARD_US + TIMEOUT_US + 1, /* the first time that counts as silence */
	LATER_US = SILENT_US + 300000
};

static void test_cut_off(void)
{
	struct isolation isolation = {.timeout_us = TIMEOUT_US};

	g_assert_cmpint(isolation_update(&isolation, HEARD_US, HEARD_US + 1, SILENT_US - 1), ==,
			ISOLATION_UNCHANGED);
	g_assert_cmpint(isolation_update(&isolation, HEARD_US, HEARD_US + 1, SILENT_US), ==,
			ISOLATION_BEGINS);
	/* It begins once. */
	g_assert_cmpint(isolation_update(&isolation, HEARD_US, LATER_US, LATER_US), ==,
			ISOLATION_UNCHANGED);
	g_assert_cmpint(isolation_update(&isolation, LATER_US, LATER_US, LATER_US), ==,
			ISOLATION_ENDS);
	g_assert_cmpint(isolation_update(&isolation, LATER_US, LATER_US, LATER_US + 1), ==,
			ISOLATION_UNCHANGED);
	g_assert_cmpint(isolation_update(&isolation, LATER_US, LATER_US + TIMEOUT_US,
					 LATER_US + TIMEOUT_US + 1),
			==, ISOLATION_BEGINS);
}

/* All agents are lost, while other entries and clients go on sending. */
static void test_agents_lost(void)
{
	struct isolation isolation = {.timeout_us = TIMEOUT_US};

	for (int64_t now_us = SILENT_US; now_us < 10 * SILENT_US; now_us += TIMEOUT_US)
		g_assert_cmpint(isolation_update(&isolation, now_us - TIMEOUT_US, now_us, now_us),
				==, ISOLATION_UNCHANGED);
}

/* Nobody has been connected, so nobody was expected to send anything. */
static void test_idle(void)
{
	struct isolation isolation = {.timeout_us = TIMEOUT_US};

	g_assert_cmpint(isolation_update(&isolation, HEARD_US, 0, SILENT_US - 1), ==,
			ISOLATION_UNCHANGED);
	g_assert_cmpint(isolation_update(&isolation, HEARD_US, 0, SILENT_US), ==, QUIET_BEGINS);
	/* A link that failed before the last input says nothing of what came after. */
	g_assert_cmpint(isolation_update(&isolation, HEARD_US, HEARD_US - 1, LATER_US), ==,
			ISOLATION_UNCHANGED);
	g_assert_cmpint(isolation_update(&isolation, LATER_US, HEARD_US - 1, LATER_US), ==,
			QUIET_ENDS);
	/* A link that fails later shows that it was cut off. */
	g_assert_cmpint(isolation_update(&isolation, LATER_US, 0, LATER_US + TIMEOUT_US + 1), ==,
			QUIET_BEGINS);
	g_assert_cmpint(
		isolation_update(&isolation, LATER_US, LATER_US + 1, LATER_US + TIMEOUT_US + 2), ==,
		ISOLATION_BEGINS);
	g_assert_cmpint(isolation_update(&isolation, 2 * LATER_US, 0, 2 * LATER_US), ==,
			ISOLATION_ENDS);
}

/* A process has woken from a freeze, in which it may have been cut off. */
static void test_woke(void)
{
	struct isolation isolation = {.timeout_us = TIMEOUT_US};

	isolation_begin(&isolation, LATER_US);
	g_assert_cmpint(isolation_update(&isolation, HEARD_US, SILENT_US, LATER_US), ==,
			ISOLATION_UNCHANGED);
	g_assert_cmpint(isolation_update(&isolation, LATER_US, SILENT_US, LATER_US), ==,
			ISOLATION_ENDS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/isolation/cut_off", test_cut_off);
	g_test_add_func("/isolation/agents_lost", test_agents_lost);
	g_test_add_func("/isolation/idle", test_idle);
	g_test_add_func("/isolation/woke", test_woke);
	return g_test_run();
}
