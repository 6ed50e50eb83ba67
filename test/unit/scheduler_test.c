#include <glib.h>
#include <stdio.h>

#include "scheduler.h"

enum {
	SEED = 7,
	AGED_US = 10 * 10 * 100000 /* ageing_divisor * 10 tasks * run time */
};

static struct sched *new_sched(void)
{
	const struct sched_limits limits = {
		.max_queued_tasks = 1000,
		.max_queued_bytes = 100000,
		.ageing_divisor = 10,
		.zone_penalty_us = 500,
	};

	return sched_new(&limits, "a", SEED);
}

static struct handle add_server(struct sched *sched, const char *zone, uint64_t credits)
{
	const struct sched_server_spec spec = {.id = "s", .zone = zone, .slots = 8, .open = true};
	struct handle server = sched_server_add(sched, &spec, NULL);

	sched_server_set_credits(sched, server, credits);
	return server;
}

static enum status try_submit(struct sched *sched, const char *class, const char *team,
			      uint32_t tasks, int64_t now_us, struct handle *job)
{
	const struct sched_job_spec spec = {
		.class_name = class,
		.team = team,
		.tasks = tasks,
		.bytes = 10,
		.declared_run_us = 100000,
	};

	return sched_submit(sched, &spec, now_us, job, NULL);
}

static struct handle submit(struct sched *sched, const char *team, uint32_t tasks, int64_t now_us)
{
	struct handle job;

	g_assert_cmpint(try_submit(sched, "c", team, tasks, now_us, &job), ==, STATUS_OK);
	return job;
}

static struct sched_assignment next_start(struct sched *sched, int64_t now_us)
{
	struct sched_assignment start;

	g_assert_true(sched_next_assignment(sched, now_us, &start));
	return start;
}

static void assert_no_start(struct sched *sched, int64_t now_us)
{
	struct sched_assignment start;

	g_assert_false(sched_next_assignment(sched, now_us, &start));
}

static struct sched_job_view job_view(struct sched *sched, struct handle job)
{
	struct sched_job_view view;

	g_assert_true(sched_job_view(sched, job, &view));
	return view;
}

static enum sched_job_state report_done(struct sched *sched, const struct sched_assignment *start,
					int64_t run_us)
{
	return sched_task_done(sched, start->job, start->task, start->server, run_us, 0);
}

static enum sched_job_state report_refused(struct sched *sched,
					   const struct sched_assignment *start)
{
	return sched_task_refused(sched, start->job, start->task, start->server, 0);
}

/* Reports RESULTS results of class "c" with a run time of RUN_US on SERVER. */
static void report_results(struct sched *sched, struct handle server, int64_t run_us, int results)
{
	for (int i = 0; i < results; i++) {
		struct handle job = submit(sched, "t", 1, 0);
		struct sched_assignment start;

		sched_server_set_credits(sched, server, 1);
		start = next_start(sched, 0);
		g_assert_true(handle_equal(start.server, server));
		g_assert_cmpint(report_done(sched, &start, run_us), ==, SCHED_JOB_DONE);
		sched_release(sched, job);
	}
}

/* Guards against tasks of a job that start twice or never, and against a job that ends before its
 * last result. */
static void test_job_runs_every_task_once(void)
{
	struct sched *sched = new_sched();
	struct sched_assignment starts[130];
	struct handle job;
	bool seen[130] = {false};

	add_server(sched, "a", 130);
	job = submit(sched, "t", 130, 0);
	for (int i = 0; i < 130; i++) {
		starts[i] = next_start(sched, 0);
		g_assert_false(seen[starts[i].task]);
		seen[starts[i].task] = true;
	}
	assert_no_start(sched, 0);
	for (int i = 0; i < 129; i++)
		g_assert_cmpint(report_done(sched, &starts[i], 1000), ==, SCHED_JOB_RUNNING);
	g_assert_cmpint(report_done(sched, &starts[129], 1000), ==, SCHED_JOB_DONE);
	g_assert_cmpuint(sched_running_tasks(sched), ==, 0);
	sched_release(sched, job);
	sched_free(sched);
}

