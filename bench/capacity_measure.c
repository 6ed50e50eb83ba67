#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "capacity.h"

enum {
	PATH_BYTES = 64,
	NAME_BYTES = 96,
	MAX_THREADS = 64,
};

int64_t metric_sum(const char *url, const char *prefix)
{
	char *full = g_strconcat(url, "/metrics", NULL);
	char *needle = g_strconcat("\ngreengage_", prefix, NULL);
	struct harness_reply reply = harness_http("GET", full, NULL, HARNESS_CALL_TIMEOUT_MS);
	int64_t total = 0;

	for (const char *at = reply.text; at && (at = strstr(at, needle)) != NULL;) {
		at += strlen(needle);
		total += g_ascii_strtoll(strchr(at, ' '), NULL, 10);
	}
	harness_reply_clear(&reply);
	g_free(needle);
	g_free(full);
	return total;
}

void add_route_bytes(struct harness *harness, const char *route, int64_t *to_target,
		     int64_t *to_client)
{
	char *line = g_strconcat(route, " stats", NULL);
	char *answer = harness_proxy_command(harness, line);
	long long target_bytes = 0;
	long long client_bytes = 0;

	if (sscanf(answer, "%lld %lld", &target_bytes, &client_bytes) != 2)
		g_error("%s: %s", line, answer);
	*to_target += target_bytes;
	*to_client += client_bytes;
	g_free(answer);
	g_free(line);
}

/* Reads the CPU time after the metrics, because the process uses CPU time to render them. The
 * difference of two samples thus includes the rendering for the second sample only. */
static struct usage_sample sample_process(const struct harness_process *process, const char *url)
{
	struct usage_sample sample = {
		.messages_sent = metric_sum(url, "messages_sent_"),
		.messages_received = metric_sum(url, "messages_received_"),
	};

	sample.sampled_us = g_get_monotonic_time();
	sample.cpu_us = process_cpu_us(process);
	return sample;
}

struct usage_sample sample_entry(struct harness *harness, unsigned index)
{
	const struct harness_entry *entry = &harness->entries[index];
	struct usage_sample sample = sample_process(entry->process, entry->url);
	char route[PATH_BYTES];

	for (unsigned i = 0; i < harness->options.agents; i++) {
		g_snprintf(route, sizeof(route), "agent%u-entry%u", i, index);
		add_route_bytes(harness, route, &sample.bytes_received, &sample.bytes_sent);
	}
	if (harness->log && harness->options.entries == 1)
		add_route_bytes(harness, "log", &sample.bytes_sent, &sample.bytes_received);
	return sample;
}

struct usage_sample sample_agent(struct harness *harness, unsigned index)
{
	const struct harness_agent *agent = &harness->agents[index];
	struct usage_sample sample = sample_process(agent->process, agent->url);
	char route[PATH_BYTES];

	for (unsigned i = 0; i < harness->options.entries; i++) {
		g_snprintf(route, sizeof(route), "agent%u-entry%u", index, i);
		add_route_bytes(harness, route, &sample.bytes_sent, &sample.bytes_received);
	}
	g_snprintf(route, sizeof(route), "announce%u", index);
	add_route_bytes(harness, route, &sample.bytes_received, &sample.bytes_sent);
	return sample;
}

int64_t log_appends(struct harness *harness, const char *stream)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d/control", harness->log_port);
	struct harness_reply reply = harness_http("GET", url, NULL, HARNESS_CALL_TIMEOUT_MS);
	json_t *item = json_object_get(json_object_get(reply.body, "streams"), stream);
	int64_t appends = json_integer_value(json_object_get(item, "appends"));

	harness_reply_clear(&reply);
	g_free(url);
	return appends;
}

void series_add(struct series *series, double size, double value)
{
	g_assert_cmpuint(series->count, <, CAPACITY_SIZE_COUNT);
	series->size[series->count] = size;
	series->value[series->count++] = value;
}

static double mean(const double *values, unsigned count)
{
	double sum = 0;

	for (unsigned i = 0; i < count; i++)
		sum += values[i];
	return sum / count;
}

double series_mean(const struct series *series)
{
	return mean(series->value, series->count);
}

double series_slope(const struct series *series)
{
	double size_mean = mean(series->size, series->count);
	double value_mean = series_mean(series);
	double products = 0;
	double squares = 0;

	for (unsigned i = 0; i < series->count; i++) {
		double distance = series->size[i] - size_mean;

		products += distance * (series->value[i] - value_mean);
		squares += distance * distance;
	}
	return products / squares;
}

double series_intercept(const struct series *series)
{
	return series_mean(series) - series_slope(series) * mean(series->size, series->count);
}

void report_value(json_t *summary, const char *name, double value)
{
	json_object_set_new(summary, name, json_real(value));
}

void series_report(json_t *summary, const char *name, const struct series *series)
{
	char full[NAME_BYTES];

	for (unsigned i = 0; i < series->count; i++) {
		g_snprintf(full, sizeof(full), "%s_at_%.0f", name, series->size[i]);
		report_value(summary, full, series->value[i]);
	}
}

struct load {
	const char *entry;
	const char *job;
	gint stop;
	gint next;
	unsigned count;
	GThread *threads[MAX_THREADS];
};

static void *run_load(void *context)
{
	struct load *load = context;
	char *session = harness_open_session(load->entry);
	struct client client;

	client_init(&client);
	for (unsigned number = 0; !g_atomic_int_get(&load->stop); number++)
		client_submit(&client, load->entry, session, "load", number, load->job,
			      BENCH_TIMEOUT_MS);
	client_clear(&client);
	g_free(session);
	return NULL;
}

struct load *load_start(const char *entry, const char *job, unsigned clients)
{
	struct load *load = g_new0(struct load, 1);

	g_assert_cmpuint(clients, <=, MAX_THREADS);
	load->entry = entry;
	load->job = job;
	load->count = clients;
	for (unsigned i = 0; i < clients; i++)
		load->threads[i] = g_thread_new("load", run_load, load);
	return load;
}

void load_stop(struct load *load)
{
	g_atomic_int_set(&load->stop, 1);
	for (unsigned i = 0; i < load->count; i++)
		g_thread_join(load->threads[i]);
	g_free(load);
}

struct parallel {
	capacity_worker_fn work;
	void *context;
	gint next;
	gint end;
};

static void *run_worker(void *context)
{
	struct parallel *parallel = context;
	struct client client;
	gint number;

	client_init(&client);
	while ((number = g_atomic_int_add(&parallel->next, 1)) < parallel->end)
		parallel->work(parallel->context, &client, (unsigned)number);
	client_clear(&client);
	return NULL;
}

void run_parallel(unsigned threads, unsigned first, unsigned count, capacity_worker_fn work,
		  void *context)
{
	struct parallel parallel = {.work = work,
				    .context = context,
				    .next = (gint)first,
				    .end = (gint)(first + count)};
	GThread *started[MAX_THREADS];

	g_assert_cmpuint(threads, <=, MAX_THREADS);
	for (unsigned i = 0; i < threads; i++)
		started[i] = g_thread_new("client", run_worker, &parallel);
	for (unsigned i = 0; i < threads; i++)
		g_thread_join(started[i]);
}
