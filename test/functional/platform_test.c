/* Runs entries and agents as processes on the platform stand-in and tests that each fault leaves
 * jobs, from the client's request to the response, intact. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness_platform.h"

enum {
	CONDITION_TIMEOUT_MS = 4000,
	STOP_TIMEOUT_MS = 9000,
	CONFIG_TIMEOUT_MS = 2000, /* limit for a configuration to take effect */
	MANY_TASKS = 20,	  /* more than fit on one server */
	DEADLY_JOB = 0xdead,	  /* number of the job that crashes servers */
	CUT_MS = 200,		  /* shorter than what is left of a lease */
	IDLE_POLL_MS = 500,	  /* shorter than an idle poll, and than the runs */
	CRASH_NOTICE_MS = 25,	  /* half of the 50 ms between regular checks of a server */
	SUSPEND_MS = 1500, /* longer than the time after which a silent peer is disconnected */
	LOSS_TEST_JOBS = 40,
	STORE_RECOVERY_MS =
		600, /* half of the 1.2 s that a call timeout and the retry delay take together */
	CONNECTION_AGE_MS = 10300, /* longer than the 10 s of fast retries */
	DEADLINE_MS = 3000,	   /* of each job, from its route */
	RESEND_MS = 1300,	   /* delay before a client resends a job without response */
	ENTRY_RECOVERY_MS = 1000,  /* half of the 2 s limit for the recovery of a lost entry */
	SETTLE_MS = 1000,	   /* pause before the effects of a fault are checked */
	REFUSAL_MS = 1000,	   /* far less than the deadline */
	EVACUATE_MS = 5000,	   /* limit for an evacuation to take effect */
	TRAFFIC_JOBS = 20,	   /* enough for each server to get many tasks */
	US_PER_MS = 1000
};

/* Guards against tasks that start more than once or not at all, and against jobs that end without a
 * response to the client. */
static void test_jobs_complete(void)
{
	struct platform_cluster cluster;

	platform_start(&cluster);
	for (unsigned i = 0; i < 20; i++)
		g_assert_true(platform_job_completes(&cluster, i % PLATFORM_ENTRIES, i + 1, 3));
	g_assert_cmpint(platform_counter(&cluster, "starts"), ==, 60);
	platform_stop(&cluster);
}

/* Guards against a second run of a job that a client sends again, to any entry, after its response.
 * The client must get the same response. */
static void test_resubmit_after_response(void)
{
	struct harness_reply reply;
	struct platform_cluster cluster;

	platform_start(&cluster);
	g_assert_true(platform_job_completes(&cluster, 0, 7, 3));
	g_assert_true(platform_job_completes(&cluster, 0, 7, 3));
	/* Entries inform each other of finished jobs within 0.2 s. Clients resend after 1.3 s. */
	g_usleep(RESEND_MS * US_PER_MS);
	g_assert_true(platform_job_completes(&cluster, 1, 7, 3));
	g_assert_cmpint(platform_counter(&cluster, "starts"), ==, 3);
	reply = harness_call("GET", cluster.client_urls[1], "/q/0000000000000007", NULL);
	g_assert_cmpstr(json_string_value(json_object_get(reply.body, "state")), ==, "completed");
	harness_reply_clear(&reply);
	platform_stop(&cluster);
}

/* Guards against invalid requests that start tasks or get the wrong HTTP status. */
static void test_bad_requests(void)
{
	static const struct {
		const char *method;
		const char *path;
		const char *body;
		long status;
	} cases[] = {
		{"POST", "/q/0000000000000001", "{", 400},
		{"POST", "/q/0000000000000001", "[]", 400},
		{"POST", "/q/0000000000000001", "{\"bestEffort\":true,\"phases\":[]}", 400},
		{"POST", "/q/0000000000000001",
		 "{\"bestEffort\":true,\"phases\":[{\"count\":-1,\"cpu\":1}]}", 400},
		{"POST", "/q/0000000000000001",
		 "{\"bestEffort\":true,\"phases\":[{\"count\":1,\"cpu\":\"x\"}]}", 400},
		{"POST", "/q/0000000000000001", "{\"phases\":[{\"count\":1,\"cpu\":1}]}", 503},
		{"POST", "/q/0000000000000001",
		 "{\"bestEffort\":true,\"phases\":[{\"count\":1,\"cpu\":1,\"gang\":true}]}", 503},
		{"POST", "/q/0000000000000001",
		 "{\"bestEffort\":true,\"phases\":[{\"count\":1,\"cpu\":99999999}]}", 503},
		{"POST", "/q/12", "{}", 404},
		{"POST", "/unknown/0000000000000001", "{}", 404},
		{"PUT", "/q/0000000000000001", "{}", 405},
		{"GET", "/q/0000000000000001", NULL, 410},
		{"DELETE", "/q/0000000000000001", NULL, 410},
		{"GET", "/q/", NULL, 200},
	};
	struct platform_cluster cluster;
	char *large = g_strnfill(9000, ' ');

	platform_start(&cluster);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(harness_status(cases[i].method, cluster.client_urls[0],
					       cases[i].path, cases[i].body),
				==, cases[i].status);
	g_assert_cmpint(
		harness_status("POST", cluster.client_urls[0], "/q/0000000000000001", large), ==,
		413);
	g_assert_cmpint(platform_counter(&cluster, "starts"), ==, 0);
	g_assert_true(platform_job_completes(&cluster, 0, 1, 1));
	g_free(large);
	platform_stop(&cluster);
}

/* Guards against agents that find no entries because the only seed is down when they start. They
 * must read the addresses of the other entries from the store. */
static void test_agents_start_without_seed(void)
{
	struct platform_cluster cluster;

	platform_start(&cluster);
	harness_kill(cluster.entries[0]);
	for (unsigned i = 0; i < PLATFORM_AGENTS; i++)
		harness_kill(cluster.agents[i]);
	HARNESS_WAIT(PLATFORM_READY_TIMEOUT_MS, !platform_entry_is_ready(&cluster, 1));
	for (unsigned i = 0; i < PLATFORM_AGENTS; i++)
		harness_restart(cluster.harness, cluster.agents[i]);
	HARNESS_WAIT(ENTRY_RECOVERY_MS, platform_entry_is_ready(&cluster, 1));
	g_assert_true(platform_job_completes(&cluster, 1, 1, 2));
	platform_stop(&cluster);
}

/* Guards against a configuration that takes effect late, and against a lower version that replaces
 * a higher one. */
static void test_configuration(void)
{
	struct platform_cluster cluster;

	platform_start(&cluster);
	platform_publish_config(&cluster, 9, "/new/");
	HARNESS_WAIT(CONFIG_TIMEOUT_MS,
		     harness_status("GET", cluster.client_urls[0], "/new/", NULL) == 200 &&
			     harness_status("GET", cluster.client_urls[1], "/new/", NULL) == 200);
	platform_publish_config(&cluster, 7, "/old/");
	g_usleep(300 * US_PER_MS);
	g_assert_cmpint(harness_status("GET", cluster.client_urls[0], "/new/", NULL), ==, 200);
	g_assert_cmpint(harness_status("GET", cluster.client_urls[0], "/old/", NULL), ==, 404);
	platform_stop(&cluster);
}