/* Guards against telling the client that no task ran ("not_run") for a cancelled or failed job of
 * which a task may have run: a task, even a failed one, must stay in "started" unless it is
 * refused. */
static void test_started_counts_until_refused(void)
{
	struct sched *sched = new_sched();
	struct sched_assignment a;
	struct sched_assignment b;
	struct handle job;

	add_server(sched, "a", 2);
	job = submit(sched, "t", 3, 0);
	a = next_start(sched, 0);
	b = next_start(sched, 0);
	g_assert_true(sched_cancel(sched, job, 0));
	g_assert_false(sched_cancel(sched, job, 0));
	g_assert_cmpuint(job_view(sched, job).started, ==, 2);
	g_assert_cmpint(report_refused(sched, &a), ==, SCHED_JOB_CANCELLED);
	g_assert_cmpuint(job_view(sched, job).started, ==, 1);
	report_refused(sched, &a);
	g_assert_cmpuint(job_view(sched, job).started, ==, 1);
	sched_task_failed(sched, b.job, b.task, b.server, 0);
	report_refused(sched, &b);
	g_assert_cmpuint(job_view(sched, job).started, ==, 1);
	g_assert_cmpuint(job_view(sched, job).running, ==, 0);
	g_assert_cmpuint(sched_queued_tasks(sched), ==, 0);
	sched_free(sched);
}

/* Guards against exceeding a team's running limit: a task that is still outstanding when its job is
 * released must count towards the limit, and a repeated event must not decrease the count twice. */
static void test_released_job_counts_outstanding_task(void)
{
	const struct sched_team_rules rules = {.name = "t", .weight = 1, .max_running = 1};
	struct sched *sched = new_sched();
	struct sched_job_view view;
	struct sched_assignment start;
	struct handle job;

	sched_set_rules(sched, NULL, 0, &rules, 1);
	add_server(sched, "a", 5);
	job = submit(sched, "t", 1, 0);
	submit(sched, "t", 2, 0);
	start = next_start(sched, 0);
	g_assert_true(sched_fail(sched, job, 0));
	sched_release(sched, job);
	g_assert_false(sched_job_view(sched, job, &view));
	g_assert_cmpuint(sched_running_tasks(sched), ==, 1);
	assert_no_start(sched, 0);
	report_done(sched, &start, 1000);
	report_done(sched, &start, 1000);
	g_assert_cmpuint(sched_running_tasks(sched), ==, 0);
	next_start(sched, 0);
	assert_no_start(sched, 0);
	sched_free(sched);
}

/* Guards against refused tasks that are lost: a refused task must start again, and a job whose only
 * task was refused must return to the queued state. */
static void test_refused_task_is_queued_again(void)
{
	struct sched *sched = new_sched();
	struct sched_assignment start;
	struct handle job;

	add_server(sched, "a", 9);
	job = submit(sched, "t", 100, 0);
	start = next_start(sched, 0);
	next_start(sched, 0);
	g_assert_cmpint(report_refused(sched, &start), ==, SCHED_JOB_RUNNING);
	g_assert_cmpuint(sched_queued_tasks(sched), ==, 99);
	g_assert_cmpuint(next_start(sched, 0).task, ==, start.task);
	sched_cancel(sched, job, 0);
	job = submit(sched, "t", 1, 0);
	start = next_start(sched, 0);
	g_assert_cmpint(report_refused(sched, &start), ==, SCHED_JOB_QUEUED);
	g_assert_cmpuint(job_view(sched, job).started, ==, 0);
	sched_free(sched);
}

/* Guards against starting further tasks of a job after one of its tasks failed. */
static void test_failed_task_fails_its_job(void)
{
	struct sched *sched = new_sched();
	struct sched_assignment start;

	add_server(sched, "a", 9);
	submit(sched, "t", 5, 0);
	start = next_start(sched, 0);
	g_assert_cmpint(sched_task_failed(sched, start.job, start.task, start.server, 0), ==,
			SCHED_JOB_FAILED);
	assert_no_start(sched, 0);
	g_assert_cmpuint(sched_queued_tasks(sched), ==, 0);
	sched_free(sched);
}

/* Guards against a wrong job order: a small job must start before a large one, a weight must divide
 * the work of a job, and a large job that has waited long enough must start before newer small
 * ones. */
