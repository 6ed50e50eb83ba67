/* Faults of backend servers and agents as a client sees them: truth about what ran, and no more
 * work for servers that should get none. */
#include <signal.h>
#include <stdlib.h>

#include "harness.h"

enum {
	TASKS = 60,
	LEAST_MS = 20,
	MOST_MS = 60,
	SEED = 5,
	WAIT_MS = 20000,
	LEAVE_LIMIT_MS = 3000, /* new work stops within it */
	JOBS_MAX = 30,
};

static const char fast_loss[] =
	"{\"channel\": {\"heartbeat_ms\": 100, \"heartbeat_limit_ms\": 400, "
	"\"agent_lost_ms\": 1000}}";

struct run {
	struct harness *harness;
	char *session;
	char *job;
};

static void set_up(struct run *run, const void *unused)
{
	run->harness = harness_start(&(struct harness_options){.entries = 1,
							       .agents = 2,
							       .without_log = true,
							       .entry_settings = fast_loss,
							       .agent_settings = fast_loss});
	run->session = harness_open_session(run->harness->entries[0].url);
	run->job = harness_job(TASKS, LEAST_MS, MOST_MS, SEED);
}

static void tear_down(struct run *run, const void *unused)
{
	free(run->job);
	g_free(run->session);
	harness_free(run->harness);
}

static struct harness_reply submit(struct run *run, const char *key)
{
	return harness_submit(run->harness->entries[0].url, run->session, key, run->job, WAIT_MS);
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

/* Guards against a failed job where the server only refused, without running anything. */
static void test_refusals(struct run *run, const void *unused)
{
	struct harness_reply reply;

	harness_server_control(run->harness, 0, "{\"refuse_not_run\": 3}");
	reply = submit(run, "job");
	harness_check_answer(&reply, TASKS);
	harness_reply_clear(&reply);
	g_assert_cmpuint(harness_starts(run->harness).total, ==, TASKS);
}

/* Guards against a repeated start, or the claim that nothing ran, after an answer is cut off. */
static void test_cut_answer(struct run *run, const void *faults)
{
	struct harness_reply reply;

	harness_server_control(run->harness, 0, faults);
	harness_server_control(run->harness, 1, faults);
	reply = submit(run, "job");
	expect_failed(&reply, "unknown");
	reply = submit(run, "job");
	expect_failed(&reply, "unknown");
	g_assert_cmpuint(harness_starts(run->harness).repeated, ==, 0);
}

static void test_no_answer(struct run *run, const void *unused)
{
	test_cut_answer(run, "{\"close_before_answer\": 1}");
}

static void test_half_answer(struct run *run, const void *unused)
{
	test_cut_answer(run, "{\"half_answer\": 1}");
}

/* Guards against a client that hangs, or is told "not run", when an agent dies with its tasks. */
static void test_agent_killed(struct run *run, const void *unused)
{
	GThread *thread = g_thread_new("submit", submit_in_thread, run);
	struct harness_reply *reply;

	HARNESS_WAIT(WAIT_MS, harness_starts(run->harness).total > 0);
	harness_kill(run->harness->agents[0].process);
	reply = g_thread_join(thread);
	expect_failed(reply, "unknown");
	g_free(reply);
	/* The other agent serves on. */
	*(reply = g_new(struct harness_reply, 1)) = submit(run, "next");
	harness_check_answer(reply, TASKS);
	harness_reply_clear(reply);
	g_free(reply);
	g_assert_cmpuint(harness_starts(run->harness).repeated, ==, 0);
}

/* Guards against new work for a server that announced that it leaves, and against cut tasks. */
static void test_server_leaves(struct run *run, const void *unused)
{
	GThread *thread = g_thread_new("submit", submit_in_thread, run);
	struct harness_agent *agent = &run->harness->agents[0];
	struct harness_reply *reply;
	int64_t before;

	HARNESS_WAIT(WAIT_MS, harness_starts(run->harness).total > 0);
	harness_server_control(run->harness, 0, "{\"leave\": true}");
	HARNESS_WAIT(LEAVE_LIMIT_MS, harness_metric(agent->url, "agent_slots") == 0);
	before = harness_metric(agent->url, "agent_starts_total");
	reply = g_thread_join(thread);
	harness_check_answer(reply, TASKS);
	harness_reply_clear(reply);
	g_free(reply);
	g_assert_cmpint(harness_metric(agent->url, "agent_starts_total"), ==, before);
	g_assert_cmpuint(harness_starts(run->harness).repeated, ==, 0);
}

/* Guards against a server that fails everything and so attracts all the work. */
static void test_failing_server(struct run *run, const void *unused)
{
	unsigned done = 0;

	harness_server_control(run->harness, 0, "{\"fail_all\": true}");
	for (unsigned i = 0; i < JOBS_MAX && done == 0; i++) {
		char key[16];
		struct harness_reply reply;

		g_snprintf(key, sizeof(key), "job-%u", i);
		reply = submit(run, key);
		done += g_strcmp0(json_string_value(json_object_get(reply.body, "state")),
				  "done") == 0;
		harness_reply_clear(&reply);
	}
	g_assert_cmpuint(done, ==, 1);
	g_assert_cmpuint(harness_starts(run->harness).repeated, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_message("seed %d", SEED);
#define CASE(name, function)                                                                       \
	g_test_add("/server/" name, struct run, NULL, set_up, function, tear_down)
	CASE("refusals", test_refusals);
	CASE("no_answer", test_no_answer);
	CASE("half_answer", test_half_answer);
	CASE("agent_killed", test_agent_killed);
	CASE("server_leaves", test_server_leaves);
	CASE("failing_server", test_failing_server);
	return g_test_run();
}
