#include "entry_body.h"

#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum {
	MAX_DURATION_MS = 86400000 /* 24 hours */
};

/* Integers beyond 64 bits and NUL characters are accepted: only the backend server interprets the
 * tasks. */
static const size_t json_decode_flags =
	JSON_REJECT_DUPLICATES | JSON_DECODE_INT_AS_REAL | JSON_ALLOW_NUL;

static const char *skip_space(const char *p)
{
	while (*p == ' ' || *p == '\t' || *p == '\n' || *p == '\r')
		p++;
	return p;
}

/* The functions from here to locate_tasks require valid, NUL-terminated JSON. */

/* P points to the opening quote of a string. Returns the position after the closing quote. */
static const char *skip_string(const char *p)
{
	for (p++; *p != '"'; p++) {
		if (*p == '\\')
			p++;
	}
	return p + 1;
}

/* Returns the end of the value that begins at P. */
static const char *skip_value(const char *p)
{
	int depth = 0;

	do {
		if (*p == '"') {
			p = skip_string(p);
			continue;
		}
		if (*p == '[' || *p == '{')
			depth++;
		else if (*p == ']' || *p == '}')
			depth--;
		p++;
	} while (depth > 0);
	/* A number, true, false or null extends to the next delimiter. Other values have ended. */
	while (*p && !strchr(",]} \t\n\r", *p) && p[-1] != '"' && p[-1] != ']' && p[-1] != '}')
		p++;
	return p;
}

/* Returns whether the JSON string from P to END, including its quotes, equals NAME once its escapes
 * are decoded. */
static bool string_equals(const char *p, const char *end, const char *name)
{
	json_t *value = json_loadb(p, (size_t)(end - p), json_decode_flags | JSON_DECODE_ANY, NULL);
	bool same = value && strcmp(json_string_value(value), name) == 0;

	json_decref(value);
	return same;
}

/* Returns the position of the value of the field "tasks", which must exist. */
static const char *find_tasks_array(const char *text)
{
	const char *p = skip_space(skip_space(text) + 1);

	for (;;) {
		const char *end = skip_string(p);
		bool found = string_equals(p, end, "tasks");

		p = skip_space(skip_space(end) + 1);
		if (found)
			return p;
		p = skip_space(skip_value(p));
		p = skip_space(p + 1);
	}
}

static void locate_tasks(struct job_body *body)
{
	const char *p = skip_space(find_tasks_array(body->text) + 1);

	body->tasks = g_new(struct body_slice, body->task_count);
	for (uint32_t i = 0; i < body->task_count; i++) {
		const char *end = skip_value(p);

		body->tasks[i].offset = (uint32_t)(p - body->text);
		body->tasks[i].length = (uint32_t)(end - p);
		p = skip_space(end);
		p = skip_space(p + 1);
	}
}

static enum status parse_name(const json_t *document, const char *name, char *out,
			      struct error *err)
{
	const json_t *value = json_object_get(document, name);
	size_t length = json_string_length(value);

	if (!json_is_string(value) || length == 0 || length >= NAME_BYTES ||
	    strlen(json_string_value(value)) != length)
		return error_set(err, STATUS_INVALID_REQUEST,
				 "%s: accepted: a string of 1 to %d bytes", name, NAME_BYTES - 1);
	memcpy(out, json_string_value(value), length + 1);
	return STATUS_OK;
}

static enum status parse_duration(const json_t *document, const char *name, int64_t *out,
				  struct error *err)
{
	const json_t *value = json_object_get(document, name);
	double number = json_number_value(value);

	*out = 0;
	if (!value)
		return STATUS_OK;
	if (!json_is_number(value) || number < 1 || number > MAX_DURATION_MS ||
	    floor(number) != number)
		return error_set(err, STATUS_INVALID_REQUEST,
				 "%s: accepted: a whole number from 1 to %d", name,
				 MAX_DURATION_MS);
	*out = (int64_t)number;
	return STATUS_OK;
}

static enum status check_field_names(const json_t *document, struct error *err)
{
	static const char *const accepted[] = {"class",	      "team",  "run_ms",
					       "deadline_ms", "tasks", NULL};
	const char *name;
	json_t *value;

	if (!json_is_object(document))
		return error_set(err, STATUS_INVALID_REQUEST, "body: accepted: an object");
	json_object_foreach ((json_t *)document, name, value) {
		if (!g_strv_contains(accepted, name))
			return error_set(err, STATUS_INVALID_REQUEST,
					 "%.40s: unknown field, accepted: class, team, run_ms, "
					 "deadline_ms, tasks",
					 name);
	}
	return STATUS_OK;
}

static enum status parse_fields(const json_t *document, uint32_t max_tasks, struct job_body *body,
				struct error *err)
{
	const json_t *tasks;

	if (check_field_names(document, err) != STATUS_OK ||
	    parse_name(document, "class", body->class_name, err) != STATUS_OK ||
	    parse_name(document, "team", body->team, err) != STATUS_OK ||
	    parse_duration(document, "run_ms", &body->run_ms, err) != STATUS_OK ||
	    parse_duration(document, "deadline_ms", &body->deadline_ms, err) != STATUS_OK)
		return STATUS_INVALID_REQUEST;
	tasks = json_object_get(document, "tasks");
	if (!json_is_array(tasks) || json_array_size(tasks) == 0)
		return error_set(err, STATUS_INVALID_REQUEST,
				 "tasks: accepted: an array of at least one value");
	if (json_array_size(tasks) > max_tasks)
		return error_set(err, STATUS_TOO_MANY_TASKS,
				 "tasks: %zu items, accepted: at most %u", json_array_size(tasks),
				 max_tasks);
	body->task_count = (uint32_t)json_array_size(tasks);
	return STATUS_OK;
}

enum status entry_body_parse(char *text, size_t length, uint32_t max_tasks, struct job_body **body,
			     struct error *err)
{
	struct job_body *parsed = g_new0(struct job_body, 1);
	json_error_t json_error;
	json_t *document;
	enum status status;

	/* The scanning functions take no length; they rely on the terminating NUL. */
	parsed->text = realloc(text, length + 1);
	parsed->text[length] = '\0';
	parsed->length = length;
	parsed->digest = ident_digest(parsed->text, length);
	document = json_loadb(parsed->text, length, json_decode_flags, &json_error);
	if (!document)
		status = error_set(err, STATUS_INVALID_JSON, "line %d, column %d: %.120s",
				   json_error.line, json_error.column, json_error.text);
	else
		status = parse_fields(document, max_tasks, parsed, err);
	if (status == STATUS_OK) {
		locate_tasks(parsed);
		*body = parsed;
	} else {
		entry_body_free(parsed);
	}
	json_decref(document);
	return status;
}

void entry_body_free(struct job_body *body)
{
	if (!body)
		return;
	free(body->text);
	g_free(body->tasks);
	g_free(body);
}