/* Guards against entries that miss changes once the store has restarted without its history. */
static void test_store_without_history(void)
{
	struct platform_cluster cluster;

	platform_start(&cluster);
	platform_publish_config(&cluster, 7, "/mid/");
	HARNESS_WAIT(CONFIG_TIMEOUT_MS,
		     harness_status("GET", cluster.client_urls[1], "/mid/", NULL) == 200);
	harness_kill(cluster.platform);
	harness_restart(cluster.harness, cluster.platform);
	HARNESS_WAIT(PLATFORM_READY_TIMEOUT_MS,
		     harness_status("GET", cluster.platform_url, "/control", NULL) == 200);
	platform_publish_config(&cluster, 9, "/new/");
	HARNESS_WAIT(CONFIG_TIMEOUT_MS,
		     harness_status("GET", cluster.client_urls[0], "/new/", NULL) == 200 &&
			     harness_status("GET", cluster.client_urls[1], "/new/", NULL) == 200);
	platform_publish_config(&cluster, 11, "/last/");
	HARNESS_WAIT(CONFIG_TIMEOUT_MS,
		     harness_status("GET", cluster.client_urls[0], "/last/", NULL) == 200 &&
			     harness_status("GET", cluster.client_urls[1], "/last/", NULL) == 200);
	platform_stop(&cluster);
}

/* Returns whether a job of one task that needs CPU is refused because no server is large enough. */
static bool is_too_large(struct platform_cluster *cluster, unsigned entry, unsigned number, int cpu)
{
	char *path = g_strdup_printf("/q/%016x", number);
	char *body = g_strdup_printf("{\"spec\":\"s\",\"bestEffort\":true,\"phases\":[{"
				     "\"count\":1,\"cpu\":%d,\"memMb\":64,\"estMs\":100}]}",
				     cpu);
	struct harness_reply reply = harness_call("POST", cluster->client_urls[entry], path, body);
	const char *message = json_string_value(json_object_get(reply.body, "message"));
	bool too_large = reply.status == 503 && message && strstr(message, "large enough");

	harness_reply_clear(&reply);
	g_free(path);
	g_free(body);
	return too_large;
}

/* Guards against starts that bring a server over a capacity that has shrunk, and against jobs that
 * wait for a capacity that no server has any more. */
static void test_capacity_shrinks(void)
{
	struct platform_cluster cluster;

	platform_start(&cluster);
	platform_control(&cluster, "{\"run_ms\":300}");
	g_assert_true(platform_job_completes(&cluster, 0, 1, MANY_TASKS));
	platform_control(&cluster, "{\"cpu\":2000}");
	g_usleep(SETTLE_MS * US_PER_MS);
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		g_assert_true(is_too_large(&cluster, i, 2 + i, 4000));
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		g_assert_true(platform_job_completes(&cluster, i, 4 + i, 3));
	g_assert_cmpint(platform_counter(&cluster, "starts_over_capacity"), ==, 0);
	platform_control(&cluster, "{\"cpu\":16000}");
	g_usleep(SETTLE_MS * US_PER_MS);
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		g_assert_false(is_too_large(&cluster, i, 6 + i, 4000));
	platform_stop(&cluster);
}

/* Submits the deadly job to entry 0, and checks that CRASHES servers have crashed in all when it is
 * answered. Returns whether the answer is that it has failed for good. */
static bool deadly_job_fails(struct platform_cluster *cluster, int64_t crashes)
{
	struct harness_reply reply = platform_submit(cluster, 0, DEADLY_JOB, 1);
	const char *state = json_string_value(json_object_get(reply.body, "state"));
	bool failed = state && strcmp(state, "failed") == 0;

	harness_reply_clear(&reply);
	g_assert_cmpint(platform_counter(cluster, "crashes"), ==, crashes);
	return failed;
}

/* A server that the deadly job crashes is away for AWAY_MS. */
static void start_cluster_with_deadly_job(struct platform_cluster *cluster, int away_ms)
{
	char *faults =
		g_strdup_printf("{\"deadly_job\":\"%016x\",\"away_ms\":%d}", DEADLY_JOB, away_ms);

	platform_start(cluster);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_job_completes(cluster, 0, 1, MANY_TASKS));
	platform_control(cluster, faults);
	g_free(faults);
}

/* Guards against a task that is started again after two servers have crashed under it. */
static void test_deadly_task(void)
{
	struct platform_cluster cluster;

	start_cluster_with_deadly_job(&cluster, 300);
	g_assert_true(deadly_job_fails(&cluster, 2));
	g_assert_true(deadly_job_fails(&cluster, 2));
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_job_completes(&cluster, 1, 2, 1));
	platform_stop(&cluster);
}

/* Returns the shortest time from the start of a task's first run to the report of its server's
 * crash at PROCESS, in milliseconds. */
static int64_t shortest_crashed_run(const struct harness_process *process)
{
	int64_t shortest = INT64_MAX;
	char *log = NULL;
	char **lines;

	g_assert_true(g_file_get_contents(process->stdout_file, &log, NULL, NULL));
	lines = g_strsplit(log, "\n", -1);
	for (char **line = lines; *line; line++) {
		json_t *event = json_loads(*line, 0, NULL);
		const char *outcome = json_string_value(json_object_get(event, "outcome"));

		if (g_strcmp0(outcome, "server_crashed") == 0 &&
		    json_integer_value(json_object_get(event, "attempt")) == 1)
			shortest = MIN(shortest,
				       json_integer_value(json_object_get(event, "elapsed_ms")));
		json_decref(event);
	}
	g_strfreev(lines);
	g_free(log);
	return shortest;
}

/* Guards against a crash that goes unnoticed until the next regular poll of the server. The
 * shortest of several delays counts, because the processes may be held up. */
static void test_crash_is_noticed(void)
{
	struct platform_cluster cluster;

	start_cluster_with_deadly_job(&cluster, 50);
	for (int i = 1; i <= 6; i++) {
		char *faults = g_strdup_printf("{\"deadly_job\":\"%016x\"}", DEADLY_JOB + i);
		struct harness_reply reply;

		platform_control(&cluster, faults);
		reply = platform_submit(&cluster, 0, DEADLY_JOB + (unsigned)i, 1);
		harness_reply_clear(&reply);
		g_free(faults);
	}
	g_assert_cmpint(shortest_crashed_run(cluster.entries[0]), <, CRASH_NOTICE_MS);
	platform_stop(&cluster);
}

/* Cuts a server off from its agent AFTER_MS after tasks have started there: it refuses connections
 * and runs on, for CUT_MS or to the end of the test if that is 0. */
static void run_while_server_is_cut_off(int after_ms, int cut_ms)
{
	struct platform_cluster cluster;
	struct platform_submission submission = {
		.cluster = &cluster, .entry = 0, .number = 2, .tasks = MANY_TASKS};
	GThread *thread;

	platform_start(&cluster);
	g_assert_true(platform_job_completes(&cluster, 0, 1, MANY_TASKS));
	platform_control(&cluster, "{\"run_ms\":700}");
	thread = g_thread_new("client", platform_run_submission, &submission);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_counter(&cluster, "running") == MANY_TASKS);
	g_usleep(after_ms * US_PER_MS);
	platform_control(&cluster, "{\"cut_server\":0}");
	if (cut_ms > 0) {
		g_usleep(cut_ms * US_PER_MS);
		platform_control(&cluster, "{\"restore_server\":0}");
	}
	g_thread_join(thread);
	g_assert_cmpint(submission.reply.status, ==, 200);
	harness_reply_clear(&submission.reply);
	g_assert_cmpint(platform_counter(&cluster, "starts"), >, 2 * MANY_TASKS);
	g_assert_cmpint(platform_counter(&cluster, "overlaps"), ==, 0);
	if (cut_ms == 0)
		platform_control(&cluster, "{\"restore_server\":0}");
	platform_stop(&cluster);
}

