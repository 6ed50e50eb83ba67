/* Tests the record of tasks under which servers have crashed. Guards against counts that are lost,
 * never forgotten, or go back and forth between entries. */
#include <glib.h>

#include "core_defs.h"
#include "crash_history.h"

enum {
	RETENTION_US = 10 * US_PER_SECOND,
	MAX_TASKS = 3,
	NOW_US = 100 * US_PER_SECOND
};

static void test_count(void)
{
	struct crash_history history;
	const struct crash_record *record;
	char *names;

	crash_history_init(&history, RETENTION_US, MAX_TASKS);
	g_assert_cmpuint(crash_history_count(&history, "a", 0, NOW_US), ==, 0);
	crash_history_add(&history, "a", 0, "i-1", true, NOW_US);
	record = crash_history_add(&history, "a", 0, "i-2", true, NOW_US + US_PER_SECOND);
	names = crash_record_server_names(record);
	g_assert_cmpstr(names, ==, "i-1 i-2");
	g_free(names);
	g_assert_cmpuint(crash_history_count(&history, "a", 0, NOW_US), ==, 2);
	g_assert_cmpuint(crash_history_count(&history, "a", 1, NOW_US), ==, 0);
	g_assert_cmpuint(crash_history_count(&history, "a", 0, record->crashed_us + RETENTION_US),
			 ==, 2);
	g_assert_cmpuint(
		crash_history_count(&history, "a", 0, record->crashed_us + RETENTION_US + 1), ==,
		0);
	crash_history_free(&history);
}

static void test_limit(void)
{
	struct crash_history history;
	char job[8];

	crash_history_init(&history, RETENTION_US, MAX_TASKS);
	for (int i = 0; i <= MAX_TASKS; i++) {
		g_snprintf(job, sizeof(job), "%d", i);
		crash_history_add(&history, job, 0, "i-1", true, NOW_US);
	}
	g_assert_cmpuint(crash_history_count(&history, "0", 0, NOW_US), ==, 0);
	g_assert_cmpuint(crash_history_count(&history, "1", 0, NOW_US), ==, 1);
	crash_history_free(&history);
}

/* Reports to RECEIVER what has changed at SENDER since SEQUENCE, as entries do. Returns the number
 * of records reported. */
static guint report(const struct crash_history *sender, uint64_t *sequence,
		    struct crash_history *receiver)
{
	GPtrArray *records = g_ptr_array_new();
	guint count;

	*sequence = crash_history_since(sender, *sequence, records);
	count = records->len;
	for (guint i = 0; i < count; i++) {
		const struct crash_record *record = records->pdata[i];

		for (guint j = 0; j < record->servers->len; j++)
			crash_history_merge(receiver, record->task, record->servers->pdata[j],
					    NOW_US);
	}
	g_ptr_array_free(records, TRUE);
	return count;
}

/* Each of two entries sees a crash under the same task before the other one reports its own. */
static void test_two_entries(void)
{
	struct crash_history first, second;
	uint64_t first_sequence = 0;
	uint64_t second_sequence = 0;

	crash_history_init(&first, RETENTION_US, MAX_TASKS);
	crash_history_init(&second, RETENTION_US, MAX_TASKS);
	crash_history_add(&first, "b", 0, "i-0", true, NOW_US);
	g_assert_cmpuint(report(&first, &first_sequence, &second), ==, 1);
	report(&second, &second_sequence, &first);
	g_assert_cmpuint(crash_history_count(&first, "b", 0, NOW_US), ==, 1);
	crash_history_add(&first, "a", 0, "i-1", true, NOW_US);
	crash_history_add(&second, "a", 0, "i-2", true, NOW_US);
	g_assert_cmpuint(report(&second, &second_sequence, &first), ==, 1);
	g_assert_cmpuint(report(&first, &first_sequence, &second), ==, 1);
	g_assert_cmpuint(crash_history_count(&first, "a", 0, NOW_US), ==, 2);
	g_assert_cmpuint(crash_history_count(&second, "a", 0, NOW_US), ==, 2);
	/* What both know is not sent back and forth. */
	report(&second, &second_sequence, &first);
	g_assert_cmpuint(report(&first, &first_sequence, &second), ==, 0);
	g_assert_cmpuint(report(&second, &second_sequence, &first), ==, 0);
	crash_history_free(&first);
	crash_history_free(&second);
}

/* An entry restarts after each crash that it has seen. Guards against a count that stays at 1. */
static void test_restarted_entry(void)
{
	struct crash_history other;
	uint64_t other_sequence = 0;

	crash_history_init(&other, RETENTION_US, MAX_TASKS);
	for (uint32_t life = 0; life < 3; life++) {
		struct crash_history restarted;
		uint64_t sequence = 0;
		char server[8];

		other_sequence = 0; /* a new connection */
		crash_history_init(&restarted, RETENTION_US, MAX_TASKS);
		report(&other, &other_sequence, &restarted);
		g_assert_cmpuint(crash_history_count(&restarted, "a", 0, NOW_US), ==, life);
		g_snprintf(server, sizeof(server), "i-%u", life);
		crash_history_add(&restarted, "a", 0, server, true, NOW_US);
		report(&restarted, &sequence, &other);
		crash_history_free(&restarted);
	}
	g_assert_cmpuint(crash_history_count(&other, "a", 0, NOW_US), ==, 3);
	crash_history_free(&other);
}

/* Another entry reports more servers than are worth remembering. */
static void test_many_servers(void)
{
	struct crash_history history;

	crash_history_init(&history, RETENTION_US, MAX_TASKS);
	for (int i = 0; i < 100; i++) {
		char server[8];

		g_snprintf(server, sizeof(server), "i-%d", i);
		crash_history_merge(&history, "a.0", server, NOW_US);
	}
	g_assert_cmpuint(crash_history_count(&history, "a", 0, NOW_US), ==,
			 CRASH_RECORD_MAX_SERVERS);
	crash_history_free(&history);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crash_history/count", test_count);
	g_test_add_func("/crash_history/limit", test_limit);
	g_test_add_func("/crash_history/two_entries", test_two_entries);
	g_test_add_func("/crash_history/restarted_entry", test_restarted_entry);
	g_test_add_func("/crash_history/many_servers", test_many_servers);
	return g_test_run();
}
