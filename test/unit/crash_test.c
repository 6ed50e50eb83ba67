/* Tests tasks under which backend servers crash. Guards against a task that takes down one server
 * after the other, in one submission, over several ones and at several entries. */
#include <glib.h>

#include "dispatch.h"

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
struct fixture {
	struct dispatch dispatch;
	int64_t now_us;
	uint32_t starts;
	uint64_t last_run;
	uint32_t boots; /* of servers after a crash */
	uint32_t finished;
	enum status status;
	char given_up[64]; /* name of the task, or empty */
};

static uint64_t on_start(void *context, void *link, const struct run_order *order)
{
	struct fixture *fixture = context;

	fixture->starts++;
	fixture->last_run = order->run;
	return fixture->starts;
}

static void on_stop(void *context, void *link, uint64_t run)
{
}

static void on_finished(void *context, const char *id, void *job_context, const struct job_end *end)
{
	struct fixture *fixture = context;

	fixture->finished++;
	fixture->status = end->status;
	g_strlcpy(fixture->given_up, end->crashed_task ? end->crashed_task->task : "",
		  sizeof(fixture->given_up));
}

static void on_placed(void *context, const char *id, uint32_t tasks, uint32_t waiting,
		      const char *servers, int64_t report_age_us)
{
}

static void on_run_ended(void *context, const char *id, uint32_t index, uint32_t attempt,
			 const char *server, enum run_outcome outcome, int64_t elapsed_us)
{
}

static void set_up(struct fixture *fixture)
{
	const struct dispatch_limits limits = {.max_jobs = 10,
					       .settle_timeout_us = US_PER_SECOND,
					       .crash_retention_us = RETENTION_US,
					       .max_crashed_tasks = 100};
	const struct dispatch_callbacks callbacks = {
		.context = fixture,
		.start_run = on_start,
		.stop_run = on_stop,
		.job_finished = on_finished,
		.tasks_placed = on_placed,
		.run_ended = on_run_ended,
	};
	const struct fleet_report report = {
		.ready = true,
		.free = {.cpu = SERVER_CPU, .memory_mb = 1024},
		.speed = 1.0,
		.speed_known = true,
		.run_us = TASK_US,
	};
	static int link;

	*fixture = (struct fixture){.now_us = NOW_US};
	dispatch_init(&fixture->dispatch, &limits, &callbacks, 1);
	for (int i = 0; i < SERVERS; i++) {
		struct handle handle = dispatch_server_add(&fixture->dispatch, &link);
		struct fleet_server *server = fleet_get(&fixture->dispatch.fleet, handle);

		g_snprintf(server->id, sizeof(server->id), "i-%d", i);
		g_strlcpy(server->service, "service", sizeof(server->service));
		server->total = (struct resources){.cpu = SERVER_CPU, .memory_mb = 1024};
		dispatch_server_report(&fixture->dispatch, handle, &report, NOW_US);
	}
}

static void submit(struct fixture *fixture)
{
	GBytes *spec = g_bytes_new_static("s", 1);

	dispatch_submit(&fixture->dispatch,
			&(struct job_request){
				.id = JOB_ID,
				.queue = "queue",
				.service = "service",
				.spec = spec,
				.tasks = 1,
				.need = {.cpu = TASK_CPU, .memory_mb = 1},
				.estimate_us = TASK_US,
				.max_attempts = 4,
				.stretch = 1,
				.slack_us = SLACK_US,
				.arrived_us = fixture->now_us,
				.deadline_us = fixture->now_us + DEADLINE_US,
			},
			fixture->now_us);
	g_bytes_unref(spec);
	dispatch_pump(&fixture->dispatch, fixture->now_us);
}

/* Returns the server that has RUN. */
static struct fleet_server *server_of(struct fixture *fixture, uint64_t run)
{
	struct fleet *fleet = &fixture->dispatch.fleet;
	uint32_t cursor = 0;
	struct handle handle;
	struct fleet_server *server;

	while ((server = table_next(&fleet->servers, &cursor, &handle))) {
		if (dispatch_run_is_on(&fixture->dispatch, run, handle))
			break;
	}
	g_assert_nonnull(server);
	return server;
}