/* Guards against a second run of tasks whose server refuses connections and runs on, and which the
 * same process or nobody answers for later. */
static void test_server_cut_off(void)
{
	run_while_server_is_cut_off(0, CUT_MS);
}

static void test_server_cut_off_beyond_lease(void)
{
	run_while_server_is_cut_off(0, 0);
}

/* Guards against tasks that are held long after the lease of a lost server, because a poll from
 * before their start, which was still open, contained a lease, too. */
static void test_server_cut_off_with_idle_poll(void)
{
	run_while_server_is_cut_off(IDLE_POLL_MS, 0);
}

/* Guards against acknowledging to a server's new process the ends that the old one has listed: the
 * new one would forget as many of its own. */
static void test_ends_of_old_process_acknowledged(void)
{
	struct platform_cluster cluster;

	start_cluster_with_deadly_job(&cluster, 50);
	g_assert_true(deadly_job_fails(&cluster, 2));
	g_usleep(SETTLE_MS * US_PER_MS);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_job_completes(&cluster, 1, 2, MANY_TASKS));
	g_assert_cmpint(platform_counter(&cluster, "acks_ahead"), ==, 0);
	platform_stop(&cluster);
}

/* The entry that sees each crash is killed after it. Guards against a count that starts again with
 * each process of the entry. */
static void test_deadly_task_and_entry_restarts(void)
{
	struct platform_cluster cluster;

	start_cluster_with_deadly_job(&cluster, DEADLINE_MS + SETTLE_MS);
	platform_control(&cluster, "{\"drain\":1}");
	g_usleep(SETTLE_MS * US_PER_MS);
	g_assert_false(deadly_job_fails(&cluster, 1));
	g_usleep(SETTLE_MS * US_PER_MS);
	harness_kill(cluster.entries[0]);
	harness_restart(cluster.harness, cluster.entries[0]);
	HARNESS_WAIT(PLATFORM_READY_TIMEOUT_MS, platform_entry_is_ready(&cluster, 0));
	HARNESS_WAIT(PLATFORM_READY_TIMEOUT_MS, platform_job_completes(&cluster, 0, 2, 1));
	g_assert_true(deadly_job_fails(&cluster, 2));
	platform_stop(&cluster);
}

static void refuse_entries(struct platform_cluster *cluster)
{
	char *faults = g_strdup_printf("{\"refused_address\":\"" PLATFORM_ENTRIES_STORE_IP ":%d\"}",
				       cluster->store_port);

	platform_control(cluster, faults);
	g_free(faults);
}

/* Waits until all entries have a route for PREFIX, at most for the time limit of a new
 * configuration. */
static void wait_for_route(struct platform_cluster *cluster, const char *prefix)
{
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		HARNESS_WAIT(CONFIG_TIMEOUT_MS,
			     harness_status("GET", cluster->client_urls[i], prefix, NULL) == 200);
}

/* Guards against a confirmed configuration that no entry applies because the store refuses the
 * calls of all of them, and against entries that start meanwhile and get none. The agents, which
 * the store serves, read it for them. */
static void test_store_refuses_entries(void)
{
	struct platform_cluster cluster;

	platform_start(&cluster);
	refuse_entries(&cluster);
	platform_publish_config(&cluster, 9, "/new/");
	wait_for_route(&cluster, "/new/");
	g_usleep(SETTLE_MS * US_PER_MS);
	platform_publish_config(&cluster, 11, "/last/");
	wait_for_route(&cluster, "/last/");
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		harness_kill(cluster.entries[i]);
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		harness_restart(cluster.harness, cluster.entries[i]);
	wait_for_route(&cluster, "/last/");
	platform_stop(&cluster);
}

/* All entries are stopped before a change is confirmed and continue after its time limit. Guards
 * against an entry that uses what it read before the freeze for longer than that limit again. */
static void test_change_while_frozen(void)
{
	struct platform_cluster cluster;

	platform_start(&cluster);
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		harness_signal(cluster.entries[i], SIGSTOP);
	platform_publish_config(&cluster, 9, "/new/");
	g_usleep((CONFIG_TIMEOUT_MS + SETTLE_MS) * US_PER_MS);
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		harness_signal(cluster.entries[i], SIGCONT);
	wait_for_route(&cluster, "/new/");
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		g_assert_cmpint(harness_status("GET", cluster.client_urls[i], "/q/", NULL), ==,
				404);
	platform_stop(&cluster);
}

/* Guards against an entry that does not become ready because the store is down when it starts. It
 * must fetch the configuration from another entry. */
static void test_start_without_store(void)
{
	struct platform_cluster cluster;

	platform_start(&cluster);
	harness_kill(cluster.entries[1]);
	platform_control(&cluster, "{\"store_down\":true}");
	harness_restart(cluster.harness, cluster.entries[1]);
	HARNESS_WAIT(PLATFORM_READY_TIMEOUT_MS, platform_entry_is_ready(&cluster, 1));
	g_assert_true(platform_job_completes(&cluster, 1, 1, 2));
	platform_stop(&cluster);
}

/* All entries start while the store does not respond. Guards against entries that become ready only
 * after the unanswered call has timed out and been retried (1.2 s) rather than soon after the store
 * responds. */
static void test_start_with_silent_store(void)
{
	struct platform_cluster cluster;

	platform_start(&cluster);
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		harness_kill(cluster.entries[i]);
	platform_control(&cluster, "{\"store_silent\":true}");
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		harness_restart(cluster.harness, cluster.entries[i]);
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		HARNESS_WAIT(PLATFORM_READY_TIMEOUT_MS,
			     harness_status("GET", cluster.ready_urls[i], "/metrics", NULL) == 200);
	platform_control(&cluster, "{\"store_silent\":false}");
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		HARNESS_WAIT(STORE_RECOVERY_MS, platform_entry_is_ready(&cluster, i));
	platform_stop(&cluster);
}

/* Guards against agents that wait 2 s before they reconnect to an entry that was restarted
 * immediately after a crash. */
static void test_entry_restart(void)
{
	struct platform_cluster cluster;
	int64_t restarted_us;

	platform_start(&cluster);
	/* The 2 s delay can occur only if the connection was established more than 10 s ago,
	 * because until then the agent retries fast. */
	g_usleep(CONNECTION_AGE_MS * US_PER_MS);
	harness_kill(cluster.entries[0]);
	harness_restart(cluster.harness, cluster.entries[0]);
	restarted_us = g_get_monotonic_time();
	HARNESS_WAIT(ENTRY_RECOVERY_MS, platform_entry_is_ready(&cluster, 0));
	g_test_message("ready after %d ms",
		       (int)((g_get_monotonic_time() - restarted_us) / US_PER_MS));
	g_assert_true(platform_job_completes(&cluster, 0, 1, 2));
	platform_stop(&cluster);
}

/* An entry is killed while its job runs, and the client resends the job to another entry. Guards
 * against a resent job that does not complete, and against two runs of a task at the same time. */
