#include <stdio.h>
#include <string.h>

#include "ctl.h"

enum {
	/* Added to the timeout of a patch, because the entry responds only after it has read the
	 * patch back from the log. */
	PATCH_WAIT_MS = 60000,
	/* An attempt fails with a version conflict if another operator's patch comes first. */
	MAX_DRAIN_ATTEMPTS = 5
};

enum ctl_exit cmd_config_get(const struct ctl_options *options, char **args)
{
	struct ctl_response response;
	bool fetched = ctl_fetch(options, "GET", "/v1/config", NULL, 0, &response);

	if (fetched && options->json) {
		ctl_print_json(options, response.body);
	} else if (fetched) {
		printf("version %lld\n", ctl_json_integer(response.body, "version"));
		ctl_print_json(options, json_object_get(response.body, "document"));
	}
	ctl_response_clear(&response);
	return fetched ? CTL_EXIT_OK : CTL_EXIT_FAILED;
}

static char *format_time(const json_t *change)
{
	GDateTime *time = g_date_time_new_from_unix_utc(ctl_json_integer(change, "time_ms") / 1000);
	char *text = time ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ") : g_strdup("-");

	if (time)
		g_date_time_unref(time);
	return text;
}

enum ctl_exit cmd_config_history(const struct ctl_options *options, char **args)
{
	struct ctl_table *table;
	struct ctl_response response;
	size_t index;
	json_t *change;

	if (!ctl_fetch(options, "GET", "/v1/config/history", NULL, 0, &response)) {
		ctl_response_clear(&response);
		return CTL_EXIT_FAILED;
	}
	if (options->json) {
		ctl_print_json(options, response.body);
		ctl_response_clear(&response);
		return CTL_EXIT_OK;
	}
	table = ctl_table_new("VERSION\tBASE\tSTATUS\tTIME\tAUTHOR\tID");
	json_array_foreach (json_object_get(response.body, "history"), index, change) {
		char *time = format_time(change);

		ctl_table_add_row(
			table, "%lld\t%lld\t%s\t%s\t%s\t%s", ctl_json_integer(change, "version"),
			ctl_json_integer(change, "base"),
			json_is_true(json_object_get(change, "accepted"))
				? "accepted"
				: ctl_json_string(change, "status"),
			time, ctl_json_string(change, "author"), ctl_json_string(change, "id"));
		g_free(time);
	}
	ctl_table_print(table);
	ctl_response_clear(&response);
	return CTL_EXIT_OK;
}

static json_t *build_patch_request(const struct ctl_options *options, int64_t base, json_t *patch)
{
	const char *author = options->author ? options->author : g_get_user_name();

	return json_pack("{sIsOss}", "base", (json_int_t)base, "patch", patch, "author", author);
}

static void print_patch_result(const struct ctl_options *options, const json_t *body)
{
	if (options->json)
		ctl_print_json(options, body);
	else
		printf("version %lld, record %s\n", ctl_json_integer(body, "version"),
		       ctl_json_string(body, "id"));
}

/* Fetches the configuration. Returns false after printing an error if the request failed or the
 * response has no version. */
static bool fetch_config(const struct ctl_options *options, struct ctl_response *response)
{
	if (!ctl_fetch(options, "GET", "/v1/config", NULL, 0, response))
		return false;
	if (json_is_integer(json_object_get(response->body, "version")))
		return true;
	fprintf(stderr, "greengagectl: the entry's response has no version\n");
	return false;
}

enum ctl_exit cmd_config_patch(const struct ctl_options *options, char **args)
{
	json_t *patch = ctl_read_json(args[0] ? args[0] : "-");
	struct ctl_response response = {0};
	int64_t base = options->base;
	bool accepted = false;
	json_t *body;

	if (!patch)
		return CTL_EXIT_USAGE;
	if (base >= 0 || fetch_config(options, &response)) {
		if (base < 0)
			base = ctl_json_integer(response.body, "version");
		ctl_response_clear(&response);
		body = build_patch_request(options, base, patch);
		accepted =
			ctl_fetch(options, "PATCH", "/v1/config", body, PATCH_WAIT_MS, &response);
		if (accepted)
			print_patch_result(options, response.body);
		json_decref(body);
	}
	ctl_response_clear(&response);
	json_decref(patch);
	return accepted ? CTL_EXIT_OK : CTL_EXIT_FAILED;
}

static bool contains_name(char **names, const char *name)
{
	return names && g_strv_contains((const char *const *)names, name);
}

