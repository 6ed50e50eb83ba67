#include <stdlib.h>
#include <string.h>

#include "capacity.h"

enum {
	TEAM_AGENTS = 4,
	TEAM_PATCHES = 20,
	PATCH_PAUSE_MS = 30, /* after each patch, so that agents do not skip versions */
	IDLE_MS = 2000,
	SEQUENTIAL_PATCHES = 100,
	MAX_SAMPLES = CAPACITY_SIZE_COUNT * TEAM_PATCHES,
	NAME_BYTES = 32,
	POLL_US = 300,
};

static int compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static double quantile_ms(int64_t *values, unsigned count, double q)
{
	qsort(values, count, sizeof(*values), compare_int64);
	return (double)values[(unsigned)(q * (count - 1))] / CAPACITY_US_PER_MS;
}

/* Applies PATCH to version BASE of the configuration and returns the latency in microseconds.
 * Takes ownership of PATCH. */
static int64_t send_patch(struct client *client, const struct harness_entry *entry, int64_t base,
			  json_t *patch)
{
	char *url = g_strconcat(entry->url, "/v1/config", NULL);
	json_t *body = json_pack("{s:I, s:o}", "base", (json_int_t)base, "patch", patch);
	char *text = json_dumps(body, JSON_COMPACT);
	int64_t latency_us = client_request(client, "PATCH", url, text, 200);

	free(text);
	json_decref(body);
	g_free(url);
	return latency_us;
}

static json_t *build_all_teams_patch(unsigned count)
{
	json_t *teams = json_object();
	char name[NAME_BYTES];

	for (unsigned i = 0; i < count; i++) {
		g_snprintf(name, sizeof(name), "team-%04u", i);
		json_object_set_new(teams, name,
				    json_pack("{s:i, s:i, s:i}", "weight", 1 + (int)i % 7,
					      "max_running", 100 + (int)i, "max_queued",
					      100000 + (int)i));
	}
	return json_pack("{s:o}", "teams", teams);
}

/* Builds a patch that changes one setting of one team. */
static json_t *build_one_team_patch(unsigned number)
{
	return json_pack("{s:{s:{s:i}}}", "teams", "team-0001", "max_running", 1000 + (int)number);
}

static double document_bytes(const struct harness_entry *entry)
{
	char *url = g_strconcat(entry->url, "/v1/config", NULL);
	struct harness_reply reply = harness_http("GET", url, NULL, HARNESS_CALL_TIMEOUT_MS);
	char *text = json_dumps(json_object_get(reply.body, "document"), JSON_COMPACT);
	double bytes = (double)strlen(text);

	free(text);
	harness_reply_clear(&reply);
	g_free(url);
	return bytes;
}

/* Waits until every agent has applied VERSION. */
static void wait_for_version(struct harness *harness, int64_t version)
{
	int64_t end_us = g_get_monotonic_time() + BENCH_TIMEOUT_MS * CAPACITY_US_PER_MS;

	for (unsigned i = 0; i < harness->options.agents; i++) {
		while (harness_metric(harness->agents[i].url, "config_version") < version) {
			if (g_get_monotonic_time() > end_us)
				g_error("agent %u has not applied configuration version %d in time",
					i, (int)version);
			g_usleep(POLL_US);
		}
	}
}

struct team_results {
	struct series bytes;
	struct series entry_us;
	struct series agent_us;
	struct series agent_bytes;
	struct series propagation_ms;
	int64_t samples[MAX_SAMPLES];
	unsigned sample_count;
};

static double cost_per_patch(int64_t used_total, int64_t idle, double time_ratio)
{
	return ((double)used_total - (double)idle * time_ratio) / TEAM_PATCHES;
}

/* Measures the mean CPU time and bytes per patch over TEAM_PATCHES patches, less the idle usage. */
static void measure_patch_cost(struct harness *harness, struct client *client, int64_t *version,
			       double size, struct team_results *teams)
{
	/* Samples before the idle time, after it, and after the patches. */
	struct usage_sample entry[3];
	struct usage_sample agent[3];
	double time_ratio;

	entry[0] = sample_entry(harness, 0);
	agent[0] = sample_agent(harness, 0);
	g_usleep(IDLE_MS * CAPACITY_US_PER_MS);
	entry[1] = sample_entry(harness, 0);
	agent[1] = sample_agent(harness, 0);
	for (unsigned i = 0; i < TEAM_PATCHES; i++) {
		send_patch(client, &harness->entries[0], (*version)++, build_one_team_patch(i));
		g_usleep(PATCH_PAUSE_MS * CAPACITY_US_PER_MS);
	}
	wait_for_version(harness, *version);
	entry[2] = sample_entry(harness, 0);
	agent[2] = sample_agent(harness, 0);
	time_ratio = (double)(entry[2].sampled_us - entry[1].sampled_us) /
		     (double)(entry[1].sampled_us - entry[0].sampled_us);
	series_add(&teams->entry_us, size,
		   cost_per_patch(entry[2].cpu_us - entry[1].cpu_us,
				  entry[1].cpu_us - entry[0].cpu_us, time_ratio));
	series_add(&teams->agent_us, size,
		   cost_per_patch(agent[2].cpu_us - agent[1].cpu_us,
				  agent[1].cpu_us - agent[0].cpu_us, time_ratio));
	series_add(&teams->agent_bytes, size,
		   cost_per_patch(agent[2].bytes_received - agent[1].bytes_received,
				  agent[1].bytes_received - agent[0].bytes_received, time_ratio));
}