static void test_entry_killed_during_job(void)
{
	struct platform_cluster cluster;
	struct platform_submission submission = {.number = 1, .tasks = 4};
	GThread *thread;

	platform_start(&cluster);
	platform_control(&cluster, "{\"run_ms\":3000}");
	submission.cluster = &cluster;
	thread = g_thread_new("client", platform_run_submission, &submission);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_counter(&cluster, "running") == 4);
	harness_kill(cluster.entries[0]);
	g_thread_join(thread);
	g_assert_cmpint(submission.reply.status, ==, 0);
	harness_reply_clear(&submission.reply);
	platform_control(&cluster, "{\"run_ms\":100}");
	/* The client resends after 1.3 s. By then the killed entry's runs must have stopped. */
	HARNESS_WAIT(1300, platform_counter(&cluster, "running") == 0);
	g_assert_true(platform_job_completes(&cluster, 1, 1, 4));
	platform_stop(&cluster);
}

/* Guards against jobs that do not complete, or tasks that run twice at the same time, when a
 * quarter of the start requests and of the task list requests get no response. At least 19 of 20
 * jobs must complete. */
static void test_lost_answers(void)
{
	struct platform_cluster cluster;
	unsigned completed = 0;

	platform_start(&cluster);
	platform_control(&cluster, "{\"lists_lost\":0.25,\"starts_lost\":0.25,\"run_ms\":50}");
	for (unsigned i = 0; i < 20; i++)
		completed += platform_job_completes(&cluster, i % PLATFORM_ENTRIES, i + 1, 3);
	platform_control(&cluster, "{\"lists_lost\":0,\"starts_lost\":0}");
	g_assert_cmpuint(completed, >=, 19);
	platform_stop(&cluster);
}

/* A third of the start requests and task list requests get no response. Each loss may delay a job
 * by some tens of milliseconds, and a job of four tasks loses about four calls, so the mean time
 * per job must stay below its run time (50 ms) plus 200 ms. Guards against timeouts that grow with
 * the number of losses, task lists that are requested only at the next tick, and lost lists that
 * hide the ends of all runs for 200 ms. */
static void test_delay_with_lost_responses(void)
{
	struct platform_cluster cluster;
	unsigned completed = 0;
	int64_t started_us;
	int64_t elapsed_us;

	platform_start(&cluster);
	platform_control(&cluster, "{\"lists_lost\":0.33,\"starts_lost\":0.33,\"run_ms\":50}");
	started_us = g_get_monotonic_time();
	for (unsigned i = 0; i < LOSS_TEST_JOBS; i++)
		completed += platform_job_completes(&cluster, i % PLATFORM_ENTRIES, i + 1, 4);
	elapsed_us = g_get_monotonic_time() - started_us;
	platform_control(&cluster, "{\"lists_lost\":0,\"starts_lost\":0}");
	g_test_message("%u jobs in %d ms", LOSS_TEST_JOBS, (int)(elapsed_us / US_PER_MS));
	g_assert_cmpuint(completed, ==, LOSS_TEST_JOBS);
	g_assert_cmpint(elapsed_us, <, (int64_t)LOSS_TEST_JOBS * (50 + 200) * US_PER_MS);
	platform_stop(&cluster);
}

/* Guards against runs that are considered ended because a task list could not be parsed. The job
 * must complete once the lists are valid again. */
static void test_invalid_task_lists(void)
{
	struct platform_cluster cluster;
	struct platform_submission submission = {.number = 1, .tasks = 2};
	GThread *thread;

	platform_start(&cluster);
	platform_control(&cluster, "{\"run_ms\":600}");
	submission.cluster = &cluster;
	thread = g_thread_new("client", platform_run_submission, &submission);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_counter(&cluster, "running") == 2);
	platform_control(&cluster, "{\"lists_garbled\":true}");
	g_usleep(200 * US_PER_MS);
	platform_control(&cluster, "{\"lists_garbled\":false}");
	g_thread_join(thread);
	g_assert_cmpint(submission.reply.status, ==, 200);
	g_assert_cmpint(platform_counter(&cluster, "starts"), ==, 2);
	harness_reply_clear(&submission.reply);
	platform_stop(&cluster);
}

/* Guards against continued starts on a draining backend server, and against agents that refuse its
 * heartbeats. */
static void test_draining_server(void)
{
	struct platform_cluster cluster;

	platform_start(&cluster);
	platform_control(&cluster, "{\"drain\":0}");
	/* A draining server may receive starts for at most 2 s. The test allows half of that. */
	g_usleep(1000 * US_PER_MS);
	for (unsigned i = 0; i < 10; i++)
		g_assert_true(platform_job_completes(&cluster, i % PLATFORM_ENTRIES, i + 1, 3));
	g_assert_cmpint(platform_counter(&cluster, "starts_after_drain"), <=, 3);
	g_assert_cmpint(platform_counter(&cluster, "heartbeats_refused"), ==, 0);
	platform_stop(&cluster);
}

/* Guards against starts on a drained server whose agent restarts and then receives a delayed
 * heartbeat from before the server was drained. */
static void test_late_heartbeat(void)
{
	static const char heartbeat[] =
		"{\"service\":\"svc\",\"addr\":\"127.0.0.1:1\",\"zone\":\"a\",\"version\":\"v1\","
		"\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":64000,"
		"\"memMb\":65536,\"gpu\":0},\"labels\":[],\"clockMs\":1,\"seq\":1}";
	struct platform_cluster cluster;
	char *url;

	platform_start(&cluster);
	platform_control(&cluster, "{\"drain\":0,\"silent\":0}");
	g_usleep(SETTLE_MS * US_PER_MS);
	harness_kill(cluster.agents[0]);
	harness_restart(cluster.harness, cluster.agents[0]);
	url = g_strdup_printf("http://127.0.0.1:%d", cluster.control_ports[0]);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS,
		     harness_status("POST", url, "/greengagefront/instances/i-00000001/heartbeat",
				    heartbeat) == 200);
	g_usleep(SETTLE_MS * US_PER_MS);
	for (unsigned i = 0; i < 10; i++)
		platform_job_completes(&cluster, i % PLATFORM_ENTRIES, i + 1, 3);
	g_assert_cmpint(platform_counter(&cluster, "starts_after_drain"), ==, 0);
	g_free(url);
	platform_stop(&cluster);
}

/* Guards against a graceful stop that loses accepted jobs, that leaves the entry ready for the load
 * balancer, or that does not exit with status 0. */
static void test_graceful_stop(void)
{
	struct platform_cluster cluster;
	struct platform_submission submission = {.number = 1, .tasks = 2};
	GThread *thread;

	platform_start(&cluster);
	platform_control(&cluster, "{\"run_ms\":700}");
	submission.cluster = &cluster;
	thread = g_thread_new("client", platform_run_submission, &submission);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_counter(&cluster, "running") == 2);
	harness_signal(cluster.entries[0], SIGTERM);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, !platform_entry_is_ready(&cluster, 0));
	g_thread_join(thread);
	g_assert_cmpint(submission.reply.status, ==, 200);
	harness_reply_clear(&submission.reply);
	g_assert_cmpint(harness_wait_exit(cluster.entries[0], STOP_TIMEOUT_MS), ==, 0);
	platform_stop(&cluster);
}

/* Guards against runs that continue on a server after its agent was killed and restarted. The new
 * agent process must stop the runs that the old one started. */
