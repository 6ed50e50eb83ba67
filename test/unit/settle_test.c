/* Tests when an entry takes the runs at a server for over whose agent is lost. */
#include "dispatch_fixture.h"

enum {
	TASKS = 2,
	CPU = 8000,
	SETTLE_US = US_PER_SECOND
};

static const int64_t now_us = US_PER_SECOND;

static void report(struct fixture *fixture, uint64_t settled_orders)
{
	fixture_report(fixture,
		       &(struct fleet_report){
			       .ready = true,
			       .free = {.cpu = CPU, .memory_mb = FIXTURE_MEMORY_MB},
			       .speed = 1,
			       .last_order_accounted = fixture->starts,
			       .settled_orders = settled_orders,
		       },
		       now_us);
}

/* Starts an entry that has ordered two runs from one server. */
static void set_up(struct fixture *fixture)
{
	fixture_init(fixture, US_PER_SECOND);
	fixture_add_server(fixture,
			   &(struct fleet_report){
				   .ready = true,
				   .free = {.cpu = CPU, .memory_mb = FIXTURE_MEMORY_MB},
				   .speed = 1,
				   .settled_orders = 1,
			   },
			   now_us);
	fixture_submit(fixture,
		       (struct job_request){
			       .id = "a",
			       .tasks = TASKS,
			       .need = {.cpu = 1000, .memory_mb = 1},
			       .estimate_us = 10 * US_PER_MS,
			       .max_attempts = 1,
			       .stretch = 2,
			       .slack_us = US_PER_SECOND,
			       .deadline_us = 100 * US_PER_SECOND,
		       },
		       now_us);
	g_assert_cmpuint(fixture->starts, ==, TASKS);
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

/* Guards against a start that stays in transit because it is known to be void only after the other
 * runs were settled by time. */
static void test_starts_voided_late(void)
{
	struct fixture fixture;

	set_up(&fixture);
	report(&fixture, 2);
	dispatch_server_disconnected(&fixture.dispatch, fixture.server, now_us);
	dispatch_tick(&fixture.dispatch, now_us + SETTLE_US + 1);
	g_assert_cmpuint(fixture.lost, ==, 1);
	dispatch_server_starts_voided(&fixture.dispatch, fixture.server);
	dispatch_tick(&fixture.dispatch, now_us + SETTLE_US + 2);
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
	g_test_add_func("/settle/starts_voided_late", test_starts_voided_late);
	g_test_add_func("/settle/new_connection", test_new_connection);
	return g_test_run();
}
