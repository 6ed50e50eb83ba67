#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "capacity.h"

enum {
	QUEUE_TASKS = 1000, /* tasks of each job */
	QUEUE_SLOTS = 64,
	QUEUE_SEED = 1,
	DRAIN_MS = 2000,
	SESSION_CLIENTS = 8,
	CLAIM_MS = 1500,
	MAX_CLAIM_CLIENTS = 32,
	MAX_OPEN_REQUESTS = 200,
	KEY_BYTES = 40,
};

static const char noop_job[] = "{\"class\":\"renewal\",\"team\":\"passes\",\"run_ms\":1,\"tasks\":"
			       "[{\"sleep_ms\":0}]}";

/* Fills the queue while the server hangs and measures the growth of the entry's memory. Then lets
 * the server continue and measures the entry's CPU time per start until the queue is empty, for at
 * most DRAIN_MS. */
static void measure_full_queue(unsigned tasks, struct series *rss, struct series *cpu)
{
	struct harness *harness = harness_start(&(struct harness_options){
		.entries = 1, .agents = 1, .slots = QUEUE_SLOTS, .without_log = true});
	const struct harness_entry *entry = &harness->entries[0];
	char *session = harness_open_session(entry->url);
	char *job = harness_job(QUEUE_TASKS, 0, 0, QUEUE_SEED);
	struct client client;
	int64_t bytes_before;
	int64_t cpu_us;
	int64_t starts;
	int64_t end_us;

	client_init(&client);
	client_submit(&client, entry->url, session, "warm", 0, job, BENCH_TIMEOUT_MS);
	harness_set_server_faults(harness, 0, "{\"hang\": true}");
	client_submit(&client, entry->url, session, "first", 0, job, 0);
	bytes_before = process_rss_bytes(entry->process);
	for (unsigned i = 0; i < tasks / QUEUE_TASKS; i++)
		client_submit(&client, entry->url, session, "queue", i, job, 0);
	HARNESS_WAIT(BENCH_TIMEOUT_MS, harness_metric(entry->url, "queued_tasks") >= tasks);
	series_add(rss, tasks, (double)(process_rss_bytes(entry->process) - bytes_before));
	starts = harness_metric(harness->agents[0].url, "agent_starts_total");
	cpu_us = process_cpu_us(entry->process);
	harness_set_server_faults(harness, 0, "{\"hang\": false}");
	end_us = g_get_monotonic_time() + DRAIN_MS * CAPACITY_US_PER_MS;
	while (g_get_monotonic_time() < end_us &&
	       harness_metric(harness->agents[0].url, "agent_starts_total") - starts < tasks)
		g_usleep(HARNESS_POLL_US);
	cpu_us = process_cpu_us(entry->process) - cpu_us;
	starts = harness_metric(harness->agents[0].url, "agent_starts_total") - starts;
	series_add(cpu, tasks, (double)cpu_us / (double)starts);
	client_clear(&client);
	free(job);
	g_free(session);
	harness_free(harness);
}

void measure_queue(json_t *summary)
{
	static const unsigned sizes[CAPACITY_SIZE_COUNT] = {1000, 10000, 100000, 300000};
	struct series rss = {0};
	struct series cpu = {0};

	for (unsigned i = 0; i < CAPACITY_SIZE_COUNT; i++)
		measure_full_queue(sizes[i], &rss, &cpu);
	series_report(summary, "queue_rss_bytes", &rss);
	report_value(summary, "bytes_per_queued_task", series_slope(&rss));
	series_report(summary, "queue_entry_us_per_start", &cpu);
	report_value(summary, "queue_entry_us_per_start_per_100000_queued",
		     series_slope(&cpu) * 100000);
}

/* Opens a connection and sends a job request that waits for its result. Returns the socket. */
static int open_request(const struct harness_entry *entry, const char *session, unsigned number)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char *text = g_strdup_printf("PUT /v1/sessions/%s/jobs/open-%u?wait_ms=%d HTTP/1.1\r\n"
				     "Host: entry\r\nContent-Type: application/json\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
				     session, number, BENCH_TIMEOUT_MS, strlen(noop_job), noop_job);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)entry->http_port);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
	g_assert_cmpint(write(fd, text, strlen(text)), ==, (gssize)strlen(text));
	g_free(text);
	return fd;
}

