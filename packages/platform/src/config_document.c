#include "config_document.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "core_defs.h"

enum {
	DEFAULT_HEADER_MAX_BYTES = 16384,
	DEFAULT_BODY_MAX_BYTES = 262144,
	DEFAULT_HEADER_TIMEOUT_MS = 3000,
	DEFAULT_IDLE_TIMEOUT_MS = 15000,
	DEFAULT_TIMEOUT_MS = 1500,
	DEFAULT_MAX_ATTEMPTS = 1
};

static json_int_t get_integer(const json_t *object, const char *name, json_int_t default_value)
{
	const json_t *field = json_object_get(object, name);

	return json_is_number(field) ? (json_int_t)json_number_value(field) : default_value;
}

static enum status parse_route(const json_t *object, struct route *route, struct error *err)
{
	const char *name = json_string_value(json_object_get(object, "name"));
	const char *host = json_string_value(json_object_get(object, "host"));
	const char *prefix = json_string_value(json_object_get(object, "pathPrefix"));
	const char *service = json_string_value(json_object_get(object, "service"));
	const json_t *stretch = json_object_get(object, "stretchFactor");

	if (!name || !host || !prefix || !service)
		return error_set(err, STATUS_INVALID_CONFIG,
				 "route %s: name, host, pathPrefix and service must be strings",
				 name ? name : "without a name");
	route->name = g_strdup(name);
	route->host = g_strdup(host);
	route->path_prefix = g_strdup(prefix);
	route->service = g_strdup(service);
	route->priority = (uint32_t)get_integer(object, "priority", 0);
	route->max_attempts = (uint32_t)get_integer(object, "maxAttempts", DEFAULT_MAX_ATTEMPTS);
	route->stretch = json_is_number(stretch) ? json_number_value(stretch) : 1.0;
	/* Despite its name, targetRuntimeMs is not a run time: it is the time allowed to a job in
	 * addition to its run time multiplied by the stretch factor. */
	route->slack_us = get_integer(object, "targetRuntimeMs", 0) * US_PER_MS;
	route->timeout_us = get_integer(object, "timeoutMs", DEFAULT_TIMEOUT_MS) * US_PER_MS;
	return STATUS_OK;
}

static enum status parse_table(const json_t *document, struct route_table *table, struct error *err)
{
	const json_t *routes = json_object_get(document, "routes");
	const json_t *limits = json_object_get(document, "limits");
	const json_t *route;
	size_t i;

	if (!json_is_integer(json_object_get(document, "version")))
		return error_set(err, STATUS_INVALID_CONFIG, "version must be a whole number");
	if (!json_is_array(routes))
		return error_set(err, STATUS_INVALID_CONFIG, "routes must be a list");
	table->version = (uint64_t)get_integer(document, "version", 0);
	table->header_max_bytes =
		(size_t)get_integer(limits, "maxHeaderBytes", DEFAULT_HEADER_MAX_BYTES);
	table->body_max_bytes = (size_t)get_integer(limits, "maxBodyBytes", DEFAULT_BODY_MAX_BYTES);
	table->header_limit_ms = get_integer(limits, "headerTimeoutMs", DEFAULT_HEADER_TIMEOUT_MS);
	table->idle_limit_ms = get_integer(limits, "idleTimeoutMs", DEFAULT_IDLE_TIMEOUT_MS);
	table->routes = g_new0(struct route, json_array_size(routes) + 1);
	json_array_foreach (routes, i, route) {
		enum status status = parse_route(route, &table->routes[table->count], err);

		if (status != STATUS_OK)
			return status;
		table->count++;
	}
	return STATUS_OK;
}

enum status config_document_parse(const char *text, size_t length, struct route_table **table,
				  struct error *err)
{
	json_error_t json_error;
	json_t *document = json_loadb(text, length, 0, &json_error);
	enum status status;

	if (!document)
		return error_set(err, STATUS_INVALID_JSON, "line %d: %s", json_error.line,
				 json_error.text);
	*table = g_new0(struct route_table, 1);
	status = parse_table(document, *table, err);
	json_decref(document);
	if (status != STATUS_OK)
		g_clear_pointer(table, route_table_free);
	return status;
}