static void test_job_order(void)
{
	const struct sched_team_rules rules = {.name = "heavy", .weight = 20};
	struct sched *sched = new_sched();
	struct handle server;
	struct handle large;
	struct handle heavy;
	struct handle small;

	sched_set_rules(sched, NULL, 0, &rules, 1);
	server = add_server(sched, "a", 0);
	large = submit(sched, "t", 10, 0);
	heavy = submit(sched, "heavy", 20, 0);
	small = submit(sched, "t", 3, 0);
	for (int i = 0; i < 23; i++) {
		struct sched_assignment start;

		sched_server_set_credits(sched, server, 1);
		start = next_start(sched, 0);
		g_assert_true(handle_equal(start.job, i < 20 ? heavy : small));
	}
	submit(sched, "t", 1, AGED_US);
	sched_server_set_credits(sched, server, 1);
	g_assert_true(handle_equal(next_start(sched, AGED_US).job, large));
	sched_free(sched);
}

/* Guards against starting a task on a server that is outside the zones of the task's class or lacks
 * a label that the class requires, and against exceeding the running limit of the class. */
static void test_class_rules(void)
{
	const char *zones[] = {"b", NULL};
	const char *labels[] = {"gpu=yes", NULL};
	const char *server_labels[] = {"disk=ssd", "gpu=yes", NULL};
	const struct sched_class_rules rules = {
		.name = "c", .zones = zones, .labels = labels, .max_running = 1};
	const struct sched_server_spec spec = {
		.id = "s", .zone = "b", .labels = server_labels, .slots = 8, .open = true};
	struct sched *sched = new_sched();
	struct sched_assignment start;
	struct handle server;
	struct handle job;

	sched_set_rules(sched, &rules, 1, NULL, 0);
	add_server(sched, "a", 5);
	add_server(sched, "b", 5);
	g_assert_cmpint(try_submit(sched, "c", "t", 1, 0, &job), ==, STATUS_NO_CAPACITY_MATCH);
	g_assert_cmpint(try_submit(sched, "x", "t", 1, 0, &job), ==, STATUS_NO_CAPACITY_MATCH);
	server = sched_server_add(sched, &spec, NULL);
	sched_server_set_credits(sched, server, 5);
	submit(sched, "t", 3, 0);
	g_assert_cmpuint(sched_server_demand(sched, server), ==, 3);
	start = next_start(sched, 0);
	g_assert_true(handle_equal(start.server, server));
	assert_no_start(sched, 0);
	report_done(sched, &start, 1000);
	next_start(sched, 0);
	sched_server_remove(sched, server);
	g_assert_cmpint(try_submit(sched, "c", "t", 1, 0, &job), ==, STATUS_NO_CAPACITY_MATCH);
	sched_free(sched);
}

/* Guards against an unbounded queue: the limits on tasks and bytes and the quota of a team must
 * hold, and a cancelled job must no longer count towards them. */
static void test_admission_bounds(void)
{
	const struct sched_team_rules rules = {.name = "q", .weight = 1, .max_queued = 5};
	struct sched *sched = new_sched();
	struct sched_job_spec big = {.class_name = "c", .team = "t", .tasks = 1, .bytes = 99991};
	struct handle first;
	struct handle job;

	sched_set_rules(sched, NULL, 0, &rules, 1);
	add_server(sched, "a", 0);
	g_assert_cmpint(try_submit(sched, "c", "t", 0, 0, &job), ==, STATUS_INVALID_REQUEST);
	g_assert_cmpint(try_submit(sched, "c", "q", 6, 0, &job), ==, STATUS_QUOTA_EXCEEDED);
	submit(sched, "q", 5, 0);
	first = submit(sched, "t", 995, 0);
	g_assert_cmpint(try_submit(sched, "c", "t", 1, 0, &job), ==, STATUS_QUEUE_FULL);
	sched_cancel(sched, first, 0);
	g_assert_cmpint(sched_submit(sched, &big, 0, &job, NULL), ==, STATUS_QUEUE_FULL);
	big.bytes--;
	g_assert_cmpint(sched_submit(sched, &big, 0, &job, NULL), ==, STATUS_OK);
	sched_free(sched);
}

