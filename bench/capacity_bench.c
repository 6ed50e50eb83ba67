/*
 * Measures with real processes how the cost of a daemon grows with the number of agents,
 * entries, queued tasks, teams, open requests, clients and sessions, and prints one flat JSON
 * object. A run of all measurements also writes it to build/bench/capacity.json. Slopes are
 * least-squares fits; docs/design.md, section 1.9, has the budget of a daemon.
 */
#include <stdio.h>
#include <stdlib.h>

#include "capacity.h"

enum {
	SETTLE_MS = 2500,
	IDLE_MS = 8000,
	LOAD_WARM_UP_MS = 700,
	LOAD_MS = 2000,
	LOAD_CLIENTS = 4,
	LOAD_TASKS = 100,
	LOAD_SEED = 1,
};

/* Resource budget of one daemon. */
static const double budget_bytes_per_s = 6000;
static const double budget_cpu_percent = 2.6;
static const double budget_rss_bytes = 128e6;

/* Resource usage of an idle process at each size. */
struct idle_usage {
	struct series cpu_percent;
	struct series rss_kib;
	struct series bytes_sent;
	struct series bytes_received;
	struct series messages_sent;
	struct series messages_received;
};

static void idle_usage_add(struct idle_usage *idle, double size,
			   const struct harness_process *process, const struct usage_sample *from,
			   const struct usage_sample *to)
{
	double seconds = (double)(to->sampled_us - from->sampled_us) / G_USEC_PER_SEC;

	series_add(&idle->cpu_percent, size,
		   (double)(to->cpu_us - from->cpu_us) / G_USEC_PER_SEC / seconds * 100);
	series_add(&idle->rss_kib, size, (double)process_rss_bytes(process) / CAPACITY_KIB);
	series_add(&idle->bytes_sent, size, (double)(to->bytes_sent - from->bytes_sent) / seconds);
	series_add(&idle->bytes_received, size,
		   (double)(to->bytes_received - from->bytes_received) / seconds);
	series_add(&idle->messages_sent, size,
		   (double)(to->messages_sent - from->messages_sent) / seconds);
	series_add(&idle->messages_received, size,
		   (double)(to->messages_received - from->messages_received) / seconds);
}

static void report_linear_fit(json_t *summary, const char *role, const char *metric,
			      const char *size_name, const struct series *series)
{
	char *name = g_strdup_printf("%s_idle_%s", role, metric);
	char *slope = g_strdup_printf("%s_per_%s", name, size_name);
	char *base = g_strdup_printf("%s_base", name);

	series_report(summary, name, series);
	report_value(summary, slope, series_slope(series));
	report_value(summary, base, series_intercept(series));
	g_free(base);
	g_free(slope);
	g_free(name);
}

static void report_idle(json_t *summary, const char *role, const char *size_name,
			const struct idle_usage *idle)
{
	report_linear_fit(summary, role, "cpu_percent", size_name, &idle->cpu_percent);
	report_linear_fit(summary, role, "rss_kib", size_name, &idle->rss_kib);
	report_linear_fit(summary, role, "sent_bytes_per_s", size_name, &idle->bytes_sent);
	report_linear_fit(summary, role, "received_bytes_per_s", size_name, &idle->bytes_received);
	report_linear_fit(summary, role, "sent_messages_per_s", size_name, &idle->messages_sent);
	report_linear_fit(summary, role, "received_messages_per_s", size_name,
			  &idle->messages_received);
}

/* Reports the size at which the fitted line reaches LIMIT. */
static void report_size_at_limit(json_t *summary, const char *name, const struct series *series,
				 double limit)
{
	report_value(summary, name, (limit - series_intercept(series)) / series_slope(series));
}

static void report_budget_sizes(json_t *summary, const char *role, const char *size_name,
				const struct idle_usage *idle)
{
	struct series all_bytes = idle->bytes_sent;
	struct series rss = idle->rss_kib;
	char *prefix = g_strdup_printf("%s_%s_at", role, size_name);
	char *name;

	for (unsigned i = 0; i < all_bytes.count; i++) {
		all_bytes.value[i] += idle->bytes_received.value[i];
		rss.value[i] *= CAPACITY_KIB;
	}
	name = g_strconcat(prefix, "_sent_bytes_budget", NULL);
	report_size_at_limit(summary, name, &idle->bytes_sent, budget_bytes_per_s);
	g_free(name);
	name = g_strconcat(prefix, "_sent_and_received_bytes_budget", NULL);
	report_size_at_limit(summary, name, &all_bytes, budget_bytes_per_s);
	g_free(name);
	name = g_strconcat(prefix, "_cpu_budget", NULL);
	report_size_at_limit(summary, name, &idle->cpu_percent, budget_cpu_percent);
	g_free(name);
	name = g_strconcat(prefix, "_rss_budget", NULL);
	report_size_at_limit(summary, name, &rss, budget_rss_bytes);
	g_free(name);
	g_free(prefix);
}

/* CPU time per start, and starts per second, under steady load. */
struct start_cost {
	struct series entry_us;
	struct series agent_us; /* mean over the agents */
	struct series per_s;
};

static int64_t agents_cpu_us(const struct harness *harness)
{
	int64_t total = 0;

	for (unsigned i = 0; i < harness->options.agents; i++)
		total += process_cpu_us(harness->agents[i].process);
	return total;
}

