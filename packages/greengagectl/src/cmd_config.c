#include <stdio.h>
#include <string.h>

#include "ctl.h"

enum {
	PATCH_WAIT_MS = 60000, /* an entry answers a patch when it has read it back from the log */
	DRAIN_ATTEMPTS = 5     /* against other operators' patches */
};

enum ctl_exit cmd_config_get(const struct ctl *ctl, char **args)
{
	struct ctl_answer answer;
	bool fetched = ctl_fetch(ctl, "GET", "/v1/config", NULL, 0, &answer);

	if (fetched && ctl->json) {
		ctl_print_json(ctl, answer.body);
	} else if (fetched) {
		printf("version %lld\n", ctl_integer(answer.body, "version"));
		ctl_print_json(ctl, json_object_get(answer.body, "document"));
	}
	ctl_answer_clear(&answer);
	return fetched ? CTL_EXIT_OK : CTL_EXIT_FAILED;
}

static char *format_time(const json_t *change)
{
	GDateTime *time = g_date_time_new_from_unix_utc(ctl_integer(change, "time_ms") / 1000);
	char *text = time ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ") : g_strdup("-");

	if (time)
		g_date_time_unref(time);
	return text;
}

enum ctl_exit cmd_config_history(const struct ctl *ctl, char **args)
{
	struct ctl_table *table;
	struct ctl_answer answer;
	size_t index;
	json_t *change;

	if (!ctl_fetch(ctl, "GET", "/v1/config/history", NULL, 0, &answer)) {
		ctl_answer_clear(&answer);
		return CTL_EXIT_FAILED;
	}
	if (ctl->json) {
		ctl_print_json(ctl, answer.body);
		ctl_answer_clear(&answer);
		return CTL_EXIT_OK;
	}
	table = ctl_table_new("VERSION\tBASE\tSTATUS\tTIME\tAUTHOR\tID");
	json_array_foreach (json_object_get(answer.body, "history"), index, change) {
		char *time = format_time(change);

		ctl_table_add(table, "%lld\t%lld\t%s\t%s\t%s\t%s", ctl_integer(change, "version"),
			      ctl_integer(change, "base"),
			      json_is_true(json_object_get(change, "accepted"))
				      ? "accepted"
				      : ctl_text(change, "status"),
			      time, ctl_text(change, "author"), ctl_text(change, "id"));
		g_free(time);
	}
	ctl_table_print(table);
	ctl_answer_clear(&answer);
	return CTL_EXIT_OK;
}

static json_t *patch_body(const struct ctl *ctl, int64_t base, json_t *patch)
{
	const char *author = ctl->author ? ctl->author : g_get_user_name();

	return json_pack("{sIsOss}", "base", (json_int_t)base, "patch", patch, "author", author);
}

static void print_patched(const struct ctl *ctl, const json_t *body)
{
	if (ctl->json)
		ctl_print_json(ctl, body);
	else
		printf("version %lld, record %s\n", ctl_integer(body, "version"),
		       ctl_text(body, "id"));
}

/* Fetches the configuration. Returns false after a report when there is none. */
static bool fetch_config(const struct ctl *ctl, struct ctl_answer *answer)
{
	if (!ctl_fetch(ctl, "GET", "/v1/config", NULL, 0, answer))
		return false;
	if (json_is_integer(json_object_get(answer->body, "version")))
		return true;
	fprintf(stderr, "greengagectl: the entry's answer has no version\n");
	return false;
}

enum ctl_exit cmd_config_patch(const struct ctl *ctl, char **args)
{
	json_t *patch = ctl_read_json(args[0] ? args[0] : "-");
	struct ctl_answer answer = {0};
	int64_t base = ctl->base;
	bool accepted = false;
	json_t *body;

	if (!patch)
		return CTL_EXIT_USAGE;
	if (base >= 0 || fetch_config(ctl, &answer)) {
		if (base < 0)
			base = ctl_integer(answer.body, "version");
		ctl_answer_clear(&answer);
		body = patch_body(ctl, base, patch);
		accepted = ctl_fetch(ctl, "PATCH", "/v1/config", body, PATCH_WAIT_MS, &answer);
		if (accepted)
			print_patched(ctl, answer.body);
		json_decref(body);
	}
	ctl_answer_clear(&answer);
	json_decref(patch);
	return accepted ? CTL_EXIT_OK : CTL_EXIT_FAILED;
}

