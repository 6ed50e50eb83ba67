/*
 * Compares the dispatch policy of greengagefront with baseline policies on the same seeded jobs and
 * the same backend server stand-ins, one policy at a time. Prints a Markdown table and writes a
 * flat JSON object.
 */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy_defs.h"

enum {
	IDLE_TIMEOUT_MS = 60000,
	KEY_BYTES = 96,
	FAILING_SERVER = 3, /* index of a server with time factor 2 */
	WARM_UP_LOAD_PERCENT = 60,
	DEFAULT_SEED = 20261204,
};

static const double warm_up_seconds = 2;
/* Jobs that have not ended this long after the last arrival count as unfinished. */
static const double drain_seconds = 6;

static const char *const policy_names[POLICY_COUNT] = {"random", "round_robin", "two_choices",
						       "greengagefront"};

static const struct policy_case cases[] = {
	{.name = "steady_60", .load_percent = 60},
	{.name = "steady_80", .load_percent = 80},
	{.name = "steady_130", .load_percent = 130, .deadlines = true},
	{.name = "stragglers_80", .load_percent = 80, .stragglers = true},
	{.name = "steady_30", .load_percent = 30},
	{.name = "steady_95", .load_percent = 95},
	{.name = "bursts_60", .load_percent = 60, .bursts = true},
	{.name = "declared_off_80", .load_percent = 80, .wrong_estimates = true},
	{.name = "failing_server_60", .load_percent = 60, .failing_server = true},
	{.name = "cancelled_80", .load_percent = 80, .cancel_half = true},
};

static double arrival_seconds = 4;
static gint seed = DEFAULT_SEED;
static gint entry_count = 2;
static char *selected_cases;
static char *selected_policies;
static char *json_file;

/* Returns whether the comma-separated LIST contains NAME. NULL selects every name. */
static bool is_selected(const char *list, const char *name)
{
	char **names;
	bool found;

	if (!list)
		return true;
	names = g_strsplit(list, ",", -1);
	found = g_strv_contains((const char *const *)names, name);
	g_strfreev(names);
	return found;
}

/* Waits until no server runs a task, so that one policy's tasks do not slow the next policy. */
static void wait_for_idle_servers(struct harness *harness)
{
	for (unsigned i = 0; i < POLICY_SERVERS; i++) {
		char *url = g_strconcat(harness->agents[i].server_url, "/starts?total", NULL);
		struct harness_reply reply = {0};

		HARNESS_WAIT(IDLE_TIMEOUT_MS,
			     (harness_reply_clear(&reply),
			      reply = harness_http("GET", url, NULL, HARNESS_CALL_TIMEOUT_MS),
			      json_integer_value(json_object_get(reply.body, "running")) == 0));
		harness_reply_clear(&reply);
		g_free(url);
	}
}

static int64_t sum_metric(const struct harness *harness, const char *name)
{
	int64_t sum = 0;

	for (unsigned i = 0; i < harness->options.entries; i++)
		sum += harness_metric(harness->entries[i].url, name);
	return sum;
}

/* Runs jobs that are not measured, so that the entries learn the servers' speeds and the agents
 * open all slots. */
static void warm_up(struct harness *harness)
{
	const struct policy_case warm = {.name = "warm-up", .load_percent = WARM_UP_LOAD_PERCENT};
	struct policy_jobs jobs = policy_generate_jobs(&warm, warm_up_seconds, (uint32_t)seed + 1);
	struct policy_result *results = g_new0(struct policy_result, jobs.count);

	policy_run(harness, POLICY_GREENGAGEFRONT, &jobs, results, drain_seconds, (uint32_t)seed);
	wait_for_idle_servers(harness);
	g_free(results);
	policy_jobs_clear(&jobs);
}

/* In a case with a failing server, makes that server fail all tasks or none. */
static void set_case_fault(struct harness *harness, const struct policy_case *test_case,
			   bool failing)
{
	if (test_case->failing_server)
		harness_set_server_faults(harness, FAILING_SERVER,
					  failing ? "{\"fail_all\": true}"
						  : "{\"fail_all\": false}");
}

static void add_value(json_t *summary, const char *name, const char *policy, const char *field,
		      double value)
{
	char key[KEY_BYTES];

	g_snprintf(key, sizeof(key), "%s_%s_%s", name, policy, field);
	json_object_set_new(summary, key, json_real(value));
}

/* Adds the number of jobs of each failure type to SUMMARY and appends them to TEXT. */
static void add_failures(json_t *summary, const char *name, const char *policy,
			 const struct policy_jobs *jobs, const struct policy_result *results,
			 GString *text)
{
	json_t *types = json_object();
	const char *type;
	json_t *number;

	for (uint32_t i = 0; i < jobs->count; i++) {
		const struct policy_result *result = &results[i];
		char key[KEY_BYTES];

		if (result->done)
			continue;
		g_snprintf(key, sizeof(key), "%s%s", result->ended ? result->type : "unfinished",
			   result->not_run ? "_not_run" : "");
		json_object_set_new(
			types, key,
			json_integer(json_integer_value(json_object_get(types, key)) + 1));
	}
	json_object_foreach (types, type, number) {
		g_string_append_printf(text, "%s%s %d", text->len > 0 ? ", " : "", type,
				       (int)json_integer_value(number));
		add_value(summary, name, policy, type, (double)json_integer_value(number));
	}
	json_decref(types);
}

