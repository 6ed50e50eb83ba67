#include <glib.h>
#include <string.h>

#include "calendar.h"
#include "config.h"

static bool text_matches(const json_t *rule, const char *key, const char *actual)
{
	const char *expected = json_string_value(json_object_get(rule, key));

	return !expected || (actual && strcmp(expected, actual) == 0);
}

static bool labels_match(const json_t *expected, const json_t *actual)
{
	const char *key;
	json_t *value;

	json_object_foreach ((json_t *)expected, key, value) {
		if (!json_equal(value, json_object_get(actual, key)))
			return false;
	}
	return true;
}

static bool rule_matches(const json_t *match, const struct config_agent *agent)
{
	return text_matches(match, "server", agent->server) &&
	       text_matches(match, "host", agent->host) &&
	       text_matches(match, "zone", agent->zone) &&
	       labels_match(json_object_get(match, "labels"), agent->labels);
}

static bool list_contains(const json_t *list, const char *name)
{
	size_t index;
	json_t *item;

	json_array_foreach ((json_t *)list, index, item) {
		if (name && strcmp(json_string_value(item), name) == 0)
			return true;
	}
	return false;
}

static bool is_drained(const json_t *drain, const struct config_agent *agent)
{
	return list_contains(json_object_get(drain, "servers"), agent->server) ||
	       list_contains(json_object_get(drain, "hosts"), agent->host) ||
	       list_contains(json_object_get(drain, "zones"), agent->zone);
}

uint32_t config_capacity(const json_t *document, const struct config_agent *agent, uint32_t slots,
			 int64_t wall_ms, bool *drained)
{
	bool agent_drained = is_drained(json_object_get(document, "drain"), agent);
	const json_t *rules = json_object_get(document, "capacity");
	size_t index;
	json_t *rule;

	if (drained)
		*drained = agent_drained;
	json_array_foreach ((json_t *)rules, index, rule) {
		const json_t *limit = json_object_get(rule, "slots");
		const json_t *calendar = json_object_get(rule, "calendar");

		if (!rule_matches(json_object_get(rule, "match"), agent))
			continue;
		if (limit)
			slots = MIN(slots, (uint32_t)json_integer_value(limit));
		if (calendar && !calendar_is_on(calendar, wall_ms))
			slots = 0;
	}
	return agent_drained ? 0 : slots;
}

enum status config_check_time_zones(const json_t *document, struct error *err)
{
	const json_t *rules = json_object_get(document, "capacity");
	size_t index;
	json_t *rule;

	json_array_foreach ((json_t *)rules, index, rule) {
		const json_t *calendar = json_object_get(rule, "calendar");

		if (calendar && !calendar_time_zone_is_installed(calendar))
			return error_set(err, STATUS_INVALID_CONFIG,
					 "capacity[%zu].calendar.time_zone: accepted: a time zone "
					 "installed on this host",
					 index);
	}
	return STATUS_OK;
}