static void test_agent_restarts(void)
{
	struct platform_cluster cluster;
	struct platform_submission submission = {.number = 1, .tasks = 4};
	GThread *thread;

	platform_start(&cluster);
	platform_control(&cluster, "{\"run_ms\":1500}");
	submission.cluster = &cluster;
	thread = g_thread_new("client", platform_run_submission, &submission);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_counter(&cluster, "running") == 4);
	harness_kill(cluster.agents[0]);
	harness_restart(cluster.harness, cluster.agents[0]);
	g_thread_join(thread);
	harness_reply_clear(&submission.reply);
	platform_control(&cluster, "{\"run_ms\":50}");
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_job_completes(&cluster, 0, 2, 8));
	platform_stop(&cluster);
}

/* Guards against a lease that an agent sends after its restart before it knows the server's runs,
 * because the first answer, which refuses its epoch, tells the server's clock. */
static void test_no_lease_before_lists(void)
{
	struct platform_cluster cluster;

	platform_start(&cluster);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_job_completes(&cluster, 0, 1, 4));
	harness_kill(cluster.agents[0]);
	platform_control(&cluster, "{\"epoch_ahead\":30000}");
	g_assert_cmpint(platform_counter(&cluster, "blind_leases"), ==, 0);
	harness_restart(cluster.harness, cluster.agents[0]);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_job_completes(&cluster, 0, 2, 8));
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_counter(&cluster, "epochs_refused") > 0);
	g_assert_cmpint(platform_counter(&cluster, "blind_leases"), ==, 0);
	platform_stop(&cluster);
}

/* Guards against changed settings that are not read, with or without SIGHUP, and against an invalid
 * file that changes the settings in use. */
static void test_settings_change(void)
{
	struct platform_cluster cluster;
	char *file;
	char *text;

	platform_start(&cluster);
	file = g_strdup_printf("%s/entry0.json", cluster.harness->directory);
	g_assert_true(g_file_get_contents(file, &text, NULL, NULL));
	g_assert_true(g_file_set_contents(file, "{\"mode\":", -1, NULL));
	harness_signal(cluster.entries[0], SIGHUP);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS,
		     platform_log_contains(cluster.entries[0], "\"result\":\"invalid\""));
	g_assert_true(platform_job_completes(&cluster, 0, 1, 1));
	g_assert_true(g_file_set_contents(file, text, -1, NULL));
	HARNESS_WAIT(CONDITION_TIMEOUT_MS,
		     platform_log_contains(cluster.entries[0], "\"result\":\"valid\""));
	g_assert_true(platform_job_completes(&cluster, 0, 2, 1));
	g_free(text);
	g_free(file);
	platform_stop(&cluster);
}

/* An entry is suspended while its job runs, and the client resends the
 * job to another entry. Guards against an entry that, once resumed, continues a job that it no
 * longer owns. Each task must be started exactly once after the resend, and the first client must
 * not receive an answer (429 or 503) that says that the job did not run. */
static void test_entry_suspended(void)
{
	struct platform_cluster cluster;
	struct platform_submission original = {.number = 1, .tasks = MANY_TASKS};
	struct platform_submission resent = {.entry = 1, .number = 1, .tasks = MANY_TASKS};
	GThread *thread;
	GThread *resent_thread;
	int64_t before;

	platform_start(&cluster);
	platform_control(&cluster, "{\"run_ms\":500}");
	original.cluster = resent.cluster = &cluster;
	thread = g_thread_new("client", platform_run_submission, &original);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_counter(&cluster, "running") > 0);
	harness_signal(cluster.entries[0], SIGSTOP);
	g_usleep(RESEND_MS * US_PER_MS);
	g_assert_cmpint(platform_counter(&cluster, "running"), ==, 0);
	before = platform_counter(&cluster, "starts");
	resent_thread = g_thread_new("client", platform_run_submission, &resent);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_counter(&cluster, "running") > 0);
	harness_signal(cluster.entries[0], SIGCONT);
	g_thread_join(resent_thread);
	g_thread_join(thread);
	g_assert_cmpint(resent.reply.status, ==, 200);
	g_assert_cmpint(original.reply.status, !=, 503);
	g_assert_cmpint(original.reply.status, !=, 429);
	g_assert_cmpint(platform_counter(&cluster, "starts") - before, ==, MANY_TASKS);
	harness_reply_clear(&original.reply);
	harness_reply_clear(&resent.reply);
	platform_stop(&cluster);
}

/* A suspended agent disconnects from its entries and then numbers its reports from 1 again. Guards
 * against entries that discard those reports as duplicates, which leaves jobs hanging until their
 * deadline. */
static void test_agent_suspended(void)
{
	struct platform_cluster cluster;

	platform_start(&cluster);
	for (unsigned i = 0; i < 10; i++)
		g_assert_true(
			platform_job_completes(&cluster, i % PLATFORM_ENTRIES, i + 1, MANY_TASKS));
	for (unsigned i = 0; i < PLATFORM_AGENTS; i++)
		harness_signal(cluster.agents[i], SIGSTOP);
	g_usleep(SUSPEND_MS * US_PER_MS);
	for (unsigned i = 0; i < PLATFORM_AGENTS; i++)
		harness_signal(cluster.agents[i], SIGCONT);
	g_usleep(SETTLE_MS * US_PER_MS);
	/* The entries have heard each other. */
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		g_assert_false(platform_log_contains(cluster.entries[i], "\"event\":1312"));
	for (unsigned i = 0; i < 10; i++)
		g_assert_true(platform_job_completes(&cluster, i % PLATFORM_ENTRIES, i + 100,
						     MANY_TASKS));
	platform_stop(&cluster);
}

static void suspend_host(struct platform_cluster *cluster)
{
	harness_signal(cluster->agents[0], SIGSTOP);
	platform_control(cluster, "{\"suspend_server\":0}");
}

static void resume_host(struct platform_cluster *cluster)
{
	platform_control(cluster, "{\"resume_server\":0}");
	harness_signal(cluster->agents[0], SIGCONT);
}

/* Checks that a job which is sent again to entry 1 is refused at once while its earlier runs may go
 * on at a suspended host, and completes after that has woken up. */
static void check_sent_again(struct platform_cluster *cluster)
{
	int64_t sent_us = g_get_monotonic_time();
	struct harness_reply reply;

	platform_control(cluster, "{\"run_ms\":100}");
	reply = platform_submit(cluster, 1, 1, MANY_TASKS);
	g_assert_cmpint(reply.status, ==, 502);
	g_assert_cmpstr(json_string_value(json_object_get(reply.body, "error")), ==, "agent_lost");
	g_assert_cmpint(g_get_monotonic_time() - sent_us, <, REFUSAL_MS * US_PER_MS);
	harness_reply_clear(&reply);
	resume_host(cluster);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_job_completes(cluster, 1, 1, MANY_TASKS));
	platform_stop(cluster);
}

/* Guards against a second run of a task elsewhere, because its agent has been silent for longer
 * than a lease lasts. The host is suspended, and the run goes on when it wakes up. */
static void test_host_suspended(void)
{
	struct platform_cluster cluster;
	struct platform_submission submission = {
		.cluster = &cluster, .number = 1, .tasks = MANY_TASKS};
	GThread *thread;

	platform_start(&cluster);
	platform_control(&cluster, "{\"run_ms\":5000}");
	thread = g_thread_new("client", platform_run_submission, &submission);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_counter(&cluster, "running") == MANY_TASKS);
	suspend_host(&cluster);
	g_thread_join(thread);
	g_assert_cmpint(submission.reply.status, >=, 502);
	g_assert_cmpint(submission.reply.status, !=, 503);
	harness_reply_clear(&submission.reply);
	g_usleep(RESEND_MS * US_PER_MS);
	check_sent_again(&cluster);
}

