/* Tests when an entry takes the runs at a server for over whose agent is lost. */
#include "dispatch_fixture.h"

enum {
	TASKS = 2,
	CPU = 8000,
	RECONNECT_US = 250 * US_PER_MS /* as in dispatch.c */
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

/* Guards against a task that is ordered elsewhere after some time without its agent. The host may
 * be suspended, and the run or its start goes on when it wakes up. */
static void test_time_proves_nothing(void)
{
	struct fixture fixture;

	set_up(&fixture);
	report(&fixture, 2);
	dispatch_server_disconnected(&fixture.dispatch, fixture.server, now_us);
	dispatch_tick(&fixture.dispatch, now_us + FIXTURE_HOST_RETURN_US);
	g_assert_cmpuint(fixture.lost, ==, 0);
	g_assert_true(dispatch_run_is_on(&fixture.dispatch, fixture.runs[0], fixture.server));
	g_assert_true(dispatch_run_is_on(&fixture.dispatch, fixture.runs[1], fixture.server));
	dispatch_free(&fixture.dispatch);
}

/* Guards against runs at a removed host that are kept for good. */
static void test_host_removed(void)
{
	struct fixture fixture;

	set_up(&fixture);
	report(&fixture, TASKS + 1);
	dispatch_server_disconnected(&fixture.dispatch, fixture.server, now_us);
	dispatch_tick(&fixture.dispatch, now_us + FIXTURE_HOST_RETURN_US + 1);
	g_assert_cmpuint(fixture.lost, ==, TASKS);
	g_assert_null(fleet_get(&fixture.dispatch.fleet, fixture.server));
	dispatch_free(&fixture.dispatch);
}

/* Guards against runs of an earlier connection that are settled before the time since the last one
 * has passed. */
static void test_new_connection(void)
{
	struct fixture fixture;
	int64_t later_us = now_us + FIXTURE_HOST_RETURN_US;

	set_up(&fixture);
	dispatch_server_disconnected(&fixture.dispatch, fixture.server, now_us);
	dispatch_server_reconnected(&fixture.dispatch, fixture.server, &fixture, fixture.runs,
				    TASKS, later_us);
	dispatch_server_disconnected(&fixture.dispatch, fixture.server, later_us);
	dispatch_tick(&fixture.dispatch, later_us + FIXTURE_HOST_RETURN_US);
	g_assert_cmpuint(fixture.lost, ==, 0);
	dispatch_tick(&fixture.dispatch, later_us + FIXTURE_HOST_RETURN_US + 1);
	g_assert_cmpuint(fixture.lost, ==, TASKS);
	dispatch_free(&fixture.dispatch);
}

static void send_again(struct fixture *fixture, int64_t at_us)
{
	dispatch_end_job(&fixture->dispatch, "a", STATUS_CANCELLED, "the client has left", at_us);
	fixture->finished = 0;
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
		       at_us);
}

/* Guards against a job that waits until its deadline for the runs of its first submission at a host
 * that is not heard, and against the answer that it has not run. */
static void test_sent_again_to_lost_host(void)
{
	struct fixture fixture;

	set_up(&fixture);
	dispatch_server_disconnected(&fixture.dispatch, fixture.server, now_us);
	send_again(&fixture, now_us + 1);
	dispatch_tick(&fixture.dispatch, now_us + RECONNECT_US - 1);
	g_assert_cmpuint(fixture.finished, ==, 0);
	dispatch_tick(&fixture.dispatch, now_us + RECONNECT_US);
	g_assert_cmpuint(fixture.finished, ==, 1);
	g_assert_cmpint(fixture.status, ==, STATUS_AGENT_LOST);
	g_assert_cmpint(fixture.outcome, ==, OUTCOME_UNKNOWN);
	g_assert_cmpuint(fixture.starts, ==, TASKS);
	dispatch_free(&fixture.dispatch);
}

/* Guards against the refusal of a job whose earlier runs are being stopped. */
static void test_sent_again_to_connected_host(void)
{
	struct fixture fixture;

	set_up(&fixture);
	send_again(&fixture, now_us + 1);
	dispatch_tick(&fixture.dispatch, now_us + 10 * RECONNECT_US);
	g_assert_cmpuint(fixture.finished, ==, 0);
	dispatch_free(&fixture.dispatch);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settle/time_proves_nothing", test_time_proves_nothing);
	g_test_add_func("/settle/host_removed", test_host_removed);
	g_test_add_func("/settle/new_connection", test_new_connection);
	g_test_add_func("/settle/sent_again_to_lost_host", test_sent_again_to_lost_host);
	g_test_add_func("/settle/sent_again_to_connected_host", test_sent_again_to_connected_host);
	return g_test_run();
}