static void measure_starts(struct harness *harness, struct start_cost *start_cost)
{
	const struct harness_entry *entry = &harness->entries[0];
	char *job = harness_job(LOAD_TASKS, 0, 0, LOAD_SEED);
	struct load *load = load_start(entry->url, job, LOAD_CLIENTS);
	double size = harness->options.agents;
	int64_t interval_us; /* start time of the interval, later its length */
	int64_t entry_us;
	int64_t agents_us;
	double count;

	g_usleep(LOAD_WARM_UP_MS * CAPACITY_US_PER_MS);
	count = (double)harness_metric(entry->url, "tasks_started_total");
	interval_us = g_get_monotonic_time();
	entry_us = process_cpu_us(entry->process);
	agents_us = agents_cpu_us(harness);
	g_usleep(LOAD_MS * CAPACITY_US_PER_MS);
	entry_us = process_cpu_us(entry->process) - entry_us;
	agents_us = agents_cpu_us(harness) - agents_us;
	interval_us = g_get_monotonic_time() - interval_us;
	count = (double)harness_metric(entry->url, "tasks_started_total") - count;
	load_stop(load);
	series_add(&start_cost->entry_us, size, (double)entry_us / count);
	series_add(&start_cost->agent_us, size, (double)agents_us / count);
	series_add(&start_cost->per_s, size, count * G_USEC_PER_SEC / (double)interval_us);
	free(job);
}

void measure_entry_by_agents(json_t *summary)
{
	static const unsigned sizes[CAPACITY_SIZE_COUNT] = {5, 10, 20, 40};
	struct idle_usage idle = {0};
	struct start_cost start_cost = {0};

	for (unsigned i = 0; i < CAPACITY_SIZE_COUNT; i++) {
		struct harness *harness = harness_start(&(struct harness_options){
			.entries = 1, .agents = sizes[i], .with_proxy = true});
		struct usage_sample from;
		struct usage_sample to;

		g_usleep(SETTLE_MS * CAPACITY_US_PER_MS);
		from = sample_entry(harness, 0);
		g_usleep(IDLE_MS * CAPACITY_US_PER_MS);
		to = sample_entry(harness, 0);
		idle_usage_add(&idle, sizes[i], harness->entries[0].process, &from, &to);
		measure_starts(harness, &start_cost);
		harness_free(harness);
	}
	report_idle(summary, "entry", "agent", &idle);
	report_budget_sizes(summary, "entry", "agents", &idle);
	series_report(summary, "entry_us_per_start", &start_cost.entry_us);
	report_value(summary, "entry_us_per_start", series_mean(&start_cost.entry_us));
	report_value(summary, "entry_us_per_start_per_agent", series_slope(&start_cost.entry_us));
	series_report(summary, "agent_us_per_start", &start_cost.agent_us);
	report_value(summary, "agent_us_per_start", series_mean(&start_cost.agent_us));
	report_value(summary, "agent_us_per_start_per_agent", series_slope(&start_cost.agent_us));
	series_report(summary, "load_starts_per_s", &start_cost.per_s);
}

/* Settings without channels between entries. Behind the proxy, two entries know each other by two
 * addresses: the proxy's and the announced one. As peers, they would keep replacing one of the two
 * connections and send the agent a Welcome each time. */
static const char settings_without_peers[] = "{\"channel\": {\"peers\": []}}";

void measure_agent_by_entries(json_t *summary)
{
	static const unsigned sizes[CAPACITY_SIZE_COUNT] = {1, 2, 4, 8};
	struct idle_usage idle = {0};

	for (unsigned i = 0; i < CAPACITY_SIZE_COUNT; i++) {
		struct harness *harness = harness_start(
			&(struct harness_options){.entries = sizes[i],
						  .agents = 1,
						  .with_proxy = true,
						  .entry_settings = settings_without_peers});
		struct usage_sample from;
		struct usage_sample to;

		g_usleep(SETTLE_MS * CAPACITY_US_PER_MS);
		from = sample_agent(harness, 0);
		g_usleep(IDLE_MS * CAPACITY_US_PER_MS);
		to = sample_agent(harness, 0);
		idle_usage_add(&idle, sizes[i], harness->agents[0].process, &from, &to);
		harness_free(harness);
	}
	report_idle(summary, "agent", "entry", &idle);
	report_budget_sizes(summary, "agent", "entries", &idle);
}

typedef void (*measurement_fn)(json_t *summary);

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		measurement_fn run;
	} measurements[] = {
		{"agents", measure_entry_by_agents},
		{"entries", measure_agent_by_entries},
		{"queue", measure_queue},
		{"teams", measure_teams},
		{"patches", measure_patches},
		{"open_requests", measure_open_requests},
		{"claims", measure_claims},
		{"sessions", measure_sessions},
	};
	json_t *summary = json_object();
	char *text;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	for (unsigned i = 0; i < G_N_ELEMENTS(measurements); i++) {
		int64_t begin_us = g_get_monotonic_time();

		/* Arguments select measurements by name; without arguments, all run. */
		if (argc > 1 &&
		    !g_strv_contains((const char *const *)argv + 1, measurements[i].name))
			continue;
		measurements[i].run(summary);
		g_printerr("%s: %.1f s\n", measurements[i].name,
			   (double)(g_get_monotonic_time() - begin_us) / G_USEC_PER_SEC);
	}
	text = json_dumps(summary, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
	puts(text);
	if (argc == 1 && !g_file_set_contents(GG_BUILD_DIR "/bench/capacity.json", text, -1, NULL))
		g_error("cannot write %s", GG_BUILD_DIR "/bench/capacity.json");
	free(text);
	json_decref(summary);
	return 0;
}
