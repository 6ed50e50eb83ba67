/* Tests when an entry takes the runs at a server for over whose agent is lost. */
#include <glib.h>
#include <string.h>

#include "dispatch.h"

enum {
	TASKS = 2,
	CPU = 8000,
	SETTLE_US = 1000000
};

static const int64_t now_us = US_PER_SECOND;

struct fixture {
	struct dispatch dispatch;
	struct handle server;
	uint64_t orders; /* each start is one of its own, numbered from 1 */
	uint64_t runs[TASKS];
	uint32_t lost;
};

static uint64_t start_run(void *context, void *link, const struct run_order *order)
{
	struct fixture *fixture = context;

	if (order->attempt == 1)
		fixture->runs[order->index] = order->run;
	return ++fixture->orders;
}

static void stop_run(void *context, void *link, uint64_t run)
{
}

static void job_finished(void *context, const char *id, void *job_context,
			 const struct job_end *end)
{
}

static void tasks_placed(void *context, const char *id, uint32_t tasks, uint32_t queued,
			 const char *servers, int64_t report_age_us)
{
}

static void run_ended(void *context, const char *id, uint32_t index, uint32_t attempt,
		      const char *server, enum run_outcome outcome, int64_t elapsed_us)
{
	((struct fixture *)context)->lost += outcome == RUN_LOST;
}

static void report(struct fixture *fixture, uint64_t settled_orders)
{
	dispatch_server_report(&fixture->dispatch, fixture->server,
			       &(struct fleet_report){
				       .ready = true,
				       .free = {.cpu = CPU, .memory_mb = 1000},
				       .speed = 1,
				       .last_order_accounted = fixture->orders,
				       .settled_orders = settled_orders,
			       },
			       now_us);
}

/* Starts an entry that has ordered two runs from one server. */
static void set_up(struct fixture *fixture)
{
	const struct dispatch_limits limits = {.max_jobs = 10,
					       .settle_timeout_us = SETTLE_US,
					       .crash_retention_us = US_PER_SECOND,
					       .max_crashed_tasks = 1};
	const struct dispatch_callbacks callbacks = {.context = fixture,
						     .start_run = start_run,
						     .stop_run = stop_run,
						     .job_finished = job_finished,
						     .tasks_placed = tasks_placed,
						     .run_ended = run_ended};
	GBytes *spec = g_bytes_new("x", 1);
	struct fleet_server *server;

	*fixture = (struct fixture){0};
	dispatch_init(&fixture->dispatch, &limits, &callbacks, 1);
	fixture->server = dispatch_server_add(&fixture->dispatch, fixture);
	server = fleet_get(&fixture->dispatch.fleet, fixture->server);
	g_strlcpy(server->service, "s", NAME_BYTES);
	server->total = (struct resources){.cpu = CPU, .memory_mb = 1000};
	report(fixture, 1);
	dispatch_submit(&fixture->dispatch,
			&(struct job_request){.id = "a",
					      .queue = "q",
					      .service = "s",
					      .spec = spec,
					      .tasks = TASKS,
					      .need = {.cpu = 1000, .memory_mb = 1},
					      .estimate_us = 10 * US_PER_MS,
					      .max_attempts = 1,
					      .stretch = 2,
					      .slack_us = US_PER_SECOND,
					      .arrived_us = now_us,
					      .deadline_us = 100 * US_PER_SECOND},
			now_us);
	dispatch_pump(&fixture->dispatch, now_us);
	g_bytes_unref(spec);
	g_assert_cmpuint(fixture->orders, ==, TASKS);
}

/* Guards against a task that is ordered elsewhere while its start, which the lost agent may have
 * had no answer to, may still be carried out. */
static void test_start_in_transit(void)
{
	struct fixture fixture;

	set_up(&fixture);
	report(&fixture, 2);
	dispatch_server_disconnected(&fixture.dispatch, fixture.server, now_us);
	dispatch_tick(&fixture.dispatch, now_us + SETTLE_US);
	g_assert_cmpuint(fixture.lost, ==, 0);
	dispatch_tick(&fixture.dispatch, now_us + SETTLE_US + 1);
	g_assert_cmpuint(fixture.lost, ==, 1);
	g_assert_true(dispatch_run_is_on(&fixture.dispatch, fixture.runs[1], fixture.server));
	dispatch_tick(&fixture.dispatch, now_us + SETTLE_US + RUNS_TRANSIT_MAX_US);
	g_assert_cmpuint(fixture.lost, ==, 1);
	dispatch_tick(&fixture.dispatch, now_us + SETTLE_US + RUNS_TRANSIT_MAX_US + 1);
	g_assert_cmpuint(fixture.lost, ==, 2);
	g_assert_null(fleet_get(&fixture.dispatch.fleet, fixture.server));
	dispatch_free(&fixture.dispatch);
}

/* Guards against a delay of runs whose starts were answered, by the end of their agent. */
static void test_starts_answered(void)
{
	struct fixture fixture;

	set_up(&fixture);
	report(&fixture, TASKS + 1);
	dispatch_server_disconnected(&fixture.dispatch, fixture.server, now_us);
	dispatch_tick(&fixture.dispatch, now_us + SETTLE_US + 1);
	g_assert_cmpuint(fixture.lost, ==, 2);
	g_assert_null(fleet_get(&fixture.dispatch.fleet, fixture.server));
	dispatch_free(&fixture.dispatch);
}

/* Guards against a delay of runs whose starts the next process of their agent has voided. */
static void test_starts_voided(void)
{
	struct fixture fixture;

	set_up(&fixture);
	dispatch_server_starts_voided(&fixture.dispatch, fixture.server);
	dispatch_server_disconnected(&fixture.dispatch, fixture.server, now_us);
	dispatch_tick(&fixture.dispatch, now_us + SETTLE_US + 1);
	g_assert_cmpuint(fixture.lost, ==, 2);
	dispatch_free(&fixture.dispatch);
}

/* Guards against a start of an earlier connection that is forgotten with it, and against runs that
 * stay unsettled for longer than the next process of the agent needs to speak for them. */
static void test_new_connection(void)
{
	struct fixture fixture;

	set_up(&fixture);
	dispatch_server_disconnected(&fixture.dispatch, fixture.server, now_us);
	dispatch_server_reconnected(&fixture.dispatch, fixture.server, &fixture, fixture.runs,
				    TASKS, now_us);
	report(&fixture, 0);
	dispatch_server_disconnected(&fixture.dispatch, fixture.server, now_us);
	dispatch_tick(&fixture.dispatch, now_us + SETTLE_US + 1);
	g_assert_cmpuint(fixture.lost, ==, 0);
	dispatch_server_reconnected(&fixture.dispatch, fixture.server, &fixture, fixture.runs,
				    TASKS, now_us);
	report(&fixture, 1);
	dispatch_server_disconnected(&fixture.dispatch, fixture.server, now_us);
	dispatch_tick(&fixture.dispatch, now_us + SETTLE_US + 1);
	g_assert_cmpuint(fixture.lost, ==, 2);
	dispatch_free(&fixture.dispatch);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settle/start_in_transit", test_start_in_transit);
	g_test_add_func("/settle/starts_answered", test_starts_answered);
	g_test_add_func("/settle/starts_voided", test_starts_voided);
	g_test_add_func("/settle/new_connection", test_new_connection);
	return g_test_run();
}