/* Guards against the same when the entry that has ordered the runs has ended as well, so that only
 * its records at other entries tell of them. */
static void test_host_suspended_and_entry_killed(void)
{
	struct platform_cluster cluster;
	struct platform_submission submission = {
		.cluster = &cluster, .number = 1, .tasks = MANY_TASKS};
	GThread *thread;

	platform_start(&cluster);
	platform_control(&cluster, "{\"run_ms\":5000}");
	thread = g_thread_new("client", platform_run_submission, &submission);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_counter(&cluster, "running") == MANY_TASKS);
	suspend_host(&cluster);
	harness_kill(cluster.entries[0]);
	g_thread_join(thread);
	g_assert_cmpint(submission.reply.status, ==, 0);
	harness_reply_clear(&submission.reply);
	g_usleep(RESEND_MS * US_PER_MS);
	check_sent_again(&cluster);
}

/* Nobody sends anything to an entry. Guards against one that keeps its jobs and starts their tasks
 * again when its agents return, although it can't know which clients have left. The answer must not
 * say (429 or 503) that the job did not run. */
static void test_entry_isolated(void)
{
	struct platform_cluster cluster;
	struct platform_submission submission = {.number = 1, .tasks = MANY_TASKS};
	struct harness_process *others[PLATFORM_AGENTS + 2];
	int64_t sent_us;
	GThread *thread;

	platform_start(&cluster);
	platform_control(&cluster, "{\"run_ms\":500}");
	for (unsigned i = 0; i < PLATFORM_AGENTS; i++)
		others[i] = cluster.agents[i];
	others[PLATFORM_AGENTS] = cluster.entries[1];
	others[PLATFORM_AGENTS + 1] = cluster.platform;
	submission.cluster = &cluster;
	thread = g_thread_new("client", platform_run_submission, &submission);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_counter(&cluster, "starts") == MANY_TASKS);
	sent_us = g_get_monotonic_time();
	for (unsigned i = 0; i < G_N_ELEMENTS(others); i++)
		harness_signal(others[i], SIGSTOP);
	g_thread_join(thread);
	g_assert_cmpint((g_get_monotonic_time() - sent_us) / US_PER_MS, <, RESEND_MS);
	g_assert_cmpint(submission.reply.status, ==, 502);
	harness_reply_clear(&submission.reply);
	for (unsigned i = 0; i < G_N_ELEMENTS(others); i++)
		harness_signal(others[i], SIGCONT);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_counter(&cluster, "running") == 0);
	g_usleep(SETTLE_MS * US_PER_MS);
	g_assert_cmpint(platform_counter(&cluster, "starts"), ==, MANY_TASKS);
	g_assert_true(platform_log_contains(cluster.entries[0], "\"event\":1312"));
	g_assert_true(platform_job_completes(&cluster, 0, 2, MANY_TASKS));
	platform_stop(&cluster);
}

/* Returns whether PROCESS did not run for so long that it has ended its jobs for that reason, as on
 * a busy machine. */
static bool was_frozen(const struct harness_process *process)
{
	bool frozen = platform_log_contains(process, "\"event\":1003");

	if (frozen)
		g_test_message("%s did not run for a while", process->name);
	return frozen;
}

/* The other entry and all agents but one stop, and the platform as well if PLATFORM_STOPS. Returns
 * the response to a job that entry 0 has accepted before. */
static long submit_before_partition(struct platform_cluster *cluster, bool platform_stops)
{
	struct platform_submission submission = {.number = 1, .tasks = MANY_TASKS};
	struct harness_process *others[PLATFORM_AGENTS + 1];
	unsigned count = 0;
	int64_t sent_us, waited_ms;
	GThread *thread;
	long status;

	platform_control(cluster, "{\"run_ms\":500}");
	for (unsigned i = 1; i < PLATFORM_AGENTS; i++)
		others[count++] = cluster->agents[i];
	others[count++] = cluster->entries[1];
	if (platform_stops)
		others[count++] = cluster->platform;
	submission.cluster = cluster;
	thread = g_thread_new("client", platform_run_submission, &submission);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_counter(cluster, "running") > 0);
	sent_us = g_get_monotonic_time();
	for (unsigned i = 0; i < count; i++)
		harness_signal(others[i], SIGSTOP);
	g_thread_join(thread);
	waited_ms = (g_get_monotonic_time() - sent_us) / US_PER_MS;
	g_assert_true(!platform_stops || waited_ms < RESEND_MS || was_frozen(cluster->entries[0]));
	for (unsigned i = 0; i < count; i++)
		harness_signal(others[i], SIGCONT);
	status = submission.reply.status;
	harness_reply_clear(&submission.reply);
	return status;
}

/* An entry is cut off with one of its agents. Guards against one that goes on with its jobs,
 * because it hears that agent, while the clients have sent them to another entry. */
static void test_entry_partitioned(void)
{
	struct platform_cluster cluster;

	platform_start(&cluster);
	g_assert_cmpint(submit_before_partition(&cluster, true), ==, 502);
	g_assert_true(platform_log_contains(cluster.entries[0], "\"event\":1313") ||
		      was_frozen(cluster.entries[0]) || was_frozen(cluster.agents[0]));
	g_assert_true(!platform_log_contains(cluster.entries[0], "\"event\":1312") ||
		      was_frozen(cluster.agents[0]));
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_entry_is_ready(&cluster, 0));
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_counter(&cluster, "running") == 0);
	g_assert_true(platform_log_contains(cluster.entries[0], "\"event\":1314") ||
		      was_frozen(cluster.entries[0]));
	g_assert_true(platform_job_completes(&cluster, 0, 2, MANY_TASKS));
	platform_stop(&cluster);
}

/* Guards against an entry that ends its jobs when other processes stop and clients reach it. */
static void test_entry_left_alone(void)
{
	struct platform_cluster cluster;
	long status;

	platform_start(&cluster);
	status = submit_before_partition(&cluster, false);
	/* The tasks of the lost agent may be started again too late for the job's deadline. */
	g_assert_true(status == 200 || status == 504 || was_frozen(cluster.entries[0]));
	g_assert_false(platform_log_contains(cluster.entries[0], "\"event\":1313"));
	platform_stop(&cluster);
}

/* Guards against job counters and latencies missing from /metrics. */
static void test_metrics(void)
{
	struct platform_cluster cluster;
	struct harness_reply reply;

	platform_start(&cluster);
	g_assert_true(platform_job_completes(&cluster, 0, 1, 2));
	reply = harness_call("GET", cluster.ready_urls[0], "/metrics", NULL);
	g_assert_cmpint(reply.status, ==, 200);
	g_assert_nonnull(strstr(reply.text, "greengage_jobs_completed_total 1"));
	g_assert_nonnull(strstr(reply.text, "greengage_job_us"));
	harness_reply_clear(&reply);
	platform_stop(&cluster);
}

/* The zones of the agents in the tests of evacuations. */
static const char *const two_zones[PLATFORM_AGENTS] = {"a", "b"};

static bool is_agent_evacuated(const struct platform_cluster *cluster, unsigned agent)
{
	char *log = NULL;
	const char *last;
	bool evacuated;

	g_file_get_contents(cluster->agents[agent]->stdout_file, &log, NULL, NULL);
	last = log ? g_strrstr(log, "\"event\":1417") : NULL;
	evacuated = last && strstr(last, "\"state\":\"evacuated\"");
	g_free(log);
	return evacuated;
}