static void report_policy(json_t *summary, const char *name, const char *policy,
			  const struct policy_jobs *jobs, const struct policy_result *results,
			  const struct policy_summary *stats)
{
	GString *failures = g_string_new(NULL);

	add_value(summary, name, policy, "ratio_mean", stats->ratio_mean);
	add_value(summary, name, policy, "ratio_p50", stats->ratio_p50);
	add_value(summary, name, policy, "ratio_p90", stats->ratio_p90);
	add_value(summary, name, policy, "ratio_p99", stats->ratio_p99);
	add_value(summary, name, policy, "response_ms_mean", stats->response_ms_mean);
	add_value(summary, name, policy, "over_bound", stats->mean_to_bound_ratio);
	add_value(summary, name, policy, "done", stats->done);
	add_failures(summary, name, policy, jobs, results, failures);
	if (stats->wasted_messages_per_task >= 0)
		add_value(summary, name, policy, "wasted_per_task",
			  stats->wasted_messages_per_task);
	if (stats->refused > 0) {
		add_value(summary, name, policy, "refused_share",
			  (double)stats->refused / jobs->count);
		add_value(summary, name, policy, "refusal_ms_p50", stats->refusal_p50_ms);
		add_value(summary, name, policy, "refusal_ms_p99", stats->refusal_p99_ms);
		g_string_append_printf(failures, "; not_run %.1f %% in p50 %.1f p99 %.1f ms",
				       100.0 * stats->refused / jobs->count, stats->refusal_p50_ms,
				       stats->refusal_p99_ms);
	}
	printf("| %s | %s | %u | %.2f | %.2f | %.2f | %.2f | %.2f | %s |", name, policy,
	       stats->done, stats->ratio_mean, stats->ratio_p50, stats->ratio_p90, stats->ratio_p99,
	       stats->mean_to_bound_ratio, failures->len > 0 ? failures->str : "none");
	if (stats->wasted_messages_per_task >= 0)
		printf(" %.3f |\n", stats->wasted_messages_per_task);
	else
		printf(" - |\n");
	fflush(stdout);
	g_string_free(failures, TRUE);
}

/* Types of messages between entries and agents that carry neither starts nor results. */
static const char *const message_types[] = {"hello",	      "welcome",      "heartbeat",
					    "reclaim",	      "reconcile",    "reconciled",
					    "config_request", "config_state", "goodbye"};

/* Stores in COUNTS, for each type in turn, the number of messages that the entries have sent and
 * the number that they have received. */
static void count_messages(const struct harness *harness, int64_t *counts)
{
	for (size_t i = 0; i < G_N_ELEMENTS(message_types); i++) {
		char *sent = g_strdup_printf("messages_sent_%s_total", message_types[i]);
		char *received = g_strdup_printf("messages_received_%s_total", message_types[i]);

		counts[2 * i] = sum_metric(harness, sent);
		counts[2 * i + 1] = sum_metric(harness, received);
		g_free(sent);
		g_free(received);
	}
}

static void report_messages(json_t *summary, const char *name, const int64_t *before,
			    const int64_t *after, int64_t started_tasks)
{
	for (size_t i = 0; i < 2 * G_N_ELEMENTS(message_types); i++) {
		double per_task = (double)(after[i] - before[i]) / (double)MAX(started_tasks, 1);
		char field[KEY_BYTES];

		g_snprintf(field, sizeof(field), "%s_%s_per_task", message_types[i / 2],
			   i % 2 == 0 ? "sent" : "received");
		if (after[i] > before[i])
			add_value(summary, name, policy_names[POLICY_GREENGAGEFRONT], field,
				  per_task);
	}
}

static void run_policy(struct harness *harness, const struct policy_case *test_case,
		       enum policy policy, const struct policy_jobs *jobs, json_t *summary)
{
	struct policy_result *results = g_new0(struct policy_result, jobs->count);
	struct policy_summary stats;
	int64_t wasted_messages = 0;
	int64_t started_tasks = 0;
	int64_t before[2 * G_N_ELEMENTS(message_types)] = {0};
	int64_t after[2 * G_N_ELEMENTS(message_types)] = {0};

	if (policy == POLICY_GREENGAGEFRONT) {
		wasted_messages = sum_metric(harness, "messages_wasted_total");
		started_tasks = sum_metric(harness, "tasks_started_total");
		count_messages(harness, before);
	}
	policy_run(harness, policy, jobs, results, drain_seconds, (uint32_t)seed);
	stats = policy_summarise(jobs, results);
	if (policy == POLICY_GREENGAGEFRONT) {
		wasted_messages = sum_metric(harness, "messages_wasted_total") - wasted_messages;
		started_tasks = sum_metric(harness, "tasks_started_total") - started_tasks;
		count_messages(harness, after);
		report_messages(summary, test_case->name, before, after, started_tasks);
		stats.wasted_messages_per_task =
			(double)wasted_messages / (double)MAX(started_tasks, 1);
	}
	report_policy(summary, test_case->name, policy_names[policy], jobs, results, &stats);
	wait_for_idle_servers(harness);
	g_free(results);
}

