/* Guards against wrong outcomes reported to clients when backend servers or agents fail, and
 * against new starts on servers that must get none. */
#include <signal.h>
#include <stdlib.h>

#include "harness.h"

enum {
	TASKS = 60,
	MIN_TASK_MS = 20,
	MAX_TASK_MS = 60,
	SEED = 5,
	WAIT_MS = 20000,
	LEAVE_TIMEOUT_MS = 3000, /* limit for the agent of a leaving server to report 0 slots */
	MAX_JOBS = 30,
};

static const char short_timeouts[] =
	"{\"channel\": {\"heartbeat_ms\": 100, \"heartbeat_limit_ms\": 400, "
	"\"agent_lost_ms\": 1000}}";

struct fixture {
	struct harness *harness;
	char *session;
	char *job;
};

static void set_up(struct fixture *fixture, const void *unused)
{
	fixture->harness =
		harness_start(&(struct harness_options){.entries = 1,
							.agents = 2,
							.without_log = true,
							.entry_settings = short_timeouts,
							.agent_settings = short_timeouts});
	fixture->session = harness_open_session(fixture->harness->entries[0].url);
	fixture->job = harness_job(TASKS, MIN_TASK_MS, MAX_TASK_MS, SEED);
}

static void tear_down(struct fixture *fixture, const void *unused)
{
	free(fixture->job);
	g_free(fixture->session);
	harness_free(fixture->harness);
}

static struct harness_reply submit(struct fixture *fixture, const char *key)
{
	return harness_submit(fixture->harness->entries[0].url, fixture->session, key, fixture->job,
			      WAIT_MS);
}

static void *submit_in_thread(void *context)
{
	struct harness_reply *reply = g_new(struct harness_reply, 1);

	*reply = submit(context, "job");
	return reply;
}

static void expect_failed(struct harness_reply *reply, const char *outcome)
{
	json_t *error = json_object_get(reply->body, "error");

	g_assert_cmpstr(json_string_value(json_object_get(reply->body, "state")), ==, "failed");
	g_assert_cmpstr(json_string_value(json_object_get(error, "outcome")), ==, outcome);
	harness_reply_clear(reply);
}

/* Guards against failing a job whose tasks the server refused without running them. */
static void test_refusals(struct fixture *fixture, const void *unused)
{
	struct harness_reply reply;

	harness_set_server_faults(fixture->harness, 0, "{\"refuse_not_run\": 3}");
	reply = submit(fixture, "job");
	harness_check_results(&reply, TASKS);
	harness_reply_clear(&reply);
	g_assert_cmpuint(harness_count_starts(fixture->harness).total, ==, TASKS);
}

/* Guards against starting a task again, or reporting "not run", after the server closed the
 * connection before the end of its response. */
static void check_incomplete_response(struct fixture *fixture, const void *faults)
{
	struct harness_reply reply;

	harness_set_server_faults(fixture->harness, 0, faults);
	harness_set_server_faults(fixture->harness, 1, faults);
	reply = submit(fixture, "job");
	expect_failed(&reply, "unknown");
	reply = submit(fixture, "job");
	expect_failed(&reply, "unknown");
	g_assert_cmpuint(harness_count_starts(fixture->harness).repeated, ==, 0);
}

static void test_no_answer(struct fixture *fixture, const void *unused)
{
	check_incomplete_response(fixture, "{\"close_before_answer\": 1}");
}

static void test_half_answer(struct fixture *fixture, const void *unused)
{
	check_incomplete_response(fixture, "{\"half_answer\": 1}");
}

/* Guards against a client that gets no answer, or the answer "not run", when an agent dies while
 * its tasks run. */
static void test_agent_killed(struct fixture *fixture, const void *unused)
{
	GThread *thread = g_thread_new("submit", submit_in_thread, fixture);
	struct harness_reply *reply;

	HARNESS_WAIT(WAIT_MS, harness_count_starts(fixture->harness).total > 0);
	harness_kill(fixture->harness->agents[0].process);
	reply = g_thread_join(thread);
	expect_failed(reply, "unknown");
	g_free(reply);
	/* The other agent still serves jobs. */
	*(reply = g_new(struct harness_reply, 1)) = submit(fixture, "next");
	harness_check_results(reply, TASKS);
	harness_reply_clear(reply);
	g_free(reply);
	g_assert_cmpuint(harness_count_starts(fixture->harness).repeated, ==, 0);
}

/* Guards against new starts on a server that announced that it is leaving, and against aborting its
 * running tasks. */
static void test_server_leaves(struct fixture *fixture, const void *unused)
{
	GThread *thread = g_thread_new("submit", submit_in_thread, fixture);
	struct harness_agent *agent = &fixture->harness->agents[0];
	struct harness_reply *reply;
	int64_t before;

	HARNESS_WAIT(WAIT_MS, harness_count_starts(fixture->harness).total > 0);
	harness_set_server_faults(fixture->harness, 0, "{\"leave\": true}");
	HARNESS_WAIT(LEAVE_TIMEOUT_MS, harness_metric(agent->url, "agent_slots") == 0);
	before = harness_metric(agent->url, "agent_starts_total");
	reply = g_thread_join(thread);
	harness_check_results(reply, TASKS);
	harness_reply_clear(reply);
	g_free(reply);
	g_assert_cmpint(harness_metric(agent->url, "agent_starts_total"), ==, before);
	g_assert_cmpuint(harness_count_starts(fixture->harness).repeated, ==, 0);
}

/* Guards against a server that fails every task immediately, so that it always has free slots and
 * attracts all new tasks. */
static void test_failing_server(struct fixture *fixture, const void *unused)
{
	unsigned done_jobs = 0;

	harness_set_server_faults(fixture->harness, 0, "{\"fail_all\": true}");
	for (unsigned i = 0; i < MAX_JOBS && done_jobs == 0; i++) {
		char key[16];
		struct harness_reply reply;

		g_snprintf(key, sizeof(key), "job-%u", i);
		reply = submit(fixture, key);
		done_jobs += g_strcmp0(json_string_value(json_object_get(reply.body, "state")),
				       "done") == 0;
		harness_reply_clear(&reply);
	}
	g_assert_cmpuint(done_jobs, ==, 1);
	g_assert_cmpuint(harness_count_starts(fixture->harness).repeated, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_message("seed %d", SEED);
#define CASE(name, function)                                                                       \
	g_test_add("/server/" name, struct fixture, NULL, set_up, function, tear_down)
	CASE("refusals", test_refusals);
	CASE("no_answer", test_no_answer);
	CASE("half_answer", test_half_answer);
	CASE("agent_killed", test_agent_killed);
	CASE("server_leaves", test_server_leaves);
	CASE("failing_server", test_failing_server);
	return g_test_run();
}
