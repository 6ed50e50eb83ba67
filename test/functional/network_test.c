/* Guards against tasks that are lost or run twice when connections between entries and agents fail,
 * or a process is paused, while a job runs. */
#include <signal.h>
#include <stdlib.h>

#include "harness.h"

enum {
	TASKS = 300,
	MIN_TASK_MS = 20,
	MAX_TASK_MS = 60,
	SEED = 3,
	WAIT_MS = 25000,
	STARTS_BEFORE_FAULT = 20, /* number of starts before a fault is injected */
	CUTS = 5,
	CUT_INTERVAL_MS = 60,
	FAULT_DURATION_MS = 1500, /* longer than channel.heartbeat_limit_ms below */
	US_PER_MS = 1000,
};

static const char short_timeouts[] =
	"{\"channel\": {\"heartbeat_ms\": 200, \"heartbeat_limit_ms\": 800}}";

struct fixture {
	struct harness *harness;
	char *session;
	char *job;
	GThread *thread;
	struct harness_reply reply;
};

static void *submit(void *context)
{
	struct fixture *fixture = context;

	fixture->reply = harness_submit(fixture->harness->entries[0].url, fixture->session, "job",
					fixture->job, WAIT_MS);
	return NULL;
}

/* Starts a cluster with a proxy, submits a job and returns after STARTS_BEFORE_FAULT starts. */
static void set_up(struct fixture *fixture, const void *unused)
{
	fixture->harness =
		harness_start(&(struct harness_options){.entries = 2,
							.agents = 2,
							.with_proxy = true,
							.entry_settings = short_timeouts,
							.agent_settings = short_timeouts});
	fixture->session = harness_open_session(fixture->harness->entries[0].url);
	fixture->job = harness_job(TASKS, MIN_TASK_MS, MAX_TASK_MS, SEED);
	fixture->thread = g_thread_new("submit", submit, fixture);
	HARNESS_WAIT(WAIT_MS, harness_count_starts(fixture->harness).total >= STARTS_BEFORE_FAULT);
}

static void tear_down(struct fixture *fixture, const void *unused)
{
	harness_reply_clear(&fixture->reply);
	free(fixture->job);
	g_free(fixture->session);
	harness_free(fixture->harness);
}

static void inject_fault(struct fixture *fixture, const char *command)
{
	char *answer = harness_proxy_command(fixture->harness, command);

	g_assert_cmpstr(answer, ==, "ok");
	g_free(answer);
}

static void expect_complete_answer(struct fixture *fixture)
{
	struct harness_start_counts starts;

	g_thread_join(fixture->thread);
	harness_check_results(&fixture->reply, TASKS);
	starts = harness_count_starts(fixture->harness);
	g_assert_cmpuint(starts.total, ==, TASKS);
	g_assert_cmpuint(starts.repeated, ==, 0);
}

/* Guards against losing or repeating starts or results when a connection breaks. */
static void test_cut(struct fixture *fixture, const void *unused)
{
	for (int i = 0; i < CUTS; i++) {
		inject_fault(fixture, i % 2 ? "agent1-entry0 cut" : "agent0-entry0 cut");
		g_usleep(CUT_INTERVAL_MS * US_PER_MS);
	}
	expect_complete_answer(fixture);
}

/* Guards against waiting forever on a silent connection while new connections work. */
static void test_silence(struct fixture *fixture, const void *unused)
{
	inject_fault(fixture, "agent0-entry0 silence");
	expect_complete_answer(fixture);
}

/* Guards against keeping a connection that delivers data in only one direction. */
static void test_half_open(struct fixture *fixture, const void *unused)
{
	inject_fault(fixture, "agent0-entry0 half_open up");
	g_usleep(FAULT_DURATION_MS * US_PER_MS);
	inject_fault(fixture, "agent0-entry0 half_open none");
	inject_fault(fixture, "agent1-entry0 half_open down");
	g_usleep(FAULT_DURATION_MS * US_PER_MS);
	inject_fault(fixture, "agent1-entry0 half_open none");
	expect_complete_answer(fixture);
}

/* Guards against losing or repeating tasks when an agent is paused for longer than
 * channel.heartbeat_limit_ms. */
static void test_paused_agent(struct fixture *fixture, const void *unused)
{
	harness_signal(fixture->harness->agents[0].process, SIGSTOP);
	g_usleep(FAULT_DURATION_MS * US_PER_MS);
	harness_signal(fixture->harness->agents[0].process, SIGCONT);
	expect_complete_answer(fixture);
}

/* Guards against losing or repeating tasks when an entry is paused for longer than
 * channel.heartbeat_limit_ms: its late starts must be refused and sent again. */
static void test_paused_entry(struct fixture *fixture, const void *unused)
{
	harness_signal(fixture->harness->entries[0].process, SIGSTOP);
	g_usleep(FAULT_DURATION_MS * US_PER_MS);
	harness_signal(fixture->harness->entries[0].process, SIGCONT);
	expect_complete_answer(fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_message("seed %d", SEED);
#define CASE(name, function)                                                                       \
	g_test_add("/network/" name, struct fixture, NULL, set_up, function, tear_down)
	CASE("cut", test_cut);
	CASE("silence", test_silence);
	CASE("half_open", test_half_open);
	CASE("frozen_agent", test_paused_agent);
	CASE("frozen_entry", test_paused_entry);
	return g_test_run();
}