/* Guards against admitting a job whose deadline the queue and the run time make unreachable, and
 * against reporting an admitted job as expired too early, twice or after it was cancelled. */
static void test_deadlines(void)
{
	struct sched *sched = new_sched();
	struct sched_job_spec spec = {.class_name = "c",
				      .team = "t",
				      .tasks = 1,
				      .declared_run_us = 100000,
				      .deadline_us = 150000};
	struct handle expired[4];
	struct handle job;
	struct handle ended;

	add_server(sched, "a", 0);
	g_assert_cmpint(sched_submit(sched, &spec, 100000, &job, NULL), ==,
			STATUS_DEADLINE_UNREACHABLE);
	g_assert_cmpint(sched_submit(sched, &spec, 0, &job, NULL), ==, STATUS_OK);
	g_assert_cmpint(sched_submit(sched, &spec, 0, &ended, NULL), ==, STATUS_OK);
	sched_cancel(sched, ended, 0);
	for (int i = 0; i < 80; i++)
		submit(sched, "t", 1, 0);
	g_assert_cmpint(sched_submit(sched, &spec, 0, &ended, NULL), ==,
			STATUS_DEADLINE_UNREACHABLE);
	g_assert_cmpuint(sched_take_expired(sched, 149999, expired, 4), ==, 0);
	g_assert_cmpuint(sched_take_expired(sched, 150000, expired, 4), ==, 1);
	g_assert_true(handle_equal(expired[0], job));
	g_assert_true(sched_fail(sched, job, 150000));
	g_assert_cmpuint(sched_take_expired(sched, 150000, expired, 4), ==, 0);
	sched_free(sched);
}

/* Guards against refusing all jobs of a class for ever because of a wrong learned run time. Only
 * the result of a job can correct it, so one of several jobs that would be refused must be
 * admitted. */
static void test_idle_class_is_probed_after_refusals(void)
{
	struct sched *sched = new_sched();
	struct sched_job_spec spec = {
		.class_name = "c", .team = "t", .tasks = 1, .deadline_us = 1000000};
	struct handle job;
	int refusals = 0;

	report_results(sched, add_server(sched, "a", 0), 5000000, 3);
	while (sched_submit(sched, &spec, 0, &job, NULL) != STATUS_OK)
		g_assert_cmpint(++refusals, <, 100);
	g_assert_cmpint(refusals, >, 3);
	sched_free(sched);
}

/* Guards against learning too slowly or too fast: a declared run time that is 10 times too long or
 * too short must be corrected by the first results, and a straggler must not shift a learned value
 * much. */
static void test_learning_corrects_declared_values(void)
{
	for (int64_t run_us = 10000; run_us <= 1000000; run_us *= 100) {
		struct sched *sched = new_sched();
		struct handle server = add_server(sched, "a", 0);
		int64_t ideal;

		report_results(sched, server, run_us, 5);
		ideal = job_view(sched, submit(sched, "t", 1, 0)).ideal_us;
		g_assert_cmpint(ideal, >, run_us * 8 / 10);
		g_assert_cmpint(ideal, <, run_us * 12 / 10);
		sched_free(sched);
	}
	struct sched *sched = new_sched();
	struct handle server = add_server(sched, "a", 0);

	report_results(sched, server, 100000, 40);
	report_results(sched, server, 100000000, 2);
	g_assert_cmpint(job_view(sched, submit(sched, "t", 1, 0)).ideal_us, <, 150000);
	sched_free(sched);
}

/* Guards against placing tasks on a slower server, on a server in another zone when both are
 * equally fast, or on a server that refuses tasks and therefore always has free slots. */
