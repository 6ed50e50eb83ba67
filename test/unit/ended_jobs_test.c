/* Tests the records of recently ended jobs. Guards against a second run of a job whose request is
 * repeated, and against memory use that grows with the load. */
#include "ended_jobs.h"

enum {
	RETENTION_US = 10000000,
	MAX_JOBS = 4
};

/* A job must be found as long as its record is retained, or a repeated request would run it again.
 */
static void test_found_until_expired(void)
{
	struct ended_jobs ended;

	ended_jobs_init(&ended, RETENTION_US, MAX_JOBS);
	ended_jobs_record(&ended, 1, true, true, 0);
	ended_jobs_record(&ended, 2, false, false, 1);
	g_assert_true(ended_jobs_find(&ended, 1, RETENTION_US)->completed);
	g_assert_false(ended_jobs_find(&ended, 2, RETENTION_US)->completed);
	g_assert_null(ended_jobs_find(&ended, 3, 0));
	g_assert_null(ended_jobs_find(&ended, 1, RETENTION_US + 1));
	ended_jobs_free(&ended);
}

/* A report of another entry that contradicts the answer given by this entry is ignored. */
static void test_first_record_kept(void)
{
	struct ended_jobs ended;

	ended_jobs_init(&ended, RETENTION_US, MAX_JOBS);
	ended_jobs_record(&ended, 1, true, true, 0);
	ended_jobs_record(&ended, 1, false, false, 1);
	g_assert_true(ended_jobs_find(&ended, 1, 2)->completed);
	ended_jobs_free(&ended);
}

/* The answer given by this entry replaces the contradicting report of another one. Otherwise a
 * repeated request would get that one's answer, and no entry would hear of the end here. */
static void test_own_end_wins(void)
{
	GArray *completed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GArray *failed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	struct ended_jobs ended;

	ended_jobs_init(&ended, RETENTION_US, MAX_JOBS);
	ended_jobs_record(&ended, 1, false, false, 0);
	ended_jobs_record(&ended, 2, true, false, 0);
	ended_jobs_record(&ended, 1, true, true, 1);
	g_assert_true(ended_jobs_find(&ended, 1, 2)->completed);
	g_assert_cmpuint(ended.by_age.length, ==, 2);
	ended_jobs_since(&ended, 0, completed, failed);
	g_assert_cmpuint(completed->len, ==, 1);
	g_assert_cmpuint(failed->len, ==, 0);
	g_array_free(completed, TRUE);
	g_array_free(failed, TRUE);
	ended_jobs_free(&ended);
}

/* Above the limit on records, the oldest ones must be removed, and the newest must stay. */
static void test_max_jobs(void)
{
	struct ended_jobs ended;

	ended_jobs_init(&ended, RETENTION_US, MAX_JOBS);
	for (uint64_t id = 1; id <= 3 * MAX_JOBS; id++)
		ended_jobs_record(&ended, id, true, true, 0);
	g_assert_cmpuint(ended.by_age.length, ==, MAX_JOBS);
	g_assert_cmpuint(g_hash_table_size(ended.by_id), ==, MAX_JOBS);
	g_assert_nonnull(ended_jobs_find(&ended, 3 * MAX_JOBS, 0));
	ended_jobs_free(&ended);
}

/* Each job that ended at this entry is reported to each peer once. Jobs reported by a peer are not
 * forwarded. */
static void test_reported_once(void)
{
	GArray *completed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GArray *failed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	struct ended_jobs ended;
	uint64_t sequence;

	ended_jobs_init(&ended, RETENTION_US, MAX_JOBS);
	ended_jobs_record(&ended, 1, true, true, 0);
	ended_jobs_record(&ended, 2, false, true, 0);
	ended_jobs_record(&ended, 3, true, false, 0);
	sequence = ended_jobs_since(&ended, 0, completed, failed);
	g_assert_cmpuint(completed->len, ==, 1);
	g_assert_cmpuint(g_array_index(failed, uint64_t, 0), ==, 2);
	ended_jobs_record(&ended, 4, true, true, 0);
	ended_jobs_since(&ended, sequence, completed, failed);
	g_assert_cmpuint(completed->len, ==, 2);
	g_assert_cmpuint(failed->len, ==, 1);
	g_array_free(completed, TRUE);
	g_array_free(failed, TRUE);
	ended_jobs_free(&ended);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ended_jobs/found_until_expired", test_found_until_expired);
	g_test_add_func("/ended_jobs/first_end_stands", test_first_record_kept);
	g_test_add_func("/ended_jobs/own_end_wins", test_own_end_wins);
	g_test_add_func("/ended_jobs/bounded", test_max_jobs);
	g_test_add_func("/ended_jobs/since", test_reported_once);
	return g_test_run();
}
