#include <stdio.h>

#include "ctl.h"
#include "daemon_settings.h"

static void print_entries(const json_t *entries)
{
	struct ctl_table *table = ctl_table_new("ENTRY\tZONE\tSTATE\tHEARD MS AGO");
	size_t index;
	json_t *entry;

	json_array_foreach ((json_t *)entries, index, entry)
		ctl_table_add_row(table, "%s\t%s\t%s\t%lld", ctl_json_string(entry, "address"),
				  ctl_json_string(entry, "zone"), ctl_json_string(entry, "state"),
				  ctl_json_integer(entry, "heard_ms_ago"));
	ctl_table_print(table);
}

static void print_agents(const json_t *agents)
{
	struct ctl_table *table =
		ctl_table_new("SERVER\tZONE\tHOST\tSLOTS\tRUNNING\tCREDITS\tSPEED\tSTATE\tCONFIG");
	size_t index;
	json_t *agent;

	json_array_foreach ((json_t *)agents, index, agent)
		ctl_table_add_row(
			table, "%s\t%s\t%s\t%lld\t%lld\t%lld\t%.2f\t%s\t%lld",
			ctl_json_string(agent, "server"), ctl_json_string(agent, "zone"),
			ctl_json_string(agent, "host"), ctl_json_integer(agent, "slots"),
			ctl_json_integer(agent, "running"), ctl_json_integer(agent, "credits"),
			json_number_value(json_object_get(agent, "speed_factor")),
			ctl_json_string(agent, "state"), ctl_json_integer(agent, "config_version"));
	ctl_table_print(table);
}

enum ctl_exit cmd_members(const struct ctl_options *options, char **args)
{
	struct ctl_response response;
	bool fetched = ctl_fetch(options, "GET", "/v1/members", NULL, 0, &response);

	if (fetched && options->json) {
		ctl_print_json(options, response.body);
	} else if (fetched) {
		print_entries(json_object_get(response.body, "entries"));
		putchar('\n');
		print_agents(json_object_get(response.body, "agents"));
	}
	ctl_response_clear(&response);
	return fetched ? CTL_EXIT_OK : CTL_EXIT_FAILED;
}

enum ctl_exit cmd_evacuations(const struct ctl_options *options, char **args)
{
	struct ctl_response response;
	bool fetched = ctl_fetch(options, "GET", "/evacuations", NULL, 0, &response);

	if (fetched && options->json) {
		ctl_print_json(options, response.body);
	} else if (fetched) {
		struct ctl_table *table = ctl_table_new("EVACUATED ZONE");
		size_t index;
		json_t *zone;

		printf("version %lld\n", ctl_json_integer(response.body, "version"));
		json_array_foreach (json_object_get(response.body, "zones"), index, zone)
			ctl_table_add_row(table, "%s", json_string_value(zone));
		ctl_table_print(table);
	}
	ctl_response_clear(&response);
	return fetched ? CTL_EXIT_OK : CTL_EXIT_FAILED;
}

static double json_number_at(const json_t *object, const char *key)
{
	return json_number_value(json_object_get(object, key));
}

static void print_report_windows(const json_t *windows)
{
	struct ctl_table *table =
		ctl_table_new("WINDOW S\tJOBS\tSLOW\tFAILED\tTASKS\tWASTED\tMEAN RATIO\t"
			      "LATENCY BURN\tFAILURE BURN\tWASTE BURN");
	size_t index;
	json_t *window;

	json_array_foreach ((json_t *)windows, index, window)
		ctl_table_add_row(
			table, "%lld\t%lld\t%lld\t%lld\t%lld\t%lld\t%.2f\t%.2f\t%.2f\t%.2f",
			ctl_json_integer(window, "seconds"), ctl_json_integer(window, "jobs"),
			ctl_json_integer(window, "slow_jobs"),
			ctl_json_integer(window, "failed_jobs"), ctl_json_integer(window, "tasks"),
			ctl_json_integer(window, "wasted_messages"),
			json_number_at(window, "mean_ratio"),
			json_number_at(window, "latency_burn"),
			json_number_at(window, "failure_burn"),
			json_number_at(window, "waste_burn"));
	ctl_table_print(table);
}

enum ctl_exit cmd_report(const struct ctl_options *options, char **args)
{
	struct ctl_response response;
	bool fetched = ctl_fetch(options, "GET", "/v1/report", NULL, 0, &response);

	if (fetched && options->json)
		ctl_print_json(options, response.body);
	else if (fetched)
		print_report_windows(json_object_get(response.body, "windows"));
	ctl_response_clear(&response);
	return fetched ? CTL_EXIT_OK : CTL_EXIT_FAILED;
}

enum ctl_exit cmd_settings_check(const struct ctl_options *options, char **args)
{
	struct daemon_settings settings;
	struct error err;

	if (daemon_settings_load(args[0], &settings, &err) != STATUS_OK) {
		fprintf(stderr, "greengagectl: %s\n", err.message);
		return CTL_EXIT_USAGE;
	}
	printf("%s: settings are valid for the role %s\n", args[0], settings.role);
	daemon_settings_free(&settings);
	return CTL_EXIT_OK;
}
