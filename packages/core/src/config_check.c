#include "config_check.h"

#include <glib.h>
#include <string.h>

#include "calendar.h"
#include "config.h"
#include "core_defs.h"

enum {
	MAX_KEY_BYTES_SHOWN =
		40, /* a longer key is cut before this byte, at a character boundary */
	MAX_LIST_ITEMS = 10000,
	MAX_RUN_MS = 3600000,
	MAX_TASK_LIMIT = 100000000,
	MAX_SLOTS = 100000
};

void path_append_key(char path[VALUE_PATH_BYTES], const char *parent, const char *key)
{
	const char *end = key + strlen(key);

	if (end - key > MAX_KEY_BYTES_SHOWN)
		end = g_utf8_find_prev_char(key, key + MAX_KEY_BYTES_SHOWN);
	g_snprintf(path, VALUE_PATH_BYTES, "%s%s%.*s", parent, *parent ? "." : "", (int)(end - key),
		   key);
}

enum status report_invalid_value(const char *path, const char *accepted, struct error *err)
{
	return error_set(err, STATUS_INVALID_CONFIG, "%s: accepted: %s",
			 *path ? path : "the document", accepted);
}

static const struct object_key *find_key(const struct object_key *keys, const char *name)
{
	for (; keys->name; keys++) {
		if (strcmp(keys->name, name) == 0)
			return keys;
	}
	return NULL;
}

static enum status report_unknown_key(const char *path, const struct object_key *keys,
				      struct error *err)
{
	GString *names = g_string_new("one of");
	enum status status;

	for (const struct object_key *key = keys; key->name; key++)
		g_string_append_printf(names, "%s %s", key == keys ? "" : ",", key->name);
	status = error_set(err, STATUS_INVALID_CONFIG, "%s: unknown key, accepted: %s", path,
			   names->str);
	g_string_free(names, TRUE);
	return status;
}

enum status validate_object(const json_t *value, const char *path, const struct object_key *keys,
			    struct error *err)
{
	char member_path[VALUE_PATH_BYTES];
	enum status status;
	const char *name;
	json_t *member;