/* Starts a crashed server again. Each process of a server has an id of its own. */
static void restart_server(struct fixture *fixture, struct fleet_server *server)
{
	g_snprintf(server->id, sizeof(server->id), "restarted-%u", ++fixture->boots);
}

/* Ends the last run that was started, 10 ms later. A server that has crashed is back at once. */
static void end_run(struct fixture *fixture, enum run_outcome outcome)
{
	struct fleet_server *server = server_of(fixture, fixture->last_run);

	fixture->now_us += 10 * US_PER_MS;
	dispatch_run_ended(&fixture->dispatch, fixture->last_run, outcome, 0, fixture->now_us);
	if (outcome == RUN_CRASHED)
		restart_server(fixture, server);
	dispatch_pump(&fixture->dispatch, fixture->now_us);
}

/* Submits the job and ends each run that is started with OUTCOME, at most SERVERS of them. */
static void submit_and_end_all(struct fixture *fixture, enum run_outcome outcome)
{
	uint32_t ended = 0;

	submit(fixture);
	while (ended < fixture->starts && ended < SERVERS) {
		ended++;
		end_run(fixture, outcome);
	}
}

/* Crashes the server of each run that is started, and counts the starts. */
static void test_one_submission(void)
{
	struct fixture fixture;

	set_up(&fixture);
	submit_and_end_all(&fixture, RUN_CRASHED);
	g_assert_cmpuint(fixture.starts, ==, MAX_STARTS);
	g_assert_cmpuint(fixture.finished, ==, 1);
	g_assert_cmpint(fixture.status, ==, STATUS_TASK_FAILED);
	g_assert_cmpstr(fixture.given_up, ==, JOB_ID ".0");
	dispatch_free(&fixture.dispatch);
}

/* The client leaves after the first crash and sends the job again. */
static void test_sent_again(void)
{
	struct fixture fixture;

	set_up(&fixture);
	submit(&fixture);
	end_run(&fixture, RUN_CRASHED);
	end_run(&fixture, RUN_UNANSWERED);
	g_assert_true(dispatch_end_job(&fixture.dispatch, JOB_ID, STATUS_CANCELLED, "left",
				       fixture.now_us));
	end_run(&fixture, RUN_STOPPED);
	fixture.starts = 0;
	submit(&fixture);
	end_run(&fixture, RUN_CRASHED);
	g_assert_cmpuint(fixture.starts, ==, 1);
	g_assert_cmpint(fixture.status, ==, STATUS_TASK_FAILED);
	/* The third time nothing is started. */
	submit(&fixture);
	g_assert_cmpuint(fixture.starts, ==, 1);
	g_assert_cmpint(fixture.status, ==, STATUS_TASK_FAILED);
	dispatch_free(&fixture.dispatch);
}

/* The job is sent again to another entry, which has been told of the first crash. */
static void test_other_entry(void)
{
	struct fixture first, second;
	GPtrArray *records = g_ptr_array_new();

	set_up(&first);
	set_up(&second);
	submit(&first);
	end_run(&first, RUN_CRASHED);
	crash_history_since(&first.dispatch.crashes, 0, records);
	for (guint i = 0; i < records->len; i++) {
		const struct crash_record *record = records->pdata[i];

		crash_history_merge(&second.dispatch.crashes, record->task,
				    record->servers->pdata[0], second.now_us);
	}
	submit(&second);
	/* The second entry may choose the server that the first one has seen crash. */
	restart_server(&second, server_of(&second, second.last_run));
	end_run(&second, RUN_CRASHED);
	g_assert_cmpuint(second.starts, ==, 1);
	g_assert_cmpint(second.status, ==, STATUS_TASK_FAILED);
	g_ptr_array_free(records, TRUE);
	dispatch_free(&first.dispatch);
	dispatch_free(&second.dispatch);
}

/* Each server crashes before its answer to the start arrives. Guards against a task that is started
 * for good because none of its crashes is certain. The outcome stays unknown, not failed. */
static void test_unconfirmed(void)
{
	struct fixture fixture;

	set_up(&fixture);
	submit_and_end_all(&fixture, RUN_LOST);
	g_assert_cmpuint(fixture.starts, ==, MAX_UNCONFIRMED_STARTS);
	g_assert_cmpuint(fixture.finished, ==, 1);
	g_assert_cmpint(fixture.status, ==, STATUS_SERVER_UNREACHABLE);
	g_assert_cmpstr(fixture.given_up, ==, "");
	dispatch_free(&fixture.dispatch);
}

