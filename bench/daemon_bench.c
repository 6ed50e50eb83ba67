/*
 * Measures the daemon with real processes and prints one flat JSON object of numbers. Targets are
 * in docs/design.md, section 1.10.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench_client.h"

enum {
	WARM_UP_REQUESTS = 200,
	LATENCY_REQUESTS = 3000,
	LATENCY_BATCHES = 10, /* direct and dispatched requests alternate in batches */
	THROUGHPUT_AGENTS = 10,
	THROUGHPUT_SLOTS = 16,
	THROUGHPUT_CLIENTS = 24,
	THROUGHPUT_TASKS = 250, /* fewer than the 290 tasks of the largest jobs */
	THROUGHPUT_WARM_UP_MS = 2000,
	THROUGHPUT_MS = 6000,
	QUEUE_JOBS = 400,
	QUEUE_TASKS = 1000,
	QUEUED_TASKS = QUEUE_JOBS * QUEUE_TASKS,
	IDLE_SETTLE_MS = 3000,
	IDLE_MS = 10000,
	KEY_BYTES = 32,
	MIB = 1 << 20,
	US_PER_MS = 1000,
};

static const char noop_job[] = "{\"class\":\"renewal\",\"team\":\"passes\",\"run_ms\":1,\"tasks\":"
			       "[{\"sleep_ms\":0}]}";

static int compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t quantile(int64_t *values, int count, double q)
{
	qsort(values, (size_t)count, sizeof(*values), compare_int64);
	return values[(int)(q * (count - 1))];
}

/* Measures the latency of a one-task no-op job from the client through an entry and an agent to a
 * server and back, compared with the same request sent to the server directly. */
static void measure_latency(json_t *summary)
{
	struct harness *harness = harness_start(
		&(struct harness_options){.entries = 1, .agents = 1, .without_log = true});
	char *session = harness_open_session(harness->entries[0].url);
	char *direct_url = g_strconcat(harness->agents[0].server_url, "/task", NULL);
	static int64_t dispatched[LATENCY_REQUESTS];
	static int64_t direct[LATENCY_REQUESTS];
	struct client to_entry;
	struct client to_server;
	int64_t p50;
	unsigned number = 0;
	int batch = LATENCY_REQUESTS / LATENCY_BATCHES;

	client_init(&to_entry);
	client_init(&to_server);
	for (int i = 0; i < WARM_UP_REQUESTS; i++)
		client_submit(&to_entry, harness->entries[0].url, session, "warm", number++,
			      noop_job, BENCH_TIMEOUT_MS);
	for (int k = 0; k < LATENCY_BATCHES; k++) {
		for (int i = 0; i < batch; i++)
			dispatched[k * batch + i] =
				client_submit(&to_entry, harness->entries[0].url, session, "job",
					      number++, noop_job, BENCH_TIMEOUT_MS);
		for (int i = 0; i < batch; i++)
			direct[k * batch + i] = client_request(&to_server, "POST", direct_url,
							       "{\"sleep_ms\":0}", 200);
	}
	p50 = quantile(direct, LATENCY_REQUESTS, 0.5);
	json_object_set_new(summary, "direct_latency_us_p50", json_integer(p50));
	json_object_set_new(summary, "added_latency_us_p50",
			    json_integer(quantile(dispatched, LATENCY_REQUESTS, 0.5) - p50));
	json_object_set_new(summary, "added_latency_us_p99",
			    json_integer(quantile(dispatched, LATENCY_REQUESTS, 0.99) -
					 quantile(direct, LATENCY_REQUESTS, 0.99)));
	client_clear(&to_entry);
	client_clear(&to_server);
	g_free(direct_url);
	g_free(session);
	harness_free(harness);
}

/* A client thread that submits jobs of no-op tasks one after the other until STOP is set. */
struct load_client {
	const char *entry;
	const char *job;
	unsigned index;
	gint *stop;
};

static void *run_load(void *context)
{
	struct load_client *load = context;
	char *session = harness_open_session(load->entry);
	struct client client;
	char name[KEY_BYTES];
	unsigned number = 0;

	client_init(&client);
	g_snprintf(name, sizeof(name), "load%u", load->index);
	while (!g_atomic_int_get(load->stop))
		client_submit(&client, load->entry, session, name, number++, load->job,
			      BENCH_TIMEOUT_MS);
	client_clear(&client);
	g_free(session);
	return NULL;
}

static uint64_t count_starts(const struct harness *harness)
{
	uint64_t total = 0;

	for (unsigned i = 0; i < harness->options.agents; i++)
		total += (uint64_t)harness_metric(harness->agents[i].url, "agent_starts_total");
	return total;
}

/* Measures the throughput of no-op tasks through one entry and ten agents. Clients and servers run
 * on the same machine. */