/* Sets KEY in DRAIN_PATCH to the list at KEY in DRAIN, with NAMES added if ADD is true and removed
 * otherwise. Does nothing if the list would not change. */
static void patch_drain_list(json_t *drain_patch, const json_t *drain, const char *key,
			     char **names, bool add)
{
	const json_t *before = json_object_get(drain, key);
	json_t *after = json_array();
	GHashTable *names_in_list = g_hash_table_new(g_str_hash, g_str_equal);
	size_t index;
	json_t *item;

	json_array_foreach ((json_t *)before, index, item) {
		if (!add && contains_name(names, json_string_value(item)))
			continue;
		json_array_append(after, item);
		g_hash_table_add(names_in_list, (gpointer)json_string_value(item));
	}
	for (char **name = names; add && name && *name; name++) {
		if (g_hash_table_add(names_in_list, *name))
			json_array_append_new(after, json_string(*name));
	}
	g_hash_table_destroy(names_in_list);
	if (json_array_size(after) != json_array_size(before))
		json_object_set(drain_patch, key, after);
	json_decref(after);
}

/* Returns the patch that adds the servers, hosts and zones in OPTIONS to the drain lists in
 * DOCUMENT, or removes them if ADD is false. Returns NULL if the lists would not change. */
static json_t *build_drain_patch(const struct ctl_options *options, const json_t *document,
				 bool add)
{
	const json_t *drain = json_object_get(document, "drain");
	json_t *lists = json_object();

	patch_drain_list(lists, drain, "servers", options->servers, add);
	patch_drain_list(lists, drain, "hosts", options->hosts, add);
	patch_drain_list(lists, drain, "zones", options->zones, add);
	if (json_object_size(lists) > 0)
		return json_pack("{so}", "drain", lists);
	json_decref(lists);
	return NULL;
}

static bool is_version_conflict(const struct ctl_response *response)
{
	const json_t *error = json_object_get(response->body, "error");

	return strcmp(ctl_json_string(error, "type"), status_name(STATUS_VERSION_CONFLICT)) == 0;
}

/* Makes one attempt to change the drain lists, based on the current configuration version. Sends no
 * patch if the lists would not change. Sets *CONFLICT to whether the patch was refused because the
 * version had changed in the meantime. */
static enum ctl_exit try_change_drain(const struct ctl_options *options, bool add, bool *conflict)
{
	struct ctl_response response;
	struct error err;
	int64_t version;
	json_t *patch;
	json_t *body;
	enum status status;

	*conflict = false;
	if (!fetch_config(options, &response)) {
		ctl_response_clear(&response);
		return CTL_EXIT_FAILED;
	}
	version = ctl_json_integer(response.body, "version");
	patch = build_drain_patch(options, json_object_get(response.body, "document"), add);
	ctl_response_clear(&response);
	if (!patch) {
		fprintf(stderr, "nothing to change at version %lld\n", (long long)version);
		return CTL_EXIT_OK;
	}
	body = build_patch_request(options, version, patch);
	json_decref(patch);
	status = ctl_request(options, "PATCH", "/v1/config", body, PATCH_WAIT_MS, &response, &err);
	json_decref(body);
	if (status != STATUS_OK) {
		ctl_print_error(&err);
		return CTL_EXIT_FAILED;
	}
	*conflict = is_version_conflict(&response);
	if (response.http_code / 100 == 2)
		print_patch_result(options, response.body);
	else
		ctl_print_response_error(&response);
	status = response.http_code / 100 == 2 ? STATUS_OK : STATUS_INVALID_REQUEST;
	ctl_response_clear(&response);
	return status == STATUS_OK ? CTL_EXIT_OK : CTL_EXIT_FAILED;
}

static enum ctl_exit change_drain(const struct ctl_options *options, bool add)
{
	enum ctl_exit code = CTL_EXIT_FAILED;
	bool conflict = true;

	if (!options->servers && !options->hosts && !options->zones) {
		fprintf(stderr,
			"greengagectl: at least one of --server, --host, --zone is required\n");
		return CTL_EXIT_USAGE;
	}
	for (int i = 0; i < MAX_DRAIN_ATTEMPTS && conflict; i++)
		code = try_change_drain(options, add, &conflict);
	return code;
}

enum ctl_exit cmd_drain(const struct ctl_options *options, char **args)
{
	return change_drain(options, true);
}

enum ctl_exit cmd_undrain(const struct ctl_options *options, char **args)
{
	return change_drain(options, false);
}
