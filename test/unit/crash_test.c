/* Tests tasks under which backend servers crash. Guards against a task that takes down one server
 * after the other, in one submission, over several ones and at several entries. */
#include "dispatch_fixture.h"

enum {
	SERVERS = 8,
	SERVER_CPU = 64000,
	TASK_CPU = 6200,
	TASK_US = 60 * US_PER_MS,
	SLACK_US = 1000 * US_PER_MS,
	DEADLINE_US = 3000 * US_PER_MS,
	RETENTION_US = 10 * US_PER_SECOND,
	NOW_US = 100 * US_PER_SECOND,
	MAX_STARTS = 2,		   /* a task is given up after this many crashes */
	MAX_UNCONFIRMED_STARTS = 4 /* one more after three servers may have crashed */
};

#define JOB_ID "0123456789abcdef"

/* One entry and its servers. */
struct crash_fixture {
	struct fixture base;
	int64_t now_us;
	uint32_t boots; /* of servers after a crash */
};

static void set_up(struct crash_fixture *fixture)
{
	const struct fleet_report report = {
		.ready = true,
		.free = {.cpu = SERVER_CPU, .memory_mb = FIXTURE_MEMORY_MB},
		.speed = 1.0,
		.speed_known = true,
		.run_us = TASK_US,
	};

	*fixture = (struct crash_fixture){.now_us = NOW_US};
	fixture_init(&fixture->base, RETENTION_US);
	for (int i = 0; i < SERVERS; i++) {
		struct fleet_server *server = fixture_add_server(&fixture->base, &report, NOW_US);

		g_snprintf(server->id, sizeof(server->id), "i-%d", i);
	}
}

static void submit(struct crash_fixture *fixture)
{
	fixture_submit(&fixture->base,
		       (struct job_request){
			       .id = JOB_ID,
			       .tasks = 1,
			       .need = {.cpu = TASK_CPU, .memory_mb = 1},
			       .estimate_us = TASK_US,
			       .max_attempts = 4,
			       .stretch = 1,
			       .slack_us = SLACK_US,
			       .deadline_us = fixture->now_us + DEADLINE_US,
		       },
		       fixture->now_us);
}

/* Returns the server that has RUN. */
static struct fleet_server *server_of(struct crash_fixture *fixture, uint64_t run)
{
	struct fleet *fleet = &fixture->base.dispatch.fleet;
	uint32_t cursor = 0;
	struct handle handle;
	struct fleet_server *server;

	while ((server = table_next(&fleet->servers, &cursor, &handle))) {
		if (dispatch_run_is_on(&fixture->base.dispatch, run, handle))
			break;
	}
	g_assert_nonnull(server);
	return server;
}

/* Starts a crashed server again. Each process of a server has an id of its own. */
static void restart_server(struct crash_fixture *fixture, struct fleet_server *server)
{
	g_snprintf(server->id, sizeof(server->id), "restarted-%u", ++fixture->boots);
}

/* Ends the last run that was started, 10 ms later. A server that has crashed is back at once. */
static void end_run(struct crash_fixture *fixture, enum run_outcome outcome)
{
	struct fleet_server *server = server_of(fixture, fixture->base.last_run);

	fixture->now_us += 10 * US_PER_MS;
	dispatch_run_ended(&fixture->base.dispatch, fixture->base.last_run, outcome, 0,
			   fixture->now_us);
	if (outcome == RUN_CRASHED)
		restart_server(fixture, server);
	dispatch_pump(&fixture->base.dispatch, fixture->now_us);
}

/* Submits the job and ends each run that is started with OUTCOME, at most SERVERS of them. */
static void submit_and_end_all(struct crash_fixture *fixture, enum run_outcome outcome)
{
	uint32_t ended = 0;

	submit(fixture);
	while (ended < fixture->base.starts && ended < SERVERS) {
		ended++;
		end_run(fixture, outcome);
	}
}

/* Crashes the server of each run that is started, and counts the starts. */
static void test_one_submission(void)
{
	struct crash_fixture fixture;

	set_up(&fixture);
	submit_and_end_all(&fixture, RUN_CRASHED);
	g_assert_cmpuint(fixture.base.starts, ==, MAX_STARTS);
	g_assert_cmpuint(fixture.base.finished, ==, 1);
	g_assert_cmpint(fixture.base.status, ==, STATUS_TASK_FAILED);
	g_assert_cmpstr(fixture.base.given_up, ==, JOB_ID ".0");
	dispatch_free(&fixture.base.dispatch);
}

