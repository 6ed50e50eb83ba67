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

/* A number in the document. */
struct number_field {
	const char *name;
	json_int_t default_value;
};

/* Reads FIELD of OBJECT into VALUE, at most INT32_MAX. A field that is missing, null or 0 has its
 * default value, because writers leave out zeros. Returns STATUS_INVALID_CONFIG when it is no
 * number or negative. */
static enum status read_number(const json_t *object, const struct number_field *field,
			       json_int_t *value, struct error *err)
{
	const json_t *json = json_object_get(object, field->name);
	double number = json_number_value(json);

	*value = field->default_value;
	if (!json || json_is_null(json))
		return STATUS_OK;
	if (!json_is_number(json) || number < 0)
		return error_set(err, STATUS_INVALID_CONFIG, "%s must be a number from 0 on",
				 field->name);
	if (number >= 1)
		*value = (json_int_t)MIN(number, INT32_MAX);
	return STATUS_OK;
}

/* Reads COUNT fields of OBJECT into the array VALUES. */
static enum status read_numbers(const json_t *object, const struct number_field *fields,
				size_t count, json_int_t *values, struct error *err)
{
	for (size_t i = 0; i < count; i++) {
		enum status status = read_number(object, &fields[i], &values[i], err);

		if (status != STATUS_OK)
			return status;
	}
	return STATUS_OK;
}

static enum status parse_route_numbers(const json_t *object, struct route *route, struct error *err)
{
	enum {
		PRIORITY,
		MAX_ATTEMPTS,
		TARGET_RUNTIME,
		TIMEOUT,
		FIELD_COUNT
	};
	static const struct number_field fields[FIELD_COUNT] = {
		[PRIORITY] = {.name = "priority"},
		[MAX_ATTEMPTS] = {.name = "maxAttempts", .default_value = DEFAULT_MAX_ATTEMPTS},
		[TARGET_RUNTIME] = {.name = "targetRuntimeMs"},
		[TIMEOUT] = {.name = "timeoutMs", .default_value = DEFAULT_TIMEOUT_MS},
	};
	const json_t *field = json_object_get(object, "stretchFactor");
	const json_t *stretch = json_is_null(field) ? NULL : field;
	json_int_t values[FIELD_COUNT];
	enum status status = read_numbers(object, fields, FIELD_COUNT, values, err);

	if (status != STATUS_OK)
		return status;
	if (stretch && (!json_is_number(stretch) || json_number_value(stretch) < 0))
		return error_set(err, STATUS_INVALID_CONFIG,
				 "stretchFactor must be a number from 0 on");
	route->stretch = stretch ? json_number_value(stretch) : 1.0;
	route->priority = (uint32_t)values[PRIORITY];
	route->max_attempts = (uint32_t)values[MAX_ATTEMPTS];
	/* Despite its name, targetRuntimeMs is not a run time: it is the time allowed to a job in
	 * addition to its run time multiplied by the stretch factor. */
	route->slack_us = values[TARGET_RUNTIME] * US_PER_MS;
	route->timeout_us = values[TIMEOUT] * US_PER_MS;
	return STATUS_OK;
}

static enum status parse_route(const json_t *object, struct route *route, struct error *err)
{
	const char *name = json_string_value(json_object_get(object, "name"));
	const char *host = json_string_value(json_object_get(object, "host"));
	const char *prefix = json_string_value(json_object_get(object, "pathPrefix"));
	const char *service = json_string_value(json_object_get(object, "service"));

	if (!name || !host || !prefix || !service)
		return error_set(err, STATUS_INVALID_CONFIG,
				 "route %s: name, host, pathPrefix and service must be strings",
				 name ? name : "without a name");
	if (prefix[0] != '/')
		return error_set(err, STATUS_INVALID_CONFIG,
				 "route %s: pathPrefix must begin with a slash", name);
	route->name = g_strdup(name);
	route->host = g_strdup(host);
	route->path_prefix = g_strdup(prefix);
	route->service = g_strdup(service);
	return parse_route_numbers(object, route, err);
}

static enum status parse_limits(const json_t *limits, struct route_table *table, struct error *err)
{
	enum {
		HEADER_MAX_BYTES,
		BODY_MAX_BYTES,
		HEADER_TIMEOUT,
		IDLE_TIMEOUT,
		FIELD_COUNT
	};
	static const struct number_field fields[FIELD_COUNT] = {
		[HEADER_MAX_BYTES] = {.name = "maxHeaderBytes",
				      .default_value = DEFAULT_HEADER_MAX_BYTES},
		[BODY_MAX_BYTES] = {.name = "maxBodyBytes",
				    .default_value = DEFAULT_BODY_MAX_BYTES},
		[HEADER_TIMEOUT] = {.name = "headerTimeoutMs",
				    .default_value = DEFAULT_HEADER_TIMEOUT_MS},
		[IDLE_TIMEOUT] = {.name = "idleTimeoutMs",
				  .default_value = DEFAULT_IDLE_TIMEOUT_MS},
	};
	json_int_t values[FIELD_COUNT];
	enum status status = read_numbers(limits, fields, FIELD_COUNT, values, err);

	if (status != STATUS_OK)
		return status;
	table->header_max_bytes = (size_t)values[HEADER_MAX_BYTES];
	table->body_max_bytes = (size_t)values[BODY_MAX_BYTES];
	table->header_limit_ms = values[HEADER_TIMEOUT];
	table->idle_limit_ms = values[IDLE_TIMEOUT];
	return STATUS_OK;
}

/* Returns the version of DOCUMENT, or 0, which stands for no version, when it has no valid one. A
 * negative version would rank above all others once unsigned. */
static uint64_t get_version(const json_t *document)
{
	json_int_t version = json_integer_value(json_object_get(document, "version"));

	return version < 1 ? 0 : (uint64_t)version;
}

uint64_t config_document_version(const char *text, size_t length)
{
	json_t *document = json_loadb(text, length, 0, NULL);
	uint64_t version = get_version(document);

	json_decref(document);
	return version;
}

static enum status parse_table(const json_t *document, struct route_table *table, struct error *err)
{
	const json_t *routes = json_object_get(document, "routes");
	const json_t *route;
	enum status status;
	size_t i;

	table->version = get_version(document);
	if (table->version == 0)
		return error_set(err, STATUS_INVALID_CONFIG,
				 "version must be a whole number above 0");
	if (!json_is_array(routes))
		return error_set(err, STATUS_INVALID_CONFIG, "routes must be a list");
	status = parse_limits(json_object_get(document, "limits"), table, err);
	if (status != STATUS_OK)
		return status;
	table->routes = g_new0(struct route, json_array_size(routes) + 1);
	json_array_foreach (routes, i, route) {
		/* Counted first: a route that is invalid is freed with the table. */
		status = parse_route(route, &table->routes[table->count++], err);
		if (status != STATUS_OK)
			return status;
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