static bool names_hold(char **names, const char *name)
{
	return names && g_strv_contains((const char *const *)names, name);
}

/* Sets PATCH's KEY to the list with NAMES added or removed, unless that changes nothing. */
static void change_list(json_t *patch, const json_t *drain, const char *key, char **names, bool add)
{
	const json_t *before = json_object_get(drain, key);
	json_t *after = json_array();
	GHashTable *kept = g_hash_table_new(g_str_hash, g_str_equal);
	size_t index;
	json_t *item;

	json_array_foreach ((json_t *)before, index, item) {
		if (!add && names_hold(names, json_string_value(item)))
			continue;
		json_array_append(after, item);
		g_hash_table_add(kept, (gpointer)json_string_value(item));
	}
	for (char **name = names; add && name && *name; name++) {
		if (g_hash_table_add(kept, *name))
			json_array_append_new(after, json_string(*name));
	}
	g_hash_table_destroy(kept);
	if (json_array_size(after) != json_array_size(before))
		json_object_set(patch, key, after);
	json_decref(after);
}

static json_t *drain_patch(const struct ctl *ctl, const json_t *document, bool add)
{
	const json_t *drain = json_object_get(document, "drain");
	json_t *lists = json_object();

	change_list(lists, drain, "servers", ctl->servers, add);
	change_list(lists, drain, "hosts", ctl->hosts, add);
	change_list(lists, drain, "zones", ctl->zones, add);
	if (json_object_size(lists) > 0)
		return json_pack("{so}", "drain", lists);
	json_decref(lists);
	return NULL;
}

static bool is_conflict(const struct ctl_answer *answer)
{
	const json_t *error = json_object_get(answer->body, "error");

	return strcmp(ctl_text(error, "type"), status_name(STATUS_VERSION_CONFLICT)) == 0;
}

/* Tries once, against the current version. *CONFLICT tells whether another patch came first. */
static enum ctl_exit try_drain(const struct ctl *ctl, bool add, bool *conflict)
{
	struct ctl_answer answer;
	struct error err;
	int64_t version;
	json_t *patch;
	json_t *body;
	enum status status;

	*conflict = false;
	if (!fetch_config(ctl, &answer)) {
		ctl_answer_clear(&answer);
		return CTL_EXIT_FAILED;
	}
	version = ctl_integer(answer.body, "version");
	patch = drain_patch(ctl, json_object_get(answer.body, "document"), add);
	ctl_answer_clear(&answer);
	if (!patch) {
		fprintf(stderr, "nothing to change at version %lld\n", (long long)version);
		return CTL_EXIT_OK;
	}
	body = patch_body(ctl, version, patch);
	json_decref(patch);
	status = ctl_request(ctl, "PATCH", "/v1/config", body, PATCH_WAIT_MS, &answer, &err);
	json_decref(body);
	if (status != STATUS_OK) {
		ctl_print_error(&err);
		return CTL_EXIT_FAILED;
	}
	*conflict = is_conflict(&answer);
	if (answer.http_code / 100 == 2)
		print_patched(ctl, answer.body);
	else
		ctl_print_refusal(&answer);
	status = answer.http_code / 100 == 2 ? STATUS_OK : STATUS_INVALID_REQUEST;
	ctl_answer_clear(&answer);
	return status == STATUS_OK ? CTL_EXIT_OK : CTL_EXIT_FAILED;
}

static enum ctl_exit change_drain(const struct ctl *ctl, bool add)
{
	enum ctl_exit code = CTL_EXIT_FAILED;
	bool conflict = true;

	if (!ctl->servers && !ctl->hosts && !ctl->zones) {
		fprintf(stderr,
			"greengagectl: at least one of --server, --host, --zone is required\n");
		return CTL_EXIT_USAGE;
	}
	for (int i = 0; i < DRAIN_ATTEMPTS && conflict; i++)
		code = try_drain(ctl, add, &conflict);
	return code;
}

enum ctl_exit cmd_drain(const struct ctl *ctl, char **args)
{
	return change_drain(ctl, true);
}

enum ctl_exit cmd_undrain(const struct ctl *ctl, char **args)
{
	return change_drain(ctl, false);
}