static void measure_throughput(json_t *summary)
{
	struct harness *harness = harness_start(&(struct harness_options){
		.entries = 1,
		.agents = THROUGHPUT_AGENTS,
		.slots = THROUGHPUT_SLOTS,
		.without_log = true,
	});
	char *job = harness_job(THROUGHPUT_TASKS, 0, 0, 1);
	struct load_client loads[THROUGHPUT_CLIENTS];
	GThread *threads[THROUGHPUT_CLIENTS];
	gint stop = 0;
	int64_t begin_us;
	double seconds;
	uint64_t starts;

	for (unsigned i = 0; i < THROUGHPUT_CLIENTS; i++) {
		loads[i] = (struct load_client){
			.entry = harness->entries[0].url, .job = job, .index = i, .stop = &stop};
		threads[i] = g_thread_new("load", run_load, &loads[i]);
	}
	g_usleep(THROUGHPUT_WARM_UP_MS * US_PER_MS);
	begin_us = g_get_monotonic_time();
	starts = count_starts(harness);
	g_usleep(THROUGHPUT_MS * US_PER_MS);
	starts = count_starts(harness) - starts;
	seconds = (double)(g_get_monotonic_time() - begin_us) / G_USEC_PER_SEC;
	g_atomic_int_set(&stop, 1);
	for (unsigned i = 0; i < THROUGHPUT_CLIENTS; i++)
		g_thread_join(threads[i]);
	json_object_set_new(summary, "starts_per_s_entry",
			    json_integer((json_int_t)((double)starts / seconds)));
	free(job);
	harness_free(harness);
}

/* Measures the growth of the entry's memory with tasks that queue behind a hanging task. */
static void measure_queue(json_t *summary)
{
	struct harness *harness = harness_start(&(struct harness_options){
		.entries = 1, .agents = 1, .slots = 1, .without_log = true});
	const struct harness_process *entry = harness->entries[0].process;
	char *session = harness_open_session(harness->entries[0].url);
	char *job = harness_job(QUEUE_TASKS, 1, 1, 1);
	struct client client;
	int64_t before_bytes;
	int64_t after_bytes;

	client_init(&client);
	client_submit(&client, harness->entries[0].url, session, "warm", 0, noop_job,
		      BENCH_TIMEOUT_MS);
	harness_set_server_faults(harness, 0, "{\"hang\": true}");
	client_submit(&client, harness->entries[0].url, session, "first", 0, job, 0);
	before_bytes = process_rss_bytes(entry);
	for (unsigned i = 0; i < QUEUE_JOBS; i++)
		client_submit(&client, harness->entries[0].url, session, "queue", i, job, 0);
	after_bytes = process_rss_bytes(entry);
	/* All tasks of the jobs after the first must be queued. The gauge is updated only
	 * periodically, so wait for it. */
	HARNESS_WAIT(BENCH_TIMEOUT_MS,
		     harness_metric(harness->entries[0].url, "queued_tasks") >= QUEUED_TASKS);
	json_object_set_new(summary, "bytes_per_queued_task",
			    json_real((double)(after_bytes - before_bytes) / QUEUED_TASKS));
	client_clear(&client);
	free(job);
	g_free(session);
	harness_free(harness);
}

/* Returns the bytes that the agent has sent so far on its channels and in responses to its server.
 */
static int64_t agent_sent_bytes(struct harness *harness)
{
	static const char *const routes[] = {"agent0-entry0", "agent0-entry1", "announce0"};
	int64_t total = 0;

	for (unsigned i = 0; i < G_N_ELEMENTS(routes); i++) {
		char *line = g_strconcat(routes[i], " stats", NULL);
		char *answer = harness_proxy_command(harness, line);
		long long to_target = 0;
		long long to_client = 0;

		g_assert_cmpint(sscanf(answer, "%lld %lld", &to_target, &to_client), ==, 2);
		total += strcmp(routes[i], "announce0") == 0 ? to_client : to_target;
		g_free(answer);
		g_free(line);
	}
	return total;
}

/* Measures the memory of an idle entry and agent, and the CPU time and sent bytes of the agent. */
static void measure_idle(json_t *summary)
{
	struct harness *harness = harness_start(
		&(struct harness_options){.entries = 2, .agents = 1, .with_proxy = true});
	const struct harness_process *agent = harness->agents[0].process;
	int64_t begin_us;
	int64_t bytes;
	int64_t cpu_us;
	double seconds;

	g_usleep(IDLE_SETTLE_MS * US_PER_MS);
	begin_us = g_get_monotonic_time();
	bytes = agent_sent_bytes(harness);
	cpu_us = process_cpu_us(agent);
	g_usleep(IDLE_MS * US_PER_MS);
	cpu_us = process_cpu_us(agent) - cpu_us;
	bytes = agent_sent_bytes(harness) - bytes;
	seconds = (double)(g_get_monotonic_time() - begin_us) / G_USEC_PER_SEC;
	json_object_set_new(
		summary, "rss_mb_entry_idle",
		json_real((double)process_rss_bytes(harness->entries[0].process) / MIB));
	json_object_set_new(summary, "rss_mb_agent_idle",
			    json_real((double)process_rss_bytes(agent) / MIB));
	json_object_set_new(summary, "idle_bytes_per_s_agent", json_real((double)bytes / seconds));
	json_object_set_new(summary, "idle_cpu_percent_agent",
			    json_real((double)cpu_us / seconds / 1e6 * 100));
	harness_free(harness);
}

int main(void)
{
	json_t *summary = json_object();
	char *text;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	measure_idle(summary);
	measure_latency(summary);
	measure_queue(summary);
	measure_throughput(summary);
	text = json_dumps(summary, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
	puts(text);
	free(text);
	json_decref(summary);
	return 0;
}