/* A server that is lost in another way than by a crash does not count against the task. */
static void test_other_losses(void)
{
	struct fixture fixture;

	set_up(&fixture);
	submit(&fixture);
	for (int i = 0; i < SERVERS / 2; i++)
		end_run(&fixture, i % 2 == 0 ? RUN_LOST : RUN_EXPIRED);
	end_run(&fixture, RUN_DONE);
	g_assert_cmpint(fixture.status, ==, STATUS_OK);
	g_assert_cmpuint(crash_history_count(&fixture.dispatch.crashes, JOB_ID, 0, fixture.now_us),
			 ==, 0);
	dispatch_free(&fixture.dispatch);
}

/* Ends the last run, whose task its agent holds, as crashed. */
static void end_suspected_run(struct fixture *fixture, struct hold_source *source)
{
	char *task = (char *)JOB_ID ".0.0.0";
	const struct held_tasks tasks = {.runs = &task, .run_count = 1};

	task_holds_replace(&fixture->dispatch.holds, source, &tasks);
	dispatch_holds_changed(&fixture->dispatch);
	end_run(fixture, RUN_CRASHED);
}

static void release_task(struct fixture *fixture, struct hold_source *source)
{
	task_holds_replace(&fixture->dispatch.holds, source, &(struct held_tasks){0});
	dispatch_holds_changed(&fixture->dispatch);
	dispatch_pump(&fixture->dispatch, fixture->now_us);
}

/* Guards against giving a task up on the mere suspicion that a server has crashed under it, and
 * against forgetting the crash once it is certain. */
static void test_suspected_crashes(void)
{
	struct fixture fixture;
	struct hold_source *source;

	set_up(&fixture);
	source = task_holds_add_source(&fixture.dispatch.holds);
	submit(&fixture);
	end_suspected_run(&fixture, source);
	g_assert_cmpuint(fixture.starts, ==, 1);
	release_task(&fixture, source);
	g_assert_cmpuint(fixture.starts, ==, MAX_STARTS);
	end_suspected_run(&fixture, source);
	g_assert_cmpuint(fixture.finished, ==, 0);
	/* Its queue is separated at once. */
	g_assert_cmpuint(fixture.dispatch.bulkhead.suspects->len, ==, 1);
	release_task(&fixture, source);
	g_assert_cmpuint(fixture.starts, ==, MAX_STARTS);
	g_assert_cmpint(fixture.status, ==, STATUS_TASK_FAILED);
	g_assert_cmpstr(fixture.given_up, ==, JOB_ID ".0");
	dispatch_free(&fixture.dispatch);
}

/* Guards against a job that fails because its servers were cut off from their agents. */
static void test_survived_servers(void)
{
	struct fixture fixture;
	struct hold_source *source;

	set_up(&fixture);
	source = task_holds_add_source(&fixture.dispatch.holds);
	submit(&fixture);
	for (uint32_t i = 0; i < MAX_STARTS + 1; i++) {
		end_suspected_run(&fixture, source);
		dispatch_server_survived(&fixture.dispatch, fixture.last_run, fixture.now_us);
		release_task(&fixture, source);
		g_assert_cmpuint(fixture.starts, ==, i + 2);
	}
	g_assert_cmpuint(crash_history_count(&fixture.dispatch.crashes, JOB_ID, 0, fixture.now_us),
			 ==, 0);
	end_run(&fixture, RUN_DONE);
	g_assert_cmpint(fixture.status, ==, STATUS_OK);
	dispatch_free(&fixture.dispatch);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crash/one_submission", test_one_submission);
	g_test_add_func("/crash/sent_again", test_sent_again);
	g_test_add_func("/crash/other_entry", test_other_entry);
	g_test_add_func("/crash/unconfirmed", test_unconfirmed);
	g_test_add_func("/crash/other_losses", test_other_losses);
	g_test_add_func("/crash/suspected_crashes", test_suspected_crashes);
	g_test_add_func("/crash/survived_servers", test_survived_servers);
	return g_test_run();
}