static void measure_propagation(struct harness *harness, struct client *client, int64_t *version,
				double size, struct team_results *teams)
{
	int64_t *samples = &teams->samples[teams->sample_count];

	for (unsigned i = 0; i < TEAM_PATCHES; i++) {
		int64_t begin_us;

		send_patch(client, &harness->entries[0], (*version)++,
			   build_one_team_patch(TEAM_PATCHES + i));
		begin_us = g_get_monotonic_time();
		wait_for_version(harness, *version);
		samples[i] = g_get_monotonic_time() - begin_us;
	}
	teams->sample_count += TEAM_PATCHES;
	series_add(&teams->propagation_ms, size, quantile_ms(samples, TEAM_PATCHES, 0.5));
}

static void report_teams(json_t *summary, struct team_results *teams)
{
	series_report(summary, "config_bytes_with_teams", &teams->bytes);
	report_value(summary, "config_bytes_per_team", series_slope(&teams->bytes));
	series_report(summary, "config_entry_us_per_patch_with_teams", &teams->entry_us);
	report_value(summary, "config_entry_us_per_patch_per_team", series_slope(&teams->entry_us));
	report_value(summary, "config_entry_us_per_patch_base", series_intercept(&teams->entry_us));
	series_report(summary, "config_agent_us_per_patch_with_teams", &teams->agent_us);
	report_value(summary, "config_agent_us_per_patch_per_team", series_slope(&teams->agent_us));
	report_value(summary, "config_agent_us_per_patch_base", series_intercept(&teams->agent_us));
	series_report(summary, "config_agent_bytes_per_patch_with_teams", &teams->agent_bytes);
	report_value(summary, "config_agent_bytes_per_patch_per_team",
		     series_slope(&teams->agent_bytes));
	report_value(summary, "config_agent_bytes_per_patch_base",
		     series_intercept(&teams->agent_bytes));
	series_report(summary, "config_propagation_ms_p50_with_teams", &teams->propagation_ms);
	report_value(summary, "config_propagation_ms_p50",
		     quantile_ms(teams->samples, teams->sample_count, 0.5));
	report_value(summary, "config_propagation_ms_p99",
		     quantile_ms(teams->samples, teams->sample_count, 0.99));
}

void measure_teams(json_t *summary)
{
	static const unsigned sizes[CAPACITY_SIZE_COUNT] = {10, 100, 300, 630};
	struct team_results teams = {0};

	for (unsigned i = 0; i < CAPACITY_SIZE_COUNT; i++) {
		struct harness *harness = harness_start(&(struct harness_options){
			.entries = 1, .agents = TEAM_AGENTS, .with_proxy = true});
		struct client client;
		int64_t version = harness_metric(harness->entries[0].url, "config_version");

		client_init(&client);
		send_patch(&client, &harness->entries[0], version++,
			   build_all_teams_patch(sizes[i]));
		wait_for_version(harness, version);
		series_add(&teams.bytes, sizes[i], document_bytes(&harness->entries[0]));
		measure_patch_cost(harness, &client, &version, sizes[i], &teams);
		measure_propagation(harness, &client, &version, sizes[i], &teams);
		client_clear(&client);
		harness_free(harness);
	}
	report_teams(summary, &teams);
}

/* Measures rate, latency and log appends of patches sent one after the other, at the same numbers
 * of teams as measure_teams(). */
void measure_patches(json_t *summary)
{
	static const unsigned sizes[CAPACITY_SIZE_COUNT] = {10, 100, 300, 630};
	struct series per_s = {0};
	struct series latency = {0};
	struct series appends = {0};

	for (unsigned i = 0; i < CAPACITY_SIZE_COUNT; i++) {
		struct harness *harness =
			harness_start(&(struct harness_options){.entries = 1, .agents = 1});
		const struct harness_entry *entry = &harness->entries[0];
		int64_t version = harness_metric(entry->url, "config_version");
		int64_t samples[SEQUENTIAL_PATCHES];
		struct client client;
		int64_t begin_us;
		int64_t appends_before;

		client_init(&client);
		send_patch(&client, entry, version++, build_all_teams_patch(sizes[i]));
		appends_before = log_appends(harness, "config");
		begin_us = g_get_monotonic_time();
		for (unsigned k = 0; k < SEQUENTIAL_PATCHES; k++)
			samples[k] = send_patch(&client, entry, version++, build_one_team_patch(k));
		series_add(&per_s, sizes[i],
			   (double)SEQUENTIAL_PATCHES * G_USEC_PER_SEC /
				   (double)(g_get_monotonic_time() - begin_us));
		series_add(&latency, sizes[i], quantile_ms(samples, SEQUENTIAL_PATCHES, 0.5));
		series_add(&appends, sizes[i],
			   (double)(log_appends(harness, "config") - appends_before) /
				   SEQUENTIAL_PATCHES);
		client_clear(&client);
		harness_free(harness);
	}
	series_report(summary, "patches_per_s_with_teams", &per_s);
	series_report(summary, "patch_latency_ms_p50_with_teams", &latency);
	report_value(summary, "patch_latency_ms_p50_per_team", series_slope(&latency));
	report_value(summary, "patch_log_appends", series_mean(&appends));
}