static void test_server_choice(void)
{
	struct sched *sched = new_sched();
	struct handle far = add_server(sched, "b", 0);
	struct handle near = add_server(sched, "a", 0);
	struct sched_assignment start;

	submit(sched, "t", 9, 0);
	sched_server_set_credits(sched, far, 9);
	sched_server_set_credits(sched, near, 9);
	start = next_start(sched, 0);
	g_assert_true(handle_equal(start.server, near));
	report_refused(sched, &start);
	g_assert_true(handle_equal(next_start(sched, 0).server, far));
	sched_free(sched);

	sched = new_sched();
	near = add_server(sched, "a", 0);
	far = add_server(sched, "b", 0);
	report_results(sched, near, 800000, 10);
	sched_server_set_credits(sched, near, 0);
	report_results(sched, far, 100000, 10);
	sched_server_set_credits(sched, near, 1);
	sched_server_set_credits(sched, far, 1);
	submit(sched, "t", 1, 0);
	g_assert_true(handle_equal(next_start(sched, 0).server, far));
	sched_free(sched);
}

/* Guards against starting the last tasks of a burst on a slow server shortly before a much faster
 * one becomes available, against waiting while the queue is deep, and against waiting for longer
 * than the wait can save. */
static void test_waits_for_a_much_faster_server(void)
{
	struct sched *sched = new_sched();
	struct handle slow = add_server(sched, "a", 0);
	struct handle fast = add_server(sched, "a", 0);
	struct handle large_job;
	int64_t wake;

	report_results(sched, slow, 1000000, 20);
	sched_server_set_credits(sched, slow, 0);
	report_results(sched, fast, 100000, 20);
	submit(sched, "t", 5, 0);
	sched_server_set_credits(sched, fast, 4);
	for (int i = 0; i < 4; i++)
		g_assert_true(handle_equal(next_start(sched, 0).server, fast));
	sched_server_set_credits(sched, slow, 2);
	assert_no_start(sched, 0);
	wake = sched_wakeup_us(sched);
	g_assert_cmpint(wake, >, 100000);
	g_assert_cmpint(wake, <, 2000000);
	large_job = submit(sched, "t", 200, 0);
	g_assert_true(handle_equal(next_start(sched, 0).server, slow));
	sched_cancel(sched, large_job, 0);
	submit(sched, "t", 1, 0);
	assert_no_start(sched, 0);
	g_assert_true(handle_equal(next_start(sched, sched_wakeup_us(sched)).server, slow));
	sched_free(sched);
}

/* Guards against waiting for a fast server that does not respond. */
static void test_does_not_wait_for_a_stalled_server(void)
{
	struct sched *sched = new_sched();
	struct handle slow = add_server(sched, "a", 0);
	struct handle fast = add_server(sched, "a", 0);

	report_results(sched, slow, 1000000, 20);
	sched_server_set_credits(sched, slow, 0);
	report_results(sched, fast, 100000, 20);
	submit(sched, "t", 2, 0);
	sched_server_set_credits(sched, fast, 1);
	g_assert_true(handle_equal(next_start(sched, 0).server, fast));
	sched_server_set_credits(sched, slow, 1);
	assert_no_start(sched, 1000);
	assert_no_start(sched, 200000);
	g_assert_true(handle_equal(next_start(sched, 600000).server, slow));
	sched_server_set_credits(sched, slow, 1);
	submit(sched, "t", 1, 600000);
	g_assert_true(handle_equal(next_start(sched, 600000).server, slow));
	sched_free(sched);
}

/* Guards against refusals by the only server raising its expected run time, which would make the
 * deadline of a later job unreachable. */
static void test_refusals_do_not_change_estimates(void)
{
	struct sched *sched = new_sched();
	struct sched_job_spec spec = {
		.class_name = "c", .team = "t", .tasks = 1, .deadline_us = 500000};
	struct handle server;
	struct handle job;

	server = add_server(sched, "a", 0);
	report_results(sched, server, 100000, 10);
	job = submit(sched, "t", 1, 0);
	for (int i = 0; i < 5; i++) {
		struct sched_assignment start;

		sched_server_set_credits(sched, server, 1);
		start = next_start(sched, 0);
		report_refused(sched, &start);
	}
	sched_cancel(sched, job, 0);
	g_assert_cmpint(sched_submit(sched, &spec, 0, &job, NULL), ==, STATUS_OK);
	g_assert_cmpint(job_view(sched, job).ideal_us, <, 150000);
	sched_free(sched);
}

/* Guards against queued jobs that keep the old limits after the rules changed, and against jobs
 * that never finish because their class was removed from the rules. */