	if (!json_is_object(value))
		return report_invalid_value(path, "an object", err);
	json_object_foreach ((json_t *)value, name, member) {
		const struct object_key *key = find_key(keys, name);

		path_append_key(member_path, path, name);
		status = key ? key->validate(member, member_path, err)
			     : report_unknown_key(member_path, keys, err);
		if (status != STATUS_OK)
			return status;
	}
	for (const struct object_key *key = keys; key->name; key++) {
		if (!key->required || json_object_get(value, key->name))
			continue;
		path_append_key(member_path, path, key->name);
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

enum status validate_name(const json_t *value, const char *path, struct error *err)
{
	if (!json_is_string(value) || !is_name(json_string_value(value), json_string_length(value)))
		return report_invalid_value(
			path, "a name of 1 to 63 bytes without control characters", err);
	return STATUS_OK;
}

enum status validate_map(const json_t *value, const char *path,
			 enum status (*validate)(const json_t *value, const char *path,
						 struct error *err),
			 struct error *err)
{
	const char *name;
	json_t *member;

	if (!json_is_object(value))
		return report_invalid_value(path, "an object", err);
	json_object_foreach ((json_t *)value, name, member) {
		char member_path[VALUE_PATH_BYTES];
		enum status status;

		path_append_key(member_path, path, name);
		if (!is_name(name, strlen(name)))
			return report_invalid_value(
				member_path, "keys of 1 to 63 bytes without control characters",
				err);
		status = validate(member, member_path, err);
		if (status != STATUS_OK)
			return status;
	}
	return STATUS_OK;
}

enum status validate_list(const json_t *value, const char *path, size_t max,
			  enum status (*validate)(const json_t *value, const char *path,
						  struct error *err),
			  struct error *err)
{
	size_t index;
	json_t *item;

	if (!json_is_array(value) || json_array_size(value) > max)
		return error_set(err, STATUS_INVALID_CONFIG,
				 "%s: accepted: an array of at most %zu items", path, max);
	json_array_foreach ((json_t *)value, index, item) {
		char item_path[VALUE_PATH_BYTES];
		enum status status;

		g_snprintf(item_path, sizeof(item_path), "%s[%zu]", path, index);
		status = validate(item, item_path, err);
		if (status != STATUS_OK)
			return status;
	}
	return STATUS_OK;
}

enum status validate_integer(const json_t *value, const char *path, int64_t min, int64_t max,
			     struct error *err)
{
	if (json_is_integer(value) && json_integer_value(value) >= min &&
	    json_integer_value(value) <= max)
		return STATUS_OK;
	return error_set(err, STATUS_INVALID_CONFIG, "%s: accepted: integer from %lld to %lld",
			 path, (long long)min, (long long)max);
}

enum status validate_number(const json_t *value, const char *path, double min, double max,
			    struct error *err)
{
	if (json_is_number(value) && json_number_value(value) >= min &&
	    json_number_value(value) <= max)
		return STATUS_OK;
	return error_set(err, STATUS_INVALID_CONFIG, "%s: accepted: number from %g to %g", path,
			 min, max);
}

static enum status validate_names(const json_t *value, const char *path, struct error *err)
{
	return validate_list(value, path, MAX_LIST_ITEMS, validate_name, err);
}

static enum status validate_labels(const json_t *value, const char *path, struct error *err)
{
	return validate_map(value, path, validate_name, err);
}

static enum status validate_run_ms(const json_t *value, const char *path, struct error *err)
{
	return validate_integer(value, path, 1, MAX_RUN_MS, err);
}

static enum status validate_task_limit(const json_t *value, const char *path, struct error *err)
{
	return validate_integer(value, path, 0, MAX_TASK_LIMIT, err);
}

static enum status validate_slots(const json_t *value, const char *path, struct error *err)
{
	return validate_integer(value, path, 0, MAX_SLOTS, err);
}

static enum status validate_weight(const json_t *value, const char *path, struct error *err)
{
	return validate_number(value, path, 0.01, 1000, err);
}

static enum status validate_class(const json_t *value, const char *path, struct error *err)
{
	static const struct object_key keys[] = {
		{"zones", validate_names, false},
		{"labels", validate_labels, false},
		{"run_ms", validate_run_ms, false},
		{"max_running", validate_task_limit, false},
		{0},
	};

	return validate_object(value, path, keys, err);
}

static enum status validate_classes(const json_t *value, const char *path, struct error *err)
{
	return validate_map(value, path, validate_class, err);
}

static enum status validate_team(const json_t *value, const char *path, struct error *err)
{
	static const struct object_key keys[] = {
		{"weight", validate_weight, false},
		{"max_running", validate_task_limit, false},
		{"max_queued", validate_task_limit, false},
		{0},
	};

	return validate_object(value, path, keys, err);
}

static enum status validate_teams(const json_t *value, const char *path, struct error *err)
{
	return validate_map(value, path, validate_team, err);
}

static enum status validate_match(const json_t *value, const char *path, struct error *err)
{
	static const struct object_key keys[] = {
		{"server", validate_name, false},
		{"host", validate_name, false},
		{"zone", validate_name, false},
		{"labels", validate_labels, false},
		{0},
	};

	return validate_object(value, path, keys, err);
}

static enum status validate_capacity_rule(const json_t *value, const char *path, struct error *err)
{
	static const struct object_key keys[] = {
		{"match", validate_match, true},
		{"slots", validate_slots, false},
		{"calendar", calendar_validate, false},
		{0},
	};
	enum status status = validate_object(value, path, keys, err);

	if (status == STATUS_OK && !json_object_get(value, "slots") &&
	    !json_object_get(value, "calendar"))
		return report_invalid_value(path, "a rule with slots, calendar or both", err);
	return status;
}

static enum status validate_capacity(const json_t *value, const char *path, struct error *err)
{
	return validate_list(value, path, MAX_LIST_ITEMS, validate_capacity_rule, err);
}

static enum status validate_drain(const json_t *value, const char *path, struct error *err)
{
	static const struct object_key keys[] = {
		{"servers", validate_names, false},
		{"hosts", validate_names, false},
		{"zones", validate_names, false},
		{0},
	};

	return validate_object(value, path, keys, err);
}

static enum status validate_ratio_target(const json_t *value, const char *path, struct error *err)
{
	return validate_number(value, path, 1, 1000, err);
}

static enum status validate_objective(const json_t *value, const char *path, struct error *err)
{
	return validate_number(value, path, 0.5, 0.99999, err);
}

static enum status validate_waste_target(const json_t *value, const char *path, struct error *err)
{
	return validate_number(value, path, 0.001, 1000, err);
}

static enum status validate_slo(const json_t *value, const char *path, struct error *err)
{
	static const struct object_key keys[] = {
		{"ratio_target", validate_ratio_target, false},
		{"objective", validate_objective, false},
		{"waste_target", validate_waste_target, false},
		{0},
	};

	return validate_object(value, path, keys, err);
}

enum status config_validate(const json_t *document, struct error *err)
{
	static const struct object_key keys[] = {
		{"classes", validate_classes, false},	{"teams", validate_teams, false},
		{"capacity", validate_capacity, false}, {"drain", validate_drain, false},
		{"slo", validate_slo, false},		{0},
	};
	enum status status = validate_object(document, "", keys, err);

	if (status != STATUS_OK)
		return status;
	if (json_dumpb(document, NULL, 0, JSON_COMPACT) > CONFIG_MAX_BYTES)
		return error_set(err, STATUS_INVALID_CONFIG,
				 "the document: accepted: at most %d bytes of JSON",
				 CONFIG_MAX_BYTES);
	return STATUS_OK;
}
