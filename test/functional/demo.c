/* Demonstration: runs a job of 200 tasks on two entries, three agents and their backend servers and
 * resubmits it. Then stops the entries while another job runs, and finally all other processes. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

enum {
	TASKS = 200,
	STOP_TASKS = 40, /* tasks of the job that runs when the entries are stopped */
	MIN_SLEEP_MS = 50,
	MAX_SLEEP_MS = 300,
	SEED = 11,
	WAIT_MS = 20000,
	LIMIT_S = 60,
	US_PER_MS = 1000,
};

static const struct harness_options options = {
	.entries = 2, .agents = 3, .slots = 8, .time_factors = {1, 1.5, 3}};

/* A job submission that runs on a separate thread. */
struct submission {
	const char *url;
	const char *session;
	const char *job;
	struct harness_reply reply;
};

static void *submit(void *context)
{
	struct submission *submission = context;

	submission->reply = harness_submit(submission->url, submission->session, "late",
					   submission->job, WAIT_MS);
	return NULL;
}

static int64_t count_messages(struct harness *harness)
{
	int64_t total = 0;

	for (unsigned i = 0; i < options.agents; i++) {
		total += harness_metric(harness->agents[i].url, "messages_sent_total");
		total += harness_metric(harness->agents[i].url, "messages_received_total");
	}
	return total;
}

/* Returns a lower bound of the response time: the larger of the total run time divided by the
 * capacity of all slots and the run time of the longest task on the fastest server (factor 1). */
static double min_response_ms(const char *job)
{
	json_t *document = json_loads(job, 0, NULL);
	double capacity = 0;
	double work = 0;
	double longest = 0;
	json_t *task;
	size_t i;

	for (unsigned k = 0; k < options.agents; k++)
		capacity += options.slots / options.time_factors[k];
	json_array_foreach (json_object_get(document, "tasks"), i, task) {
		double sleep_ms = json_number_value(json_object_get(task, "sleep_ms"));

		work += sleep_ms;
		longest = MAX(longest, sleep_ms);
	}
	json_decref(document);
	return MAX(work / capacity, longest);
}

static void print_task_counts(const struct harness_reply *reply)
{
	unsigned counts[HARNESS_MAX_AGENTS] = {0};
	json_t *result;
	size_t i;

	json_array_foreach (json_object_get(reply->body, "results"), i, result) {
		const char *server = json_string_value(json_object_get(result, "server"));
		unsigned index = server ? (unsigned)atoi(server + strlen("server")) : 0;

		if (index < HARNESS_MAX_AGENTS)
			counts[index]++;
	}
	for (unsigned k = 0; k < options.agents; k++)
		printf("  server%u (time factor %.1f): %u tasks\n", k, options.time_factors[k],
		       counts[k]);
}

static void run_job(struct harness *harness, const char *session)
{
	char *job = harness_job(TASKS, MIN_SLEEP_MS, MAX_SLEEP_MS, SEED);
	int64_t before = count_messages(harness);
	struct harness_reply first =
		harness_submit(harness->entries[0].url, session, "demo", job, WAIT_MS);
	int64_t messages = count_messages(harness) - before;
	struct harness_reply second;
	struct harness_start_counts starts;
	double min_ms = min_response_ms(job);
	double response_ms = (double)first.elapsed_us / US_PER_MS;

	harness_check_results(&first, TASKS);
	printf("job of %d tasks through entry0: state done, %d results in order\n", TASKS, TASKS);
	print_task_counts(&first);
	printf("  response time %.0f ms, ideal %.0f ms, ratio %.2f\n", response_ms, min_ms,
	       response_ms / min_ms);
	printf("  messages between entries and agents: %.2f per task\n", (double)messages / TASKS);

	second = harness_submit(harness->entries[1].url, session, "demo", job, WAIT_MS);
	harness_check_results(&second, TASKS);
	g_assert_cmpstr(first.text, ==, second.text);
	starts = harness_count_starts(harness);
	printf("resubmitted through entry1: same response after %.1f ms\n",
	       (double)second.elapsed_us / US_PER_MS);
	printf("task starts counted by the servers: %d, repeated: %d\n", (int)starts.total,
	       (int)starts.repeated);
	g_assert_cmpuint(starts.total, ==, TASKS);
	g_assert_cmpuint(starts.repeated, ==, 0);
	harness_reply_clear(&first);
	harness_reply_clear(&second);
	free(job);
}

/* Sends SIGTERM to the entries while a job runs, checks that the client still receives all results,
 * and then stops the other processes. */
static void stop_with_running_job(struct harness *harness, const char *session)
{
	char *job = harness_job(STOP_TASKS, MIN_SLEEP_MS, MAX_SLEEP_MS, SEED + 1);
	struct submission submission = {
		.url = harness->entries[0].url, .session = session, .job = job};
	GThread *thread = g_thread_new("submit", submit, &submission);
	struct harness_start_counts starts;

	HARNESS_WAIT(WAIT_MS, harness_count_starts(harness).total > TASKS);
	for (unsigned i = 0; i < options.entries; i++)
		harness_signal(harness->entries[i].process, SIGTERM);
	g_thread_join(thread);
	harness_check_results(&submission.reply, STOP_TASKS);
	starts = harness_count_starts(harness);
	g_assert_cmpuint(starts.total, ==, TASKS + STOP_TASKS);
	g_assert_cmpuint(starts.repeated, ==, 0);
	printf("SIGTERM while a job of %d tasks runs: all results returned\n", STOP_TASKS);
	for (unsigned i = 0; i < options.entries; i++)
		g_assert_cmpint(harness_wait_exit(harness->entries[i].process, WAIT_MS), ==, 0);
	harness_stop(harness);
	printf("entries, agents and servers stopped with SIGTERM: all exited with status 0\n");
	harness_reply_clear(&submission.reply);
	free(job);
}

int main(void)
{
	int64_t started_us = g_get_monotonic_time();
	struct harness *harness;
	char *session;
	double elapsed_s;

	printf("seed %d\nstarting the simulated log, 2 entries, 3 agents and their servers\n",
	       SEED);
	harness = harness_start(&options);
	session = harness_open_session(harness->entries[0].url);
	run_job(harness, session);
	stop_with_running_job(harness, session);
	harness_free(harness);
	g_free(session);
	elapsed_s = (double)(g_get_monotonic_time() - started_us) / G_USEC_PER_SEC;
	printf("demo finished in %.1f s\n", elapsed_s);
	return elapsed_s < LIMIT_S ? EXIT_SUCCESS : EXIT_FAILURE;
}
