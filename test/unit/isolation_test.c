/* Tests when an entry counts as cut off. Guards against one that starts tasks again before it
 * learns which clients have left, against one that goes on with its jobs although its clients have
 * sent them to other entries, and against one that ends its jobs although its clients reach it. */
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

/* Returns whether an entry counts most as silent that is linked with ENTRIES and AGENTS, of which
 * SILENT_ENTRIES and SILENT_AGENTS are silent. */
static bool most_silent(uint32_t entries, uint32_t silent_entries, uint32_t agents,
			uint32_t silent_agents)
{
	struct isolation_census census = {0};

	for (uint32_t i = 0; i < entries; i++)
		isolation_count(&census, true, i < silent_entries ? HEARD_US : SILENT_US,
				TIMEOUT_US, SILENT_US);
	for (uint32_t i = 0; i < agents; i++)
		isolation_count(&census, false, i < silent_agents ? HEARD_US : SILENT_US,
				TIMEOUT_US, SILENT_US);
	return isolation_most_silent(&census);
}

/* A single process may be frozen or dark, also in a deployment of three. */
static void test_single_process_silent(void)
{
	g_assert_false(most_silent(1, 1, 0, 0));
	g_assert_false(most_silent(1, 1, 1, 0));
	g_assert_false(most_silent(0, 0, 2, 1));
	g_assert_false(most_silent(2, 1, 11, 0));
	g_assert_false(most_silent(2, 0, 11, 1));
}

/* A rack with one of three entries and some of its agents is dark. */
static void test_rack_dark(void)
{
	g_assert_false(most_silent(2, 1, 11, 4));
	g_assert_false(most_silent(54, 10, 60, 20));
}

/* The entry is cut off with few, most or all of its agents. */
static void test_cut_off_with_agents(void)
{
	g_assert_true(most_silent(2, 2, 11, 11));
	g_assert_true(most_silent(2, 2, 11, 5));
	g_assert_true(most_silent(2, 2, 11, 0));
	g_assert_true(most_silent(2, 1, 11, 6)); /* and one entry is still heard */
	g_assert_true(most_silent(1, 1, 3, 1));
	g_assert_true(most_silent(54, 50, 60, 20));
}

/* Processes that are gone for good do not count any longer. */
static void test_long_gone(void)
{
	struct isolation_census census = {0};
	int64_t now_us = HEARD_US + PARTITION_FORGET_MS * 1000 + 1;

	isolation_count(&census, true, HEARD_US, TIMEOUT_US, now_us - 1);
	g_assert_cmpuint(census.silent_entries, ==, 1);
	isolation_count(&census, true, HEARD_US, TIMEOUT_US, now_us);
	isolation_count(&census, false, HEARD_US, TIMEOUT_US, now_us);
	g_assert_cmpuint(census.entries, ==, 1);
	g_assert_cmpuint(census.agents, ==, 0);
}

enum {
	FIRST_LIMIT_US = 200000,
	SUSPECT_US = HEARD_US + PARTITION_SUSPECT_MS * 1000, /* most are silent for so long */
};

/* Returns a partition at LOST_US whose suspicion began at SUSPECT_US. */
static struct partition suspect(void)
{
	struct partition partition = {.timeout_us = TIMEOUT_US, .first_limit_us = FIRST_LIMIT_US};

	g_assert_false(partition_probe_due(&partition, SUSPECT_US));
	g_assert_cmpint(partition_update(&partition, true, false, SUSPECT_US), ==,
			PARTITION_UNCHANGED);
	g_assert_true(partition_probe_due(&partition, SUSPECT_US));
	g_assert_false(partition_probe_due(&partition, SUSPECT_US + 1));
	return partition;
}

/* The platform does not answer: the jobs end as soon as the silence is sure. */
static void test_partition(void)
{
	struct partition partition = suspect();

	g_assert_cmpint(partition_update(&partition, true, false, SILENT_US - 1), ==,
			PARTITION_UNCHANGED);
	g_assert_cmpint(partition_update(&partition, true, true, SILENT_US), ==, PARTITION_BEGINS);
	g_assert_cmpint(partition_update(&partition, true, true, LATER_US), ==,
			PARTITION_UNCHANGED);
	g_assert_true(partition.cut_off);
	g_assert_cmpint(partition_update(&partition, true, false, LATER_US), ==, PARTITION_ENDS);
	g_assert_false(partition.cut_off);
}

