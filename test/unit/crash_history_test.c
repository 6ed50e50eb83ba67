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

	crash_history_init(&history, RETENTION_US, MAX_TASKS);
	g_assert_cmpuint(crash_history_count(&history, "a", 0, NOW_US), ==, 0);
	crash_history_add(&history, "a", 0, "i-1", NOW_US);
	record = crash_history_add(&history, "a", 0, "i-2", NOW_US + US_PER_SECOND);
	g_assert_cmpstr(record->servers->str, ==, "i-1 i-2");
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
		crash_history_add(&history, job, 0, "i-1", NOW_US);
	}
	g_assert_cmpuint(crash_history_count(&history, "0", 0, NOW_US), ==, 0);
	g_assert_cmpuint(crash_history_count(&history, "1", 0, NOW_US), ==, 1);
	crash_history_free(&history);
}

/* Two entries tell each other of a crash at each of them. Both end at the higher count, and
 * nothing that came from the other one is sent back to it. */
static void test_two_entries(void)
{
	struct crash_history first, second;
	GPtrArray *records = g_ptr_array_new();
	const struct crash_record *record;
	uint64_t sequence;

	crash_history_init(&first, RETENTION_US, MAX_TASKS);
	crash_history_init(&second, RETENTION_US, MAX_TASKS);
	record = crash_history_add(&first, "a", 0, "i-1", NOW_US);
	crash_history_merge(&second, record->task, record->crashes, NOW_US);
	g_assert_cmpuint(crash_history_since(&second, 0, records), ==, 1);
	g_assert_cmpuint(records->len, ==, 0);
	record = crash_history_add(&second, "a", 0, "i-2", NOW_US);
	g_assert_cmpuint(record->crashes, ==, 2);
	sequence = crash_history_since(&second, 1, records);
	g_assert_cmpuint(records->len, ==, 1);
	crash_history_merge(&first, record->task, record->crashes, NOW_US);
	crash_history_merge(&first, record->task, 1, NOW_US);
	crash_history_merge(&first, "b.0", 0, NOW_US);
	g_assert_cmpuint(crash_history_count(&first, "a", 0, NOW_US), ==, 2);
	g_assert_cmpuint(crash_history_count(&first, "b", 0, NOW_US), ==, 0);
	g_ptr_array_set_size(records, 0);
	g_assert_cmpuint(crash_history_since(&second, sequence, records), ==, sequence);
	g_assert_cmpuint(records->len, ==, 0);
	g_ptr_array_free(records, TRUE);
	crash_history_free(&first);
	crash_history_free(&second);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crash_history/count", test_count);
	g_test_add_func("/crash_history/limit", test_limit);
	g_test_add_func("/crash_history/two_entries", test_two_entries);
	return g_test_run();
}