void measure_open_requests(json_t *summary)
{
	static const unsigned sizes[CAPACITY_SIZE_COUNT] = {10, 50, 100, MAX_OPEN_REQUESTS};
	struct harness *harness = harness_start(
		&(struct harness_options){.entries = 1, .agents = 1, .without_log = true});
	const struct harness_entry *entry = &harness->entries[0];
	char *session = harness_open_session(entry->url);
	struct series rss = {0};
	int open_fds[MAX_OPEN_REQUESTS];
	unsigned open = 0;

	harness_set_server_faults(harness, 0, "{\"hang\": true}");
	for (unsigned i = 0; i < CAPACITY_SIZE_COUNT; i++) {
		while (open < sizes[i]) {
			open_fds[open] = open_request(entry, session, open);
			open++;
		}
		HARNESS_WAIT(BENCH_TIMEOUT_MS,
			     harness_metric(entry->url, "http_open_requests") >= open);
		HARNESS_WAIT(BENCH_TIMEOUT_MS, harness_metric(entry->url, "jobs_held") >= open);
		series_add(&rss, open, (double)process_rss_bytes(entry->process));
	}
	series_report(summary, "open_requests_entry_rss_bytes", &rss);
	report_value(summary, "bytes_per_open_request", series_slope(&rss));
	for (unsigned i = 0; i < open; i++)
		close(open_fds[i]);
	g_free(session);
	harness_free(harness);
}

/* Load by clients that claim keys through one entry until END_US. */
struct claim_load {
	const char *entry;
	int64_t end_us;
	gint next;
};

/* Formats a UUIDv7 with the current time, and with NUMBER in place of the random part. */
static void format_uuid_v7(unsigned number, char *key, size_t size)
{
	uint64_t now_ms = (uint64_t)(g_get_real_time() / CAPACITY_US_PER_MS);

	g_snprintf(key, size, "%08x-%04x-7000-8000-%012x", (unsigned)(now_ms >> 16),
		   (unsigned)(now_ms & 0xffff), number);
}

static void claim_until_end(void *context, struct client *client, unsigned unused)
{
	struct claim_load *claims = context;
	char key[KEY_BYTES];
	char url[BENCH_URL_BYTES];

	while (g_get_monotonic_time() < claims->end_us) {
		format_uuid_v7((unsigned)g_atomic_int_add(&claims->next, 1), key, sizeof(key));
		g_snprintf(url, sizeof(url), "%s/v1/jobs/%s?wait_ms=%d", claims->entry, key,
			   BENCH_TIMEOUT_MS);
		client_request(client, "PUT", url, noop_job, 200);
	}
}

void measure_claims(json_t *summary)
{
	static const unsigned clients[CAPACITY_SIZE_COUNT] = {4, 8, 16, MAX_CLAIM_CLIENTS};
	struct harness *harness =
		harness_start(&(struct harness_options){.entries = 1, .agents = 2});
	const struct harness_entry *entry = &harness->entries[0];
	struct claim_load claims = {.entry = entry->url, .next = 1};
	struct series per_s = {0};
	struct series appends = {0};
	struct series rss = {0};

	for (unsigned i = 0; i < CAPACITY_SIZE_COUNT; i++) {
		int64_t begin_us = g_get_monotonic_time();
		gint first = claims.next;
		int64_t appends_before = log_appends(harness, "claims");
		double keys;

		claims.end_us = begin_us + CLAIM_MS * CAPACITY_US_PER_MS;
		run_parallel(clients[i], 0, clients[i], claim_until_end, &claims);
		keys = claims.next - first;
		series_add(&per_s, clients[i],
			   keys * G_USEC_PER_SEC / (double)(g_get_monotonic_time() - begin_us));
		series_add(&appends, clients[i],
			   (double)(log_appends(harness, "claims") - appends_before) / keys);
		series_add(&rss, claims.next, (double)process_rss_bytes(entry->process));
	}
	series_report(summary, "claims_per_s_with_clients", &per_s);
	series_report(summary, "claim_appends_per_key_with_clients", &appends);
	/* Includes each key's ended job and its result, which are kept until a limit on their
	 * number or size, or their retention time, is reached. */
	report_value(summary, "bytes_per_held_claim", series_slope(&rss));
	report_value(summary, "claims_held", claims.next - 1);
	harness_free(harness);
}

static void submit_in_new_session(void *context, struct client *client, unsigned number)
{
	const char *entry = context;
	char *session = harness_open_session(entry);

	client_submit(client, entry, session, "job", number, noop_job, BENCH_TIMEOUT_MS);
	g_free(session);
}

void measure_sessions(json_t *summary)
{
	static const unsigned sizes[CAPACITY_SIZE_COUNT] = {1000, 10000, 25000, 50000};
	struct harness *harness = harness_start(
		&(struct harness_options){.entries = 1, .agents = 2, .without_log = true});
	const struct harness_entry *entry = &harness->entries[0];
	struct series rss = {0};
	unsigned open = 0;

	for (unsigned i = 0; i < CAPACITY_SIZE_COUNT; i++) {
		run_parallel(SESSION_CLIENTS, open, sizes[i] - open, submit_in_new_session,
			     (void *)entry->url);
		open = sizes[i];
		HARNESS_WAIT(BENCH_TIMEOUT_MS, harness_metric(entry->url, "sessions") >= open);
		series_add(&rss, open, (double)process_rss_bytes(entry->process));
	}
	series_report(summary, "sessions_entry_rss_bytes", &rss);
	/* Includes the one ended job of each session and its result. */
	report_value(summary, "bytes_per_session_with_one_key", series_slope(&rss));
	harness_free(harness);
}