/* The silence is found late, as all are suspected at once: the platform has its time to answer. */
static void test_probe_takes_time(void)
{
	struct partition partition = {.timeout_us = TIMEOUT_US, .first_limit_us = FIRST_LIMIT_US};

	g_assert_cmpint(partition_update(&partition, true, true, SILENT_US), ==,
			PARTITION_UNCHANGED);
	g_assert_cmpint(partition_update(&partition, true, true, SILENT_US + FIRST_LIMIT_US - 1),
			==, PARTITION_UNCHANGED);
	g_assert_cmpint(partition_update(&partition, true, true, SILENT_US + FIRST_LIMIT_US), ==,
			PARTITION_BEGINS);
}

/* Half of the hosts are dark, and the platform answers: clients wait for the other half. */
static void test_platform_answers(void)
{
	struct partition partition = suspect();
	int64_t sent_us = SUSPECT_US;

	while (sent_us < 10 * SILENT_US) {
		if (partition_probe_due(&partition, sent_us))
			partition_answered(&partition, sent_us);
		sent_us += PARTITION_PROBE_INTERVAL_MS * 1000;
		g_assert_cmpint(partition_update(&partition, true, true, sent_us), ==,
				PARTITION_UNCHANGED);
	}
	/* It is cut off from the platform, too. */
	sent_us = partition.answered_us;
	g_assert_cmpint(partition_update(&partition, true, true, sent_us + TIMEOUT_US - 1), ==,
			PARTITION_UNCHANGED);
	g_assert_cmpint(partition_update(&partition, true, true, sent_us + TIMEOUT_US), ==,
			PARTITION_BEGINS);
	/* The answer to a probe that was sent before is no sign that it is back. */
	partition_answered(&partition, sent_us + TIMEOUT_US - 1);
	g_assert_cmpint(partition_update(&partition, true, true, sent_us + TIMEOUT_US + 1), ==,
			PARTITION_UNCHANGED);
	partition_answered(&partition, sent_us + TIMEOUT_US + 1);
	g_assert_cmpint(partition_update(&partition, true, true, sent_us + TIMEOUT_US + 2), ==,
			PARTITION_ENDS);
}

/* An entry that starts while it is cut off does not know whom it has lost. */
static void test_starts_cut_off(void)
{
	struct partition partition = {.timeout_us = TIMEOUT_US, .first_limit_us = FIRST_LIMIT_US};

	partition_start(&partition, HEARD_US);
	g_assert_cmpint(partition_update(&partition, false, false, LATER_US), ==,
			PARTITION_UNCHANGED);
	g_assert_true(partition.unconfirmed);
	g_assert_true(partition_probe_due(&partition, LATER_US));
	partition_answered(&partition, LATER_US);
	g_assert_cmpint(partition_update(&partition, false, false, LATER_US + 1), ==,
			PARTITION_CONFIRMED);
	g_assert_false(partition.unconfirmed);
	g_assert_cmpint(partition_update(&partition, false, false, LATER_US + 2), ==,
			PARTITION_UNCHANGED);
	g_assert_false(partition_probe_due(&partition, 2 * LATER_US));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/isolation/cut_off", test_cut_off);
	g_test_add_func("/isolation/agents_lost", test_agents_lost);
	g_test_add_func("/isolation/idle", test_idle);
	g_test_add_func("/isolation/woke", test_woke);
	g_test_add_func("/isolation/single_process_silent", test_single_process_silent);
	g_test_add_func("/isolation/rack_dark", test_rack_dark);
	g_test_add_func("/isolation/cut_off_with_agents", test_cut_off_with_agents);
	g_test_add_func("/isolation/long_gone", test_long_gone);
	g_test_add_func("/isolation/partition", test_partition);
	g_test_add_func("/isolation/probe_takes_time", test_probe_takes_time);
	g_test_add_func("/isolation/platform_answers", test_platform_answers);
	g_test_add_func("/isolation/starts_cut_off", test_starts_cut_off);
	return g_test_run();
}