static void test_rules_change_for_queued_jobs(void)
{
	struct sched_class_rules classes[] = {{.name = "c"}, {.name = "d"}};
	struct sched_team_rules team = {.name = "t", .weight = 1, .max_running = 1};
	struct sched *sched = new_sched();
	struct handle job;

	sched_set_rules(sched, classes, 2, &team, 1);
	add_server(sched, "a", 9);
	submit(sched, "t", 4, 0);
	next_start(sched, 0);
	assert_no_start(sched, 0);
	team.max_running = 2;
	sched_set_rules(sched, classes, 2, &team, 1);
	next_start(sched, 0);
	assert_no_start(sched, 0);
	sched_set_rules(sched, &classes[1], 1, NULL, 0);
	next_start(sched, 0);
	next_start(sched, 0);
	g_assert_cmpint(try_submit(sched, "c", "t", 1, 0, &job), ==, STATUS_NO_CAPACITY_MATCH);
	sched_free(sched);
}

/* Guards against a wrong order of the remaining jobs after most jobs were cancelled, when the queue
 * drops the stale heap entries of the cancelled jobs. */
static void test_order_after_cancellations(void)
{
	struct sched *sched = new_sched();
	struct handle jobs[900];

	add_server(sched, "a", 900);
	for (int i = 0; i < 900; i++)
		jobs[i] = submit(sched, "t", 1, i);
	for (int i = 0; i < 900; i++) {
		if (i % 10 != 0)
			sched_cancel(sched, jobs[i], 1000);
	}
	g_assert_cmpuint(sched_queued_tasks(sched), ==, 90);
	for (int i = 0; i < 900; i += 10)
		g_assert_true(handle_equal(next_start(sched, 1000).job, jobs[i]));
	assert_no_start(sched, 1000);
	sched_free(sched);
}

/* The names of classes and teams come from clients, so rows without jobs are dropped and do not
 * accumulate. Guards against breaking later jobs when the rows of unused classes and teams are
 * dropped. */
static void test_many_class_and_team_names(void)
{
	struct sched *sched = new_sched();
	struct handle server = add_server(sched, "a", 9);
	struct handle job;

	for (int i = 0; i < 2000; i++) {
		char name[16];
		struct sched_assignment start;

		snprintf(name, sizeof(name), "n%d", i);
		g_assert_cmpint(try_submit(sched, name, name, 1, 0, &job), ==, STATUS_OK);
		sched_server_set_credits(sched, server, 1);
		start = next_start(sched, 0);
		report_done(sched, &start, 1000);
		sched_release(sched, job);
	}
	g_assert_cmpuint(sched_queued_tasks(sched), ==, 0);
	sched_free(sched);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/scheduler/job-runs-to-its-end", test_job_runs_every_task_once);
	g_test_add_func("/scheduler/started-until-refused", test_started_counts_until_refused);
	g_test_add_func("/scheduler/released-job", test_released_job_counts_outstanding_task);
	g_test_add_func("/scheduler/refused-task", test_refused_task_is_queued_again);
	g_test_add_func("/scheduler/failed-task", test_failed_task_fails_its_job);
	g_test_add_func("/scheduler/order", test_job_order);
	g_test_add_func("/scheduler/class-rules", test_class_rules);
	g_test_add_func("/scheduler/admission-bounds", test_admission_bounds);
	g_test_add_func("/scheduler/deadlines", test_deadlines);
	g_test_add_func("/scheduler/deadline-probes", test_idle_class_is_probed_after_refusals);
	g_test_add_func("/scheduler/learning", test_learning_corrects_declared_values);
	g_test_add_func("/scheduler/choice-of-server", test_server_choice);
	g_test_add_func("/scheduler/waits-for-faster", test_waits_for_a_much_faster_server);
	g_test_add_func("/scheduler/stalled-server", test_does_not_wait_for_a_stalled_server);
	g_test_add_func("/scheduler/refusals-and-estimates", test_refusals_do_not_change_estimates);
	g_test_add_func("/scheduler/rules-change", test_rules_change_for_queued_jobs);
	g_test_add_func("/scheduler/cancellations", test_order_after_cancellations);
	g_test_add_func("/scheduler/unknown-names", test_many_class_and_team_names);
	return g_test_run();
}
