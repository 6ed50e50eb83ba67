#include "config_check.h"

#include <glib.h>
#include <string.h>

#include "calendar.h"
#include "config.h"
#include "core_defs.h"

enum {
	MAX_KEY_BYTES_SHOWN = 40, /* in the path of an error message */
	MAX_LIST_ITEMS = 10000,
	MAX_RUN_MS = 3600000,
	MAX_TASKS = 100000000,
	MAX_SLOTS = 100000
};

void check_join_path(char path[CHECK_PATH_BYTES], const char *parent, const char *key)
{
	const char *end = key + strlen(key);

	if (end - key > MAX_KEY_BYTES_SHOWN)
		end = g_utf8_find_prev_char(key, key + MAX_KEY_BYTES_SHOWN);
	g_snprintf(path, CHECK_PATH_BYTES, "%s%s%.*s", parent, *parent ? "." : "", (int)(end - key),
		   key);
}

enum status check_report_invalid(const char *path, const char *accepted, struct error *err)
{
	return error_set(err, STATUS_INVALID_CONFIG, "%s: accepted: %s",
			 *path ? path : "the document", accepted);
}

static const struct check_key *find_key(const struct check_key *keys, const char *name)
{
	for (; keys->name; keys++) {
		if (strcmp(keys->name, name) == 0)
			return keys;
	}
	return NULL;
}

static enum status report_unknown_key(const char *path, const struct check_key *keys,
				      struct error *err)
{
	GString *names = g_string_new("one of");
	enum status status;

	for (const struct check_key *key = keys; key->name; key++)
		g_string_append_printf(names, "%s %s", key == keys ? "" : ",", key->name);
	status = error_set(err, STATUS_INVALID_CONFIG, "%s: unknown key, accepted: %s", path,
			   names->str);
	g_string_free(names, TRUE);
	return status;
}

enum status check_object(const json_t *value, const char *path, const struct check_key *keys,
			 struct error *err)
{
	char member_path[CHECK_PATH_BYTES];
	enum status status;
	const char *name;
	json_t *member;

	if (!json_is_object(value))
		return check_report_invalid(path, "an object", err);
	json_object_foreach ((json_t *)value, name, member) {
		const struct check_key *key = find_key(keys, name);

		check_join_path(member_path, path, name);
		status = key ? key->check(member, member_path, err)
			     : report_unknown_key(member_path, keys, err);
		if (status != STATUS_OK)
			return status;
	}
	for (const struct check_key *key = keys; key->name; key++) {
		if (!key->required || json_object_get(value, key->name))
			continue;
		check_join_path(member_path, path, key->name);
		return error_set(err, STATUS_INVALID_CONFIG, "%s: required", member_path);
	}
	return STATUS_OK;
}

static bool is_name(const char *text, size_t length)
{
	if (length == 0 || length >= NAME_BYTES)
		return false;
	for (size_t i = 0; i < length; i++) {
		if ((unsigned char)text[i] < ' ' || text[i] == '\x7f')
			return false;
	}
	return true;
}

enum status check_name(const json_t *value, const char *path, struct error *err)
{
	if (!json_is_string(value) || !is_name(json_string_value(value), json_string_length(value)))
		return check_report_invalid(
			path, "a name of 1 to 63 bytes without control characters", err);
	return STATUS_OK;
}

enum status check_map(const json_t *value, const char *path,
		      enum status (*check)(const json_t *value, const char *path,
					   struct error *err),
		      struct error *err)
{
	const char *name;
	json_t *member;

	if (!json_is_object(value))
		return check_report_invalid(path, "an object", err);
	json_object_foreach ((json_t *)value, name, member) {
		char member_path[CHECK_PATH_BYTES];
		enum status status;

		check_join_path(member_path, path, name);
		if (!is_name(name, strlen(name)))
			return check_report_invalid(
				member_path, "keys of 1 to 63 bytes without control characters",
				err);
		status = check(member, member_path, err);
		if (status != STATUS_OK)
			return status;
	}
	return STATUS_OK;
}

enum status check_list(const json_t *value, const char *path, size_t max,
		       enum status (*check)(const json_t *value, const char *path,
					    struct error *err),
		       struct error *err)
{
	size_t index;
	json_t *item;

	if (!json_is_array(value) || json_array_size(value) > max)
		return error_set(err, STATUS_INVALID_CONFIG,
				 "%s: accepted: an array of at most %zu items", path, max);
	json_array_foreach ((json_t *)value, index, item) {
		char item_path[CHECK_PATH_BYTES];
		enum status status;

		g_snprintf(item_path, sizeof(item_path), "%s[%zu]", path, index);
		status = check(item, item_path, err);
		if (status != STATUS_OK)
			return status;
	}
	return STATUS_OK;
}

enum status check_integer(const json_t *value, const char *path, int64_t min, int64_t max,
			  struct error *err)
{
	if (json_is_integer(value) && json_integer_value(value) >= min &&
	    json_integer_value(value) <= max)
		return STATUS_OK;
	return error_set(err, STATUS_INVALID_CONFIG, "%s: accepted: integer from %lld to %lld",
			 path, (long long)min, (long long)max);
}

