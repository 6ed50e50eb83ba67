/* Tests servers whose runs make no progress. Guards against tasks that are sent to such a server
 * because it looks empty, and against tasks that stay at it until the deadline of their job. */
#include <glib.h>

#include "dispatch.h"

enum {
	SERVER_CPU = 64000,
	TASK_CPU = 15000,
	TASK_US = 200 * US_PER_MS,
	SLACK_US = 60 * US_PER_MS,
	NOW_US = 100 * US_PER_SECOND
};

struct fixture {
	struct dispatch dispatch;
	struct handle servers[2];
	uint32_t starts;
	uint32_t stops;
	uint64_t last_run;
	enum status final_status;
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
	((struct fixture *)context)->stops++;
}

static void on_finished(void *context, const char *id, void *job_context, const struct job_end *end)
{
	((struct fixture *)context)->final_status = end->status;
}

static void on_placed(void *context, const char *id, uint32_t tasks, uint32_t waiting,
		      const char *servers, int64_t report_age_us)
{
}

static void on_run_ended(void *context, const char *id, uint32_t index, uint32_t attempt,
			 const char *server, enum run_outcome outcome, int64_t elapsed_us)
{
}

static void report(struct fixture *fixture, int server, uint32_t free_cpu, double speed)
{
	const struct fleet_report fleet_report = {
		.ready = true,
		.free = {.cpu = free_cpu, .memory_mb = 1024},
		.speed = speed,
		.speed_known = true,
		.waiting_cpu = {free_cpu > 0 ? 0 : SERVER_CPU},
		.run_us = TASK_US,
		.last_order_accounted = fixture->starts,
	};

	dispatch_server_report(&fixture->dispatch, fixture->servers[server], &fleet_report, NOW_US);
}

/* Sets up a dispatcher with two idle servers at full speed. */
static void set_up(struct fixture *fixture)
{
	const struct dispatch_limits limits = {.max_jobs = 10};
	const struct dispatch_callbacks callbacks = {
		.context = fixture,
		.start_run = on_start,
		.stop_run = on_stop,
		.job_finished = on_finished,
		.tasks_placed = on_placed,
		.run_ended = on_run_ended,
	};
	static int link;

	*fixture = (struct fixture){.final_status = STATUS_OK};
	dispatch_init(&fixture->dispatch, &limits, &callbacks, 1);
	for (int i = 0; i < 2; i++) {
		struct fleet_server *server;

		fixture->servers[i] = dispatch_server_add(&fixture->dispatch, &link);
		server = fleet_get(&fixture->dispatch.fleet, fixture->servers[i]);
		g_strlcpy(server->service, "service", sizeof(server->service));
		server->total = (struct resources){.cpu = SERVER_CPU, .memory_mb = 1024};
	}
	report(fixture, 0, SERVER_CPU, 1.0);
	report(fixture, 1, SERVER_CPU, 1.0);
}

/* Submits a job of one task that arrived AGE_US ago and has TIME_LEFT_US until its deadline. */
static void submit(struct fixture *fixture, int64_t age_us, int64_t time_left_us)
{
	GBytes *spec = g_bytes_new_static("s", 1);

	dispatch_submit(&fixture->dispatch,
			&(struct job_request){
				.id = "0123456789abcdef",
				.queue = "queue",
				.service = "service",
				.spec = spec,
				.tasks = 1,
				.need = {.cpu = TASK_CPU, .memory_mb = 1},
				.estimate_us = TASK_US,
				.max_attempts = 2,
				.stretch = 1,
				.slack_us = SLACK_US,
				.arrived_us = NOW_US - age_us,
				.deadline_us = NOW_US + time_left_us,
			},
			NOW_US);
	g_bytes_unref(spec);
	dispatch_pump(&fixture->dispatch, NOW_US);
}

/* After a freeze of the entry all links are closed and the agents connect again within
 * milliseconds. A request that arrives meanwhile waits for them instead of being refused for want
 * of servers, but not for longer than the connections may take. */
static void test_agents_connecting(void)
{
	struct fixture fixture;

	set_up(&fixture);
	fixture.dispatch.limits.connect_time_us = US_PER_SECOND;
	for (int i = 0; i < 2; i++)
		dispatch_server_disconnected(&fixture.dispatch, fixture.servers[i], NOW_US);
	dispatch_abort_all(&fixture.dispatch, "the entry process was frozen", NOW_US);
	dispatch_await_agents(&fixture.dispatch, NOW_US);
	submit(&fixture, 0, 100 * TASK_US);
	g_assert_cmpuint(dispatch_job_count(&fixture.dispatch), ==, 1);
	fixture.dispatch.pump_needed = true;
	dispatch_pump(&fixture.dispatch, NOW_US + 2 * US_PER_SECOND);
	g_assert_cmpuint(dispatch_job_count(&fixture.dispatch), ==, 0);
	g_assert_cmpint(fixture.final_status, ==, STATUS_NO_CAPACITY_MATCH);
	dispatch_free(&fixture.dispatch);
}

/* A job that is already late waits instead of starting on a stalled server while the other
 * server is full. */
static void test_late_job(void)
{
	struct fixture fixture;

	set_up(&fixture);
	report(&fixture, 0, 0, 1.0);
	report(&fixture, 1, SERVER_CPU, 0.02);
	submit(&fixture, 2 * TASK_US, 100 * TASK_US);
	g_assert_cmpuint(fixture.starts, ==, 0);
	dispatch_free(&fixture.dispatch);
}

/* A task that makes no progress returns to the queue even if all servers are full. */
static void test_full_servers(void)
{
	struct fixture fixture;

	set_up(&fixture);
	submit(&fixture, 0, 20 * TASK_US);
	g_assert_cmpuint(fixture.starts, ==, 1);
	report(&fixture, 0, 0, 1.0);
	report(&fixture, 1, 0, 1.0);
	dispatch_run_behind_estimate(&fixture.dispatch, fixture.last_run, 0, TASK_US,
				     NOW_US + TASK_US);
	g_assert_cmpuint(fixture.stops, ==, 1);
	dispatch_free(&fixture.dispatch);
}

/* If a task stalls and another run could not end before the deadline, the job is answered
 * immediately. */
static void test_no_time_left(void)
{
	struct fixture fixture;

	set_up(&fixture);
	submit(&fixture, 0, 3 * TASK_US / 2);
	dispatch_run_behind_estimate(&fixture.dispatch, fixture.last_run, 0, TASK_US,
				     NOW_US + TASK_US);
	g_assert_cmpint(fixture.final_status, ==, STATUS_DEADLINE_UNREACHABLE);
	g_assert_cmpuint(fixture.stops, ==, 1);
	dispatch_free(&fixture.dispatch);
}

/* A run too short to have reported its first percent of progress is not treated as stalled. */
static void test_first_percent(void)
{
	struct fixture fixture;

	set_up(&fixture);
	submit(&fixture, 0, 20 * TASK_US);
	dispatch_run_behind_estimate(&fixture.dispatch, fixture.last_run, 0, TASK_US / 100,
				     NOW_US + TASK_US / 100);
	g_assert_cmpuint(fixture.stops, ==, 0);
	dispatch_free(&fixture.dispatch);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stall/agents_connecting", test_agents_connecting);
	g_test_add_func("/stall/late_job", test_late_job);
	g_test_add_func("/stall/full_servers", test_full_servers);
	g_test_add_func("/stall/no_time_left", test_no_time_left);
	g_test_add_func("/stall/first_percent", test_first_percent);
	return g_test_run();
}