static void run_offline(const struct policy_case *test_case, const struct policy_jobs *jobs,
			json_t *summary)
{
	struct policy_result *results = g_new0(struct policy_result, jobs->count);
	struct policy_summary stats;

	if (!test_case->cancel_half && !test_case->failing_server) {
		policy_run_offline(jobs, results);
		stats = policy_summarise(jobs, results);
		report_policy(summary, test_case->name, "offline", jobs, results, &stats);
	}
	g_free(results);
}

/* Runs one case under every selected policy and, unless jobs are cancelled or a server fails, under
 * the offline reference. Each case starts its own processes, so that it doesn't depend on earlier
 * cases. */
static void run_case(const struct policy_case *test_case, json_t *summary)
{
	struct harness_options options = {
		.entries = (unsigned)entry_count,
		.agents = POLICY_SERVERS,
		.slots = POLICY_SLOTS,
		.without_log = true,
		.entry_settings = "{\"http\": {\"threads\": 600, \"open_requests\": 500}}",
	};
	struct policy_jobs jobs = policy_generate_jobs(test_case, arrival_seconds, (uint32_t)seed);
	struct harness *harness;

	for (unsigned i = 0; i < POLICY_SERVERS; i++)
		options.time_factors[i] = policy_time_factor(i);
	run_offline(test_case, &jobs, summary);
	harness = harness_start(&options);
	add_value(summary, test_case->name, "all", "jobs", jobs.count);
	add_value(summary, test_case->name, "all", "tasks", jobs.tasks);
	set_case_fault(harness, test_case, true);
	for (enum policy policy = 0; policy < POLICY_GREENGAGEFRONT; policy++) {
		if (is_selected(selected_policies, policy_names[policy]))
			run_policy(harness, test_case, policy, &jobs, summary);
	}
	if (is_selected(selected_policies, policy_names[POLICY_GREENGAGEFRONT])) {
		/* The warm-up runs without the fault. */
		set_case_fault(harness, test_case, false);
		warm_up(harness);
		set_case_fault(harness, test_case, true);
		run_policy(harness, test_case, POLICY_GREENGAGEFRONT, &jobs, summary);
	}
	harness_free(harness);
	policy_jobs_clear(&jobs);
}

static bool parse_options(int argc, char **argv)
{
	const GOptionEntry entries[] = {
		{"cases", 0, 0, G_OPTION_ARG_STRING, &selected_cases, "Cases to run", "NAME,..."},
		{"policies", 0, 0, G_OPTION_ARG_STRING, &selected_policies, "Policies to run",
		 "NAME,..."},
		{"entries", 0, 0, G_OPTION_ARG_INT, &entry_count, "Number of entries", "N"},
		{"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &arrival_seconds, "Time of arrivals", "S"},
		{"seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of jobs and choices", "N"},
		{"json", 0, 0, G_OPTION_ARG_FILENAME, &json_file, "File for the numbers", "FILE"},
		{0},
	};
	GOptionContext *context = g_option_context_new("- policy experiment");
	GError *error = NULL;
	bool parsed;

	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, &error);
	if (!parsed)
		fprintf(stderr, "%s\n", error->message);
	g_clear_error(&error);
	g_option_context_free(context);
	return parsed && arrival_seconds > 0 && entry_count > 0 &&
	       entry_count <= HARNESS_MAX_ENTRIES;
}

int main(int argc, char **argv)
{
	json_t *summary = json_object();
	int status;

	if (!parse_options(argc, argv))
		return 2;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	printf("Seed %d, %d entries, %g s of arrivals a case and policy, times 1/%d of service, "
	       "capacity %.1f "
	       "tasks at time factor 1. Ratios are response over ideal.\n\n"
	       "| case | policy | done | mean | p50 | p90 | p99 | mean/bound | not done | "
	       "wasted/task |\n|---|---|---|---|---|---|---|---|---|---|\n",
	       seed, entry_count, arrival_seconds, POLICY_TIME_SCALE, policy_capacity());
	json_object_set_new(summary, "seed", json_integer(seed));
	json_object_set_new(summary, "entries", json_integer(entry_count));
	json_object_set_new(summary, "seconds", json_real(arrival_seconds));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (is_selected(selected_cases, cases[i].name))
			run_case(&cases[i], summary);
	}
	status = json_dump_file(summary, json_file ? json_file : GG_BUILD_DIR "/bench/policy.json",
				JSON_INDENT(1) | JSON_REAL_PRECISION(6));
	json_decref(summary);
	g_free(selected_cases);
	g_free(selected_policies);
	g_free(json_file);
	return status == 0 ? 0 : 1;
}