enum status check_number(const json_t *value, const char *path, double min, double max,
			 struct error *err)
{
	if (json_is_number(value) && json_number_value(value) >= min &&
	    json_number_value(value) <= max)
		return STATUS_OK;
	return error_set(err, STATUS_INVALID_CONFIG, "%s: accepted: number from %g to %g", path,
			 min, max);
}

static enum status check_names(const json_t *value, const char *path, struct error *err)
{
	return check_list(value, path, MAX_LIST_ITEMS, check_name, err);
}

static enum status check_labels(const json_t *value, const char *path, struct error *err)
{
	return check_map(value, path, check_name, err);
}

static enum status check_run_ms(const json_t *value, const char *path, struct error *err)
{
	return check_integer(value, path, 1, MAX_RUN_MS, err);
}

static enum status check_task_limit(const json_t *value, const char *path, struct error *err)
{
	return check_integer(value, path, 0, MAX_TASKS, err);
}

static enum status check_slots(const json_t *value, const char *path, struct error *err)
{
	return check_integer(value, path, 0, MAX_SLOTS, err);
}

static enum status check_weight(const json_t *value, const char *path, struct error *err)
{
	return check_number(value, path, 0.01, 1000, err);
}

static enum status check_class(const json_t *value, const char *path, struct error *err)
{
	static const struct check_key keys[] = {
		{"zones", check_names, false},
		{"labels", check_labels, false},
		{"run_ms", check_run_ms, false},
		{"max_running", check_task_limit, false},
		{0},
	};

	return check_object(value, path, keys, err);
}

static enum status check_classes(const json_t *value, const char *path, struct error *err)
{
	return check_map(value, path, check_class, err);
}

static enum status check_team(const json_t *value, const char *path, struct error *err)
{
	static const struct check_key keys[] = {
		{"weight", check_weight, false},
		{"max_running", check_task_limit, false},
		{"max_queued", check_task_limit, false},
		{0},
	};

	return check_object(value, path, keys, err);
}

static enum status check_teams(const json_t *value, const char *path, struct error *err)
{
	return check_map(value, path, check_team, err);
}

static enum status check_match(const json_t *value, const char *path, struct error *err)
{
	static const struct check_key keys[] = {
		{"server", check_name, false},
		{"host", check_name, false},
		{"zone", check_name, false},
		{"labels", check_labels, false},
		{0},
	};

	return check_object(value, path, keys, err);
}

static enum status check_capacity_rule(const json_t *value, const char *path, struct error *err)
{
	static const struct check_key keys[] = {
		{"match", check_match, true},
		{"slots", check_slots, false},
		{"calendar", calendar_validate, false},
		{0},
	};
	enum status status = check_object(value, path, keys, err);

	if (status == STATUS_OK && !json_object_get(value, "slots") &&
	    !json_object_get(value, "calendar"))
		return check_report_invalid(path, "a rule with slots, calendar or both", err);
	return status;
}

static enum status check_capacity(const json_t *value, const char *path, struct error *err)
{
	return check_list(value, path, MAX_LIST_ITEMS, check_capacity_rule, err);
}

static enum status check_drain(const json_t *value, const char *path, struct error *err)
{
	static const struct check_key keys[] = {
		{"servers", check_names, false},
		{"hosts", check_names, false},
		{"zones", check_names, false},
		{0},
	};

	return check_object(value, path, keys, err);
}

static enum status check_ratio_target(const json_t *value, const char *path, struct error *err)
{
	return check_number(value, path, 1, 1000, err);
}

static enum status check_objective(const json_t *value, const char *path, struct error *err)
{
	return check_number(value, path, 0.5, 0.99999, err);
}

static enum status check_waste_target(const json_t *value, const char *path, struct error *err)
{
	return check_number(value, path, 0.001, 1000, err);
}

static enum status check_slo(const json_t *value, const char *path, struct error *err)
{
	static const struct check_key keys[] = {
		{"ratio_target", check_ratio_target, false},
		{"objective", check_objective, false},
		{"waste_target", check_waste_target, false},
		{0},
	};

	return check_object(value, path, keys, err);
}

enum status config_validate(const json_t *document, struct error *err)
{
	static const struct check_key keys[] = {
		{"classes", check_classes, false},   {"teams", check_teams, false},
		{"capacity", check_capacity, false}, {"drain", check_drain, false},
		{"slo", check_slo, false},	     {0},
	};
	enum status status = check_object(document, "", keys, err);

	if (status != STATUS_OK)
		return status;
	if (json_dumpb(document, NULL, 0, JSON_COMPACT) > CONFIG_MAX_BYTES)
		return error_set(err, STATUS_INVALID_CONFIG,
				 "the document: accepted: at most %d bytes of JSON",
				 CONFIG_MAX_BYTES);
	return STATUS_OK;
}