/* The client leaves after the first crash and sends the job again. */
static void test_sent_again(void)
{
	struct crash_fixture fixture;

	set_up(&fixture);
	submit(&fixture);
	end_run(&fixture, RUN_CRASHED);
	end_run(&fixture, RUN_UNANSWERED);
	g_assert_true(dispatch_end_job(&fixture.base.dispatch, JOB_ID, STATUS_CANCELLED, "left",
				       fixture.now_us));
	end_run(&fixture, RUN_STOPPED);
	fixture.base.starts = 0;
	submit(&fixture);
	end_run(&fixture, RUN_CRASHED);
	g_assert_cmpuint(fixture.base.starts, ==, 1);
	g_assert_cmpint(fixture.base.status, ==, STATUS_TASK_FAILED);
	/* The third time nothing is started. */
	submit(&fixture);
	g_assert_cmpuint(fixture.base.starts, ==, 1);
	g_assert_cmpint(fixture.base.status, ==, STATUS_TASK_FAILED);
	dispatch_free(&fixture.base.dispatch);
}

/* The job is sent again to another entry, which has been told of the first crash. */
static void test_other_entry(void)
{
	struct crash_fixture first, second;
	GPtrArray *records = g_ptr_array_new();

	set_up(&first);
	set_up(&second);
	submit(&first);
	end_run(&first, RUN_CRASHED);
	crash_history_since(&first.base.dispatch.crashes, 0, records);
	for (guint i = 0; i < records->len; i++) {
		const struct crash_record *record = records->pdata[i];

		crash_history_merge(&second.base.dispatch.crashes, record->task,
				    record->servers->pdata[0], second.now_us);
	}
	submit(&second);
	/* The second entry may choose the server that the first one has seen crash. */
	restart_server(&second, server_of(&second, second.base.last_run));
	end_run(&second, RUN_CRASHED);
	g_assert_cmpuint(second.base.starts, ==, 1);
	g_assert_cmpint(second.base.status, ==, STATUS_TASK_FAILED);
	g_ptr_array_free(records, TRUE);
	dispatch_free(&first.base.dispatch);
	dispatch_free(&second.base.dispatch);
}

/* Each server crashes before its answer to the start arrives. Guards against a task that is started
 * for good because none of its crashes is certain. The outcome stays unknown, not failed. */
static void test_unconfirmed(void)
{
	struct crash_fixture fixture;

	set_up(&fixture);
	submit_and_end_all(&fixture, RUN_LOST);
	g_assert_cmpuint(fixture.base.starts, ==, MAX_UNCONFIRMED_STARTS);
	g_assert_cmpuint(fixture.base.finished, ==, 1);
	g_assert_cmpint(fixture.base.status, ==, STATUS_SERVER_UNREACHABLE);
	g_assert_cmpstr(fixture.base.given_up, ==, "");
	dispatch_free(&fixture.base.dispatch);
}

/* A server that is lost in another way than by a crash does not count against the task. */
static void test_other_losses(void)
{
	struct crash_fixture fixture;

	set_up(&fixture);
	submit(&fixture);
	for (int i = 0; i < SERVERS / 2; i++)
		end_run(&fixture, i % 2 == 0 ? RUN_LOST : RUN_EXPIRED);
	end_run(&fixture, RUN_DONE);
	g_assert_cmpint(fixture.base.status, ==, STATUS_OK);
	g_assert_cmpuint(
		crash_history_count(&fixture.base.dispatch.crashes, JOB_ID, 0, fixture.now_us), ==,
		0);
	dispatch_free(&fixture.base.dispatch);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crash/one_submission", test_one_submission);
	g_test_add_func("/crash/sent_again", test_sent_again);
	g_test_add_func("/crash/other_entry", test_other_entry);
	g_test_add_func("/crash/unconfirmed", test_unconfirmed);
	g_test_add_func("/crash/other_losses", test_other_losses);
	return g_test_run();
}