/* Returns whether ENTRY counts ZONES as evacuated. */
static bool has_evacuated(struct platform_cluster *cluster, unsigned entry, unsigned zones)
{
	char *line = g_strdup_printf("\ngreengage_evacuated_zones %u\n", zones);
	struct harness_reply reply =
		harness_call("GET", cluster->ready_urls[entry], "/metrics", NULL);
	bool found = reply.text && strstr(reply.text, line);

	harness_reply_clear(&reply);
	g_free(line);
	return found;
}

/* Waits until ZONES zones are evacuated at all entries and those of the agents in AGENTS, a bit for
 * each, are known to them, at most for the time limit of an evacuation. */
static void wait_for_evacuation(struct platform_cluster *cluster, unsigned zones, unsigned agents)
{
	int64_t written_us = g_get_monotonic_time();

	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		HARNESS_WAIT(EVACUATE_MS, has_evacuated(cluster, i, zones));
	for (unsigned i = 0; i < PLATFORM_AGENTS; i++)
		HARNESS_WAIT(EVACUATE_MS,
			     is_agent_evacuated(cluster, i) == ((agents >> i & 1) != 0));
	g_test_message("in force after %d ms",
		       (int)((g_get_monotonic_time() - written_us) / US_PER_MS));
	g_assert_cmpint(g_get_monotonic_time() - written_us, <, EVACUATE_MS * US_PER_MS);
}

/* A client that sends one job after the other to an entry. */
struct traffic {
	struct platform_cluster *cluster;
	unsigned entry;
	gint stop;
	gint completed;
	gint failed;
};

static void *send_traffic(void *context)
{
	struct traffic *traffic = context;

	for (unsigned i = 0; !g_atomic_int_get(&traffic->stop); i++) {
		unsigned number = 1000 * (traffic->entry + 1) + i;

		g_atomic_int_inc(platform_job_completes(traffic->cluster, traffic->entry, number, 3)
					 ? &traffic->completed
					 : &traffic->failed);
	}
	return NULL;
}

/* Waits until each of the TRAFFIC has completed TRAFFIC_JOBS more. */
static void wait_for_jobs(struct traffic traffic[PLATFORM_ENTRIES])
{
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++) {
		gint target = g_atomic_int_get(&traffic[i].completed) + TRAFFIC_JOBS;

		HARNESS_WAIT(PLATFORM_READY_TIMEOUT_MS,
			     g_atomic_int_get(&traffic[i].completed) >= target);
	}
}

/* Guards against tasks that start in a zone after its evacuation is in force, against jobs that are
 * lost by it, and against a zone that stays empty after it has been taken back. */
static void test_zone_evacuated(void)
{
	struct platform_cluster cluster;
	struct traffic traffic[PLATFORM_ENTRIES];
	GThread *threads[PLATFORM_ENTRIES];

	platform_start_in_zones(&cluster, two_zones);
	platform_control(&cluster, "{\"run_ms\":20,\"watch_zone\":\"a\"}");
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++) {
		traffic[i] = (struct traffic){.cluster = &cluster, .entry = i};
		threads[i] = g_thread_new("traffic", send_traffic, &traffic[i]);
	}
	wait_for_jobs(traffic);
	g_assert_cmpint(platform_counter(&cluster, "zone_starts"), >, 0);
	platform_write_record(&cluster, "evacuate/a", "{}");
	wait_for_evacuation(&cluster, 1, 1);
	platform_control(&cluster, "{\"watch_zone\":\"a\"}");
	wait_for_jobs(traffic);
	g_assert_cmpint(platform_counter(&cluster, "zone_starts"), ==, 0);
	platform_write_record(&cluster, "evacuate/a", NULL);
	HARNESS_WAIT(EVACUATE_MS, platform_counter(&cluster, "zone_starts") > 0);
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++) {
		g_atomic_int_set(&traffic[i].stop, 1);
		g_thread_join(threads[i]);
		g_assert_cmpint(traffic[i].failed, ==, 0);
	}
	platform_stop(&cluster);
}

/* Runs jobs at all entries, numbered from FIRST, and checks that none of their tasks starts in zone
 * a. */
static void check_zone_stays_empty(struct platform_cluster *cluster, unsigned first)
{
	platform_control(cluster, "{\"watch_zone\":\"a\"}");
	for (unsigned i = 0; i < 10; i++)
		g_assert_true(platform_job_completes(cluster, i % PLATFORM_ENTRIES, first + i, 3));
	g_assert_cmpint(platform_counter(cluster, "zone_starts"), ==, 0);
}

/* Guards against an evacuation, or its end, that no entry learns of because the store refuses the
 * calls of all of them. The agents, which the store serves, read for them. */
static void test_evacuated_while_store_refuses(void)
{
	struct platform_cluster cluster;

	platform_start_in_zones(&cluster, two_zones);
	platform_control(&cluster, "{\"run_ms\":20}");
	refuse_entries(&cluster);
	platform_write_record(&cluster, "evacuate/a", "{}");
	wait_for_evacuation(&cluster, 1, 1);
	check_zone_stays_empty(&cluster, 1);
	platform_write_record(&cluster, "evacuate/a", NULL);
	wait_for_evacuation(&cluster, 0, 0);
	platform_stop(&cluster);
}

/* Guards against a process that starts during an evacuation, cannot read the store, and starts
 * tasks in the zone: an entry that takes the configuration from another one, an agent, and an
 * entry that hears only of agents that have just started. */
static void test_start_during_evacuation(void)
{
	struct platform_cluster cluster;

	platform_start_in_zones(&cluster, two_zones);
	platform_control(&cluster, "{\"run_ms\":20}");
	platform_write_record(&cluster, "evacuate/a", "{}");
	wait_for_evacuation(&cluster, 1, 1);
	platform_control(&cluster, "{\"store_down\":true}");
	harness_kill(cluster.entries[1]);
	for (unsigned i = 0; i < PLATFORM_AGENTS; i++)
		harness_kill(cluster.agents[i]);
	platform_control(&cluster, "{\"watch_zone\":\"a\"}");
	harness_restart(cluster.harness, cluster.entries[1]);
	/* Nobody but the other entry can tell of it. */
	HARNESS_WAIT(EVACUATE_MS, has_evacuated(&cluster, 1, 1));
	for (unsigned i = 0; i < PLATFORM_AGENTS; i++)
		harness_restart(cluster.harness, cluster.agents[i]);
	HARNESS_WAIT(PLATFORM_READY_TIMEOUT_MS, platform_entry_is_ready(&cluster, 1));
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_job_completes(&cluster, 1, 1, 3));
	wait_for_evacuation(&cluster, 1, 1);
	/* The other entry learns the zones back from the one that has started. */
	harness_kill(cluster.entries[0]);
	harness_restart(cluster.harness, cluster.entries[0]);
	HARNESS_WAIT(PLATFORM_READY_TIMEOUT_MS, platform_entry_is_ready(&cluster, 0));
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_job_completes(&cluster, 0, 2, 3));
	g_assert_cmpint(platform_counter(&cluster, "zone_starts"), ==, 0);
	check_zone_stays_empty(&cluster, 3);
	platform_control(&cluster, "{\"store_down\":false}");
	platform_write_record(&cluster, "evacuate/a", NULL);
	wait_for_evacuation(&cluster, 0, 0);
	platform_stop(&cluster);
}

