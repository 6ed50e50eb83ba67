/* Faults of the connections between entries and agents while a job runs: nothing may be lost or
 * run twice. */
#include <signal.h>
#include <stdlib.h>

#include "harness.h"

enum {
	TASKS = 300,
	LEAST_MS = 20,
	MOST_MS = 60,
	SEED = 3,
	WAIT_MS = 25000,
	BEGUN = 20, /* starts after which the fault comes */
	CUTS = 5,
	CUT_PAUSE_MS = 60,
	FROZEN_MS = 1500,
	US_PER_MS = 1000,
};

static const char fast_channels[] =
	"{\"channel\": {\"heartbeat_ms\": 200, \"heartbeat_limit_ms\": 800}}";

struct run {
	struct harness *harness;
	char *session;
	char *job;
	GThread *thread;
	struct harness_reply reply;
};

static void *submit(void *context)
{
	struct run *run = context;

	run->reply = harness_submit(run->harness->entries[0].url, run->session, "job", run->job,
				    WAIT_MS);
	return NULL;
}

/* Starts a cluster behind the proxy and a job, and returns once the job is well under way. */
static void set_up(struct run *run, const void *unused)
{
	run->harness = harness_start(&(struct harness_options){.entries = 2,
							       .agents = 2,
							       .with_proxy = true,
							       .entry_settings = fast_channels,
							       .agent_settings = fast_channels});
	run->session = harness_open_session(run->harness->entries[0].url);
	run->job = harness_job(TASKS, LEAST_MS, MOST_MS, SEED);
	run->thread = g_thread_new("submit", submit, run);
	HARNESS_WAIT(WAIT_MS, harness_starts(run->harness).total >= BEGUN);
}

static void tear_down(struct run *run, const void *unused)
{
	harness_reply_clear(&run->reply);
	free(run->job);
	g_free(run->session);
	harness_free(run->harness);
}

static void fault(struct run *run, const char *line)
{
	char *answer = harness_proxy_command(run->harness, line);

	g_assert_cmpstr(answer, ==, "ok");
	g_free(answer);
}

static void expect_whole_answer(struct run *run)
{
	struct harness_starts starts;

	g_thread_join(run->thread);
	harness_check_answer(&run->reply, TASKS);
	starts = harness_starts(run->harness);
	g_assert_cmpuint(starts.total, ==, TASKS);
	g_assert_cmpuint(starts.repeated, ==, 0);
}

/* Guards against starts or results lost or repeated when a connection breaks. */
static void test_cut(struct run *run, const void *unused)
{
	for (int i = 0; i < CUTS; i++) {
		fault(run, i % 2 ? "agent1-entry0 cut" : "agent0-entry0 cut");
		g_usleep(CUT_PAUSE_MS * US_PER_MS);
	}
	expect_whole_answer(run);
}

/* Guards against a connection that is silent for ever while new ones work. */
static void test_silence(struct run *run, const void *unused)
{
	fault(run, "agent0-entry0 silence");
	expect_whole_answer(run);
}

/* Guards against a connection on which only one side is heard. */
static void test_half_open(struct run *run, const void *unused)
{
	fault(run, "agent0-entry0 half_open up");
	g_usleep(FROZEN_MS * US_PER_MS);
	fault(run, "agent0-entry0 half_open none");
	fault(run, "agent1-entry0 half_open down");
	g_usleep(FROZEN_MS * US_PER_MS);
	fault(run, "agent1-entry0 half_open none");
	expect_whole_answer(run);
}

/* Guards against work lost or repeated when an agent is paused for longer than the heartbeat
 * limit. */
static void test_frozen_agent(struct run *run, const void *unused)
{
	harness_signal(run->harness->agents[0].process, SIGSTOP);
	g_usleep(FROZEN_MS * US_PER_MS);
	harness_signal(run->harness->agents[0].process, SIGCONT);
	expect_whole_answer(run);
}

/* The same for an entry, whose late starts must be refused and sent again. */
static void test_frozen_entry(struct run *run, const void *unused)
{
	harness_signal(run->harness->entries[0].process, SIGSTOP);
	g_usleep(FROZEN_MS * US_PER_MS);
	harness_signal(run->harness->entries[0].process, SIGCONT);
	expect_whole_answer(run);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_message("seed %d", SEED);
#define CASE(name, function)                                                                       \
	g_test_add("/network/" name, struct run, NULL, set_up, function, tear_down)
	CASE("cut", test_cut);
	CASE("silence", test_silence);
	CASE("half_open", test_half_open);
	CASE("frozen_agent", test_frozen_agent);
	CASE("frozen_entry", test_frozen_entry);
	return g_test_run();
}
