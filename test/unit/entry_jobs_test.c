#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "entry_jobs.h"

static const struct ident digest = {.bytes = {1}};

static struct job *add_job(struct job_store *store, const char *key, uint32_t tasks)
{
	GString *text = g_string_new("{\"class\":\"c\",\"team\":\"t\",\"tasks\":[0");
	struct job_body *body = NULL;
	char *copy;

	for (uint32_t i = 1; i < tasks; i++)
		g_string_append_printf(text, ",%u", i);
	g_string_append(text, "]}");
	copy = strdup(text->str);
	g_assert_cmpint(entry_body_parse(copy, text->len, 1000, &body, NULL), ==, STATUS_OK);
	g_string_free(text, TRUE);
	return entry_jobs_add(store, body, key, &digest);
}

static bool store_result(struct job *job, uint32_t task, const char *text)
{
	return entry_jobs_store_result(job, task, (uint8_t *)strdup(text), (uint32_t)strlen(text));
}

static void check_answer(const struct job *job, const char *expected)
{
	gsize length;
	const char *text = g_bytes_get_data(job->answer, &length);
	char *copy = g_strndup(text, length);

	g_assert_cmpstr(copy, ==, expected);
	g_free(copy);
}

static struct job_store make_store(uint32_t max_jobs, uint64_t max_bytes)
{
	struct job_store store;

	entry_jobs_init(&store, &(struct job_limits){.max_jobs = max_jobs,
						     .max_answer_bytes = max_bytes,
						     .retention_us = 1000});
	return store;
}

/* Guards against answers with results in order of arrival, or with a late, repeated result in place
 * of the first one. */
static void test_results_in_task_order(void)
{
	struct job_store store = make_store(10, 1000);
	struct job *job = add_job(&store, "k", 3);

	g_assert_true(store_result(job, 2, "\"c\""));
	g_assert_true(store_result(job, 0, "{}"));
	g_assert_false(store_result(job, 2, "\"late\""));
	g_assert_false(store_result(job, 3, "1"));
	g_assert_true(store_result(job, 1, "[1]"));
	entry_jobs_complete(&store, job, 5);
	check_answer(job, "{\"job\":\"k\",\"state\":\"done\",\"results\":[{},[1],\"c\"]}");
	g_assert_false(store_result(job, 0, "1"));
	entry_jobs_free(&store);
}

/* Guards against partial answers: the answer of a failed job contains no results, even if some have
 * arrived. */
static void test_failed_answer_is_not_partial(void)
{
	struct job_store store = make_store(10, 1000);
	struct job *job = add_job(&store, "k", 2);
	struct error err;

	store_result(job, 0, "1");
	error_set_unknown(&err, STATUS_TASK_FAILED, "task 1: no");
	entry_jobs_end_with_error(&store, job, JOB_FAILED, &err, 5);
	check_answer(job, "{\"job\":\"k\",\"state\":\"failed\",\"error\":{\"type\":\"task_failed\","
			  "\"outcome\":\"unknown\",\"message\":\"task 1: no\"}}");
	g_assert_cmpuint(store.active_jobs, ==, 0);
	entry_jobs_free(&store);
}

/* Answers are removed by age and by the limit on bytes, oldest first. Guards against the removal of
 * active jobs and against wrong totals after a removal. */
static void test_expiry_by_age_and_size(void)
{
	struct job_store store = make_store(10, 100);
	struct job *active = add_job(&store, "active", 1);
	struct handle first;
	struct handle second;
	struct job *job;

	for (int i = 0; i < 3; i++) {
		job = add_job(&store, "k", 1);
		store_result(job, 0, "1");
		entry_jobs_complete(&store, job, 100 * i);
		if (i == 0)
			first = job->self;
		if (i == 1)
			second = job->self;
	}
	entry_jobs_expire(&store, 300);
	g_assert_null(entry_jobs_get(&store, first));
	g_assert_nonnull(entry_jobs_get(&store, second));
	entry_jobs_expire(&store, 1100);
	g_assert_null(entry_jobs_get(&store, second));
	g_assert_nonnull(entry_jobs_get(&store, job->self));
	entry_jobs_expire(&store, 1200);
	g_assert_cmpuint(store.answer_bytes, ==, 0);
	g_assert_cmpuint(store.unfetched_answers, ==, 0);
	g_assert_true(entry_jobs_get(&store, active->self) == active);
	entry_jobs_free(&store);
}

/* Ended jobs are removed to make room for new ones. Guards against the removal of active jobs at
 * the limit on jobs. */
static void test_make_room_keeps_active_jobs(void)
{
	struct job_store store = make_store(2, 1000);
	struct job *ended = add_job(&store, "a", 1);
	struct handle handle = ended->self;
	struct error err;

	add_job(&store, "b", 1);
	g_assert_false(entry_jobs_make_room(&store));
	error_set(&err, STATUS_CANCELLED, "x");
	entry_jobs_end_with_error(&store, ended, JOB_CANCELLED, &err, 1);
	g_assert_true(entry_jobs_make_room(&store));
	g_assert_null(entry_jobs_get(&store, handle));
	entry_jobs_free(&store);
}

/* Guards against a stale scheduler handle that finds another job after the scheduler reused its
 * index. */
static void test_lookup_by_scheduler_handle(void)
{
	struct job_store store = make_store(10, 1000);
	struct handle old = {.index = 700, .generation = 1};
	struct handle reused = {.index = 700, .generation = 3};
	struct job *first = add_job(&store, "a", 1);
	struct job *second = add_job(&store, "b", 1);

	g_assert_null(entry_jobs_find_by_sched_job(&store, old));
	entry_jobs_set_sched_job(&store, first, old);
	g_assert_true(entry_jobs_find_by_sched_job(&store, old) == first);
	g_assert_null(entry_jobs_find_by_sched_job(&store, reused));
	entry_jobs_set_sched_job(&store, second, reused);
	g_assert_true(entry_jobs_find_by_sched_job(&store, reused) == second);
	g_assert_null(entry_jobs_find_by_sched_job(&store, old));
	entry_jobs_free(&store);
}

/* Guards against growth of the memory for each queued task. The target is 200 bytes per task
 * besides the body. The job store may use at most 100 of them, averaged over a job of ten tasks and
 * without results. */
static void test_memory_per_task(void)
{
	size_t fixed = sizeof(struct job) + sizeof(struct job_body) + 64;

	g_assert_cmpuint(fixed / 10 + sizeof(struct body_slice), <=, 100);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry_jobs/order", test_results_in_task_order);
	g_test_add_func("/entry_jobs/failed", test_failed_answer_is_not_partial);
	g_test_add_func("/entry_jobs/retention", test_expiry_by_age_and_size);
	g_test_add_func("/entry_jobs/room", test_make_room_keeps_active_jobs);
	g_test_add_func("/entry_jobs/by_sched", test_lookup_by_scheduler_handle);
	g_test_add_func("/entry_jobs/memory", test_memory_per_task);
	return g_test_run();
}