/* Checks the answer to GET /evacuations of ENTRY: ZONES and a version. */
static void check_listed_zones(struct platform_cluster *cluster, unsigned entry, const char *zones)
{
	struct harness_reply reply =
		harness_call("GET", cluster->ready_urls[entry], "/evacuations", NULL);
	char *text = json_dumps(json_object_get(reply.body, "zones"), JSON_COMPACT);

	g_assert_cmpint(reply.status, ==, 200);
	g_assert_cmpint(json_integer_value(json_object_get(reply.body, "version")), >, 0);
	g_assert_cmpstr(text, ==, zones);
	free(text);
	harness_reply_clear(&reply);
}

/* Guards against jobs that wait for their deadline, and against entries that the load balancer
 * takes out of service, when no zone is left. */
static void test_all_zones_evacuated(void)
{
	struct platform_cluster cluster;

	platform_start_in_zones(&cluster, two_zones);
	platform_write_record(&cluster, "evacuate/a", "{}");
	platform_write_record(&cluster, "evacuate/b", "{}");
	wait_for_evacuation(&cluster, 2, 3);
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++) {
		int64_t sent_us = g_get_monotonic_time();
		struct harness_reply reply = platform_submit(&cluster, i, i + 1, 3);

		g_assert_cmpint(reply.status, ==, 503);
		g_assert_cmpint(g_get_monotonic_time() - sent_us, <, REFUSAL_MS * US_PER_MS);
		harness_reply_clear(&reply);
		g_assert_true(platform_entry_is_ready(&cluster, i));
		check_listed_zones(&cluster, i, "[\"a\",\"b\"]");
	}
	g_assert_cmpint(platform_counter(&cluster, "starts"), ==, 0);
	platform_write_record(&cluster, "evacuate/b", NULL);
	wait_for_evacuation(&cluster, 1, 1);
	check_listed_zones(&cluster, 0, "[\"a\"]");
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_job_completes(&cluster, 0, 3, 3));
	platform_stop(&cluster);
}

/* Adds the RECORD, in base64, to the operator's log. */
static void write_raw_record(struct platform_cluster *cluster, const char *record)
{
	g_assert_cmpint(harness_status("POST", cluster->platform_url,
				       "/control/record?topic=keyed.op", record),
			==, 200);
}

/* Guards against an evacuation that is ignored because the value of its record cannot be read,
 * where it is a record in the log and where it is an item in the list that a starting entry reads.
 */
static void test_evacuation_with_odd_value(void)
{
	struct platform_cluster cluster;

	platform_start_in_zones(&cluster, two_zones);
	platform_control(&cluster, "{\"run_ms\":20}");
	platform_write_record(&cluster, "evacuate/a", "\xff{");
	wait_for_evacuation(&cluster, 1, 1);
	check_zone_stays_empty(&cluster, 1);
	platform_write_record(&cluster, "evacuate/a", NULL);
	wait_for_evacuation(&cluster, 0, 0);
	/* The name is "z" and a byte that is not UTF-8. */
	write_raw_record(&cluster, "C2V2YWN1YXRlL3r/e30=");
	wait_for_evacuation(&cluster, 1, 0);
	check_listed_zones(&cluster, 0, "[\"z\xef\xbf\xbd\"]");
	write_raw_record(&cluster, "C2V2YWN1YXRlL3r/");
	wait_for_evacuation(&cluster, 0, 0);
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		harness_kill(cluster.entries[i]);
	g_assert_cmpint(harness_status("POST", cluster.platform_url, "/control/item?topic=keyed.op",
				       "{\"key\":\"evacuate/a\",\"value\":7}"),
			==, 200);
	/* Raises the version. */
	platform_write_record(&cluster, "other", "{}");
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		harness_restart(cluster.harness, cluster.entries[i]);
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		HARNESS_WAIT(PLATFORM_READY_TIMEOUT_MS, platform_entry_is_ready(&cluster, i));
	wait_for_evacuation(&cluster, 1, 1);
	check_zone_stays_empty(&cluster, 101);
	platform_stop(&cluster);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform/jobs_complete", test_jobs_complete);
	g_test_add_func("/platform/repeat_after_answer", test_resubmit_after_response);
	g_test_add_func("/platform/bad_requests", test_bad_requests);
	g_test_add_func("/platform/configuration", test_configuration);
	g_test_add_func("/platform/store_without_history", test_store_without_history);
	g_test_add_func("/platform/store_refuses_entries", test_store_refuses_entries);
	g_test_add_func("/platform/change_while_frozen", test_change_while_frozen);
	g_test_add_func("/platform/agents_start_without_seed", test_agents_start_without_seed);
	g_test_add_func("/platform/start_without_store", test_start_without_store);
	g_test_add_func("/platform/start_in_silence", test_start_with_silent_store);
	g_test_add_func("/platform/entry_returns", test_entry_restart);
	g_test_add_func("/platform/entry_killed_with_work", test_entry_killed_during_job);
	g_test_add_func("/platform/lost_answers", test_lost_answers);
	g_test_add_func("/platform/losses_cost_little", test_delay_with_lost_responses);
	g_test_add_func("/platform/garbled_lists", test_invalid_task_lists);
	g_test_add_func("/platform/capacity_shrinks", test_capacity_shrinks);
	g_test_add_func("/platform/deadly_task", test_deadly_task);
	g_test_add_func("/platform/ends_of_old_process_acknowledged",
			test_ends_of_old_process_acknowledged);
	g_test_add_func("/platform/crash_is_noticed", test_crash_is_noticed);
	g_test_add_func("/platform/server_cut_off", test_server_cut_off);
	g_test_add_func("/platform/server_cut_off_beyond_lease", test_server_cut_off_beyond_lease);
	g_test_add_func("/platform/server_cut_off_with_idle_poll",
			test_server_cut_off_with_idle_poll);
	g_test_add_func("/platform/deadly_task_and_entry_restarts",
			test_deadly_task_and_entry_restarts);
	g_test_add_func("/platform/leaving_server", test_draining_server);
	g_test_add_func("/platform/late_heartbeat", test_late_heartbeat);
	g_test_add_func("/platform/graceful_stop", test_graceful_stop);
	g_test_add_func("/platform/agent_restarts", test_agent_restarts);
	g_test_add_func("/platform/no_lease_before_lists", test_no_lease_before_lists);
	g_test_add_func("/platform/settings_change", test_settings_change);
	g_test_add_func("/platform/agent_frozen", test_agent_suspended);
	g_test_add_func("/platform/host_suspended", test_host_suspended);
	g_test_add_func("/platform/host_suspended_and_entry_killed",
			test_host_suspended_and_entry_killed);
	g_test_add_func("/platform/entry_frozen", test_entry_suspended);
	g_test_add_func("/platform/entry_isolated", test_entry_isolated);
	g_test_add_func("/platform/entry_partitioned", test_entry_partitioned);
	g_test_add_func("/platform/entry_left_alone", test_entry_left_alone);
	g_test_add_func("/platform/metrics", test_metrics);
	g_test_add_func("/platform/zone_evacuated", test_zone_evacuated);
	g_test_add_func("/platform/evacuated_while_store_refuses",
			test_evacuated_while_store_refuses);
	g_test_add_func("/platform/start_during_evacuation", test_start_during_evacuation);
	g_test_add_func("/platform/all_zones_evacuated", test_all_zones_evacuated);
	g_test_add_func("/platform/evacuation_with_odd_value", test_evacuation_with_odd_value);
	return g_test_run();
}
