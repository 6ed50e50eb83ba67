#include "server_api.h"

#include <string.h>

enum {
	CODE_OK = 200,
	CODE_BAD_REQUEST = 400,
	CODE_CONFLICT = 409,
	CODE_MISDIRECTED_REQUEST = 421,
	CODE_TOO_MANY_REQUESTS = 429,
	CODE_UNAVAILABLE = 503,
	PERCENT = 100
};

static const int64_t time_max_ms = (int64_t)1 << 52; /* sums of two cannot overflow */

static const char instances_prefix[] = "/greengagefront/instances/";

enum server_message server_message_parse(const struct http_request *request, char *id)
{
	const char *suffix = http_request_path(request);
	size_t length;

	if (http_request_method(request) != HTTP_METHOD_POST ||
	    !g_str_has_prefix(suffix, instances_prefix))
		return SERVER_UNKNOWN;
	suffix += strlen(instances_prefix);
	length = strcspn(suffix, "/");
	if (length == 0 || length >= NAME_BYTES)
		return SERVER_UNKNOWN;
	memcpy(id, suffix, length);
	id[length] = '\0';
	if (strcmp(suffix + length, "/heartbeat") == 0)
		return SERVER_HEARTBEAT;
	if (strcmp(suffix + length, "/deregister") == 0)
		return SERVER_DEREGISTER;
	return SERVER_UNKNOWN;
}

static const char *get_string(const json_t *object, const char *name)
{
	return json_string_value(json_object_get(object, name));
}

static bool parse_u32(const json_t *object, const char *name, uint32_t *value)
{
	const json_t *field = json_object_get(object, name);
	json_int_t number = json_integer_value(field);

	if (!json_is_integer(field) || number < 0 || number > UINT32_MAX)
		return false;
	*value = (uint32_t)number;
	return true;
}

static bool parse_state(const json_t *document, bool *draining)
{
	const char *state = get_string(document, "state");

	*draining = state && strcmp(state, "draining") == 0;
	return *draining || (state && strcmp(state, "ready") == 0);
}

static bool parse_labels(const json_t *document, struct server_identity *identity)
{
	const json_t *labels = json_object_get(document, "labels");
	const json_t *label;
	size_t i;

	if (labels && !json_is_array(labels))
		return false;
	json_array_foreach (labels, i, label) {
		if (!json_is_string(label))
			return false;
		if (identity->label_count < PRESENCE_LABELS_MAX)
			g_strlcpy(identity->labels[identity->label_count++],
				  json_string_value(label), NAME_BYTES);
	}
	return true;
}

/* Parses a whole number of milliseconds that may be absent, in which case VALUE is 0. */
static bool parse_optional(const json_t *document, const char *name, int64_t smallest,
			   int64_t *value)
{
	const json_t *field = json_object_get(document, name);

	*value = json_integer_value(field);
	return !field || (json_is_integer(field) && *value >= smallest && *value <= time_max_ms);
}

static enum status parse_identity(const json_t *document, struct server_identity *identity,
				  struct error *err)
{
	const char *service = get_string(document, "service");
	const char *zone = get_string(document, "zone");

	if (!service || !zone || !get_string(document, "addr"))
		return error_set(err, STATUS_INVALID_REQUEST,
				 "service, addr and zone must be strings");
	if (strlen(service) >= NAME_BYTES || strlen(zone) >= NAME_BYTES)
		return error_set(err, STATUS_INVALID_REQUEST,
				 "service and zone: accepted: up to %d bytes", NAME_BYTES - 1);
	g_strlcpy(identity->service, service, sizeof(identity->service));
	g_strlcpy(identity->zone, zone, sizeof(identity->zone));
	if (!parse_labels(document, identity))
		return error_set(err, STATUS_INVALID_REQUEST, "labels must be strings");
	return STATUS_OK;
}

static enum status parse_heartbeat(const json_t *document, struct heartbeat *heartbeat,
				   struct error *err)
{
	const json_t *capacity = json_object_get(document, "capacity");
	const json_t *sequence = json_object_get(document, "seq");

	if (parse_identity(document, &heartbeat->identity, err) != STATUS_OK)
		return err->status;
	if (!parse_state(document, &heartbeat->draining))
		return error_set(err, STATUS_INVALID_REQUEST, "state: accepted: ready, draining");
	if (!parse_u32(capacity, "cpu", &heartbeat->capacity.cpu) ||
	    !parse_u32(capacity, "memMb", &heartbeat->capacity.memory_mb))
		return error_set(err, STATUS_INVALID_REQUEST,
				 "capacity: cpu and memMb must be whole numbers");
	if (!parse_u32(capacity, "gpu", &heartbeat->capacity.gpus))
		heartbeat->capacity.gpus = 0;
	if (!json_is_integer(sequence) || json_integer_value(sequence) < 0)
		return error_set(err, STATUS_INVALID_REQUEST, "seq must be a whole number");
	heartbeat->sequence = (uint64_t)json_integer_value(sequence);
	if (!parse_optional(document, "born", 1, &heartbeat->start_time_ms))
		return error_set(err, STATUS_INVALID_REQUEST, "born must be a time in ms");
	if (!parse_optional(document, "clockMs", 0, &heartbeat->clock_ms))
		return error_set(err, STATUS_INVALID_REQUEST, "clockMs must be a time in ms");
	if (!parse_optional(document, "remainingMs", 0, &heartbeat->remaining_ms))
		heartbeat->remaining_ms = 0;
	return STATUS_OK;
}

enum status server_heartbeat_parse(const char *id, const char *body, size_t length,
				   struct heartbeat *heartbeat, struct error *err)
{
	json_error_t json_error;
	json_t *document = json_loadb(body, length, 0, &json_error);
	enum status status;

	*heartbeat = (struct heartbeat){0};
	if (!document)
		return error_set(err, STATUS_INVALID_JSON, "line %d: %s", json_error.line,
				 json_error.text);
	g_strlcpy(heartbeat->identity.id, id, sizeof(heartbeat->identity.id));
	status = parse_heartbeat(document, heartbeat, err);
	json_decref(document);
	return status;
}

int64_t server_deregistration_start_time(const char *body, size_t length)
{
	json_t *document = json_loadb(body, length, 0, NULL);
	int64_t start_time_ms = json_integer_value(json_object_get(document, "born"));

	json_decref(document);
	return start_time_ms;
}

void server_answer_empty(struct http_request *request)
{
	http_respond(request, CODE_OK, NULL, "{}");
}

void server_answer_error(struct http_request *request, const struct error *err)
{
	char *body = g_strdup_printf("{\"error\":\"%s\"}", status_name(err->status));

	http_respond(request, status_http_code(err->status), NULL, body);
	g_free(body);
}

static char *serialize(json_t *document)
{
	char *json = json_dumps(document, JSON_COMPACT);
	char *body = g_strdup(json ? json : "{}");

	free(json);
	json_decref(document);
	return body;
}

char *server_start_body(const struct server_start *start)
{
	json_t *document = json_object();

	json_object_set_new(document, "task", json_string(start->task));
	json_object_set_new(document, "attempt", json_integer(start->attempt));
	json_object_set_new(document, "spec", json_stringn(start->spec, start->spec_length));
	json_object_set_new(document, "expiresMs", json_integer(start->expires_clock_ms));
	json_object_set_new(document, "fence", json_integer(start->epoch));
	return serialize(document);
}

char *server_stop_body(const char *task, uint32_t attempt, int64_t epoch)
{
	json_t *document = json_object();

	json_object_set_new(document, "task", json_string(task));
	json_object_set_new(document, "attempt", json_integer(attempt));
	json_object_set_new(document, "fence", json_integer(epoch));
	return serialize(document);
}

char *server_hold_body(int64_t expires_clock_ms, int64_t epoch, uint64_t acknowledged_number,
		       int64_t wait_ms)
{
	json_t *document = json_object();

	if (expires_clock_ms > 0)
		json_object_set_new(document, "expiresMs", json_integer(expires_clock_ms));
	json_object_set_new(document, "fence", json_integer(epoch));
	json_object_set_new(document, "ackCursor", json_integer((json_int_t)acknowledged_number));
	if (wait_ms > 0)
		json_object_set_new(document, "waitMs", json_integer(wait_ms));
	return serialize(document);
}

char *server_id_header(const char *id)
{
	return *id ? g_strdup_printf("X-Greengagefront-Expect-Instance: %s\r\n", id) : NULL;
}

static enum start_answer parse_start_rejection(const char *reason, struct server_reply *parsed)
{
	if (reason && strcmp(reason, "room") == 0)
		return START_NO_RESOURCES;
	if (reason && strcmp(reason, "old") == 0)
		return START_SUPERSEDED;
	if (reason && strcmp(reason, "late") == 0)
		return START_LATE;
	parsed->stale_epoch = reason && strcmp(reason, "fence") == 0;
	return parsed->stale_epoch ? START_STALE : START_INVALID;
}

static void parse_reply_document(const struct http_response *reply, const json_t *document,
				 struct server_reply *parsed)
{
	parsed->answered = true;
	if (!parse_optional(document, "clockMs", 0, &parsed->clock_ms))
		parsed->clock_ms = 0;
	if (!parse_optional(document, "born", 1, &parsed->start_time_ms))
		parsed->start_time_ms = 0;
	switch (reply->code) {
	case CODE_OK:
		parsed->start_answer = START_STARTED;
		break;
	case CODE_CONFLICT:
		parsed->start_answer =
			parse_start_rejection(get_string(document, "reason"), parsed);
		break;
	case CODE_MISDIRECTED_REQUEST:
		parsed->wrong_instance = true;
		parsed->start_answer = START_UNHEALTHY;
		break;
	case CODE_TOO_MANY_REQUESTS:
	case CODE_UNAVAILABLE:
		parsed->start_answer = START_UNHEALTHY;
		break;
	default:
		parsed->start_answer = START_INVALID;
		break;
	}
}

void server_reply_parse(const struct http_response *reply, struct server_reply *parsed)
{
	json_t *document;

	*parsed = (struct server_reply){.start_answer = START_UNANSWERED};
	if (reply->status != STATUS_OK) {
		if (!reply->connection_assigned)
			parsed->start_answer = START_NOT_SENT;
		return;
	}
	document = json_loadb(reply->body, reply->length, 0, NULL);
	parse_reply_document(reply, document, parsed);
	json_decref(document);
}

static enum run_outcome run_outcome_from_name(const char *name)
{
	static const struct {
		const char *name;
		enum run_outcome outcome;
	} outcomes[] = {
		{"done", RUN_DONE},
		{"failed", RUN_FAILED},
		{"stopped", RUN_STOPPED},
		{"lapsed", RUN_EXPIRED},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		if (name && strcmp(name, outcomes[i].name) == 0)
			return outcomes[i].outcome;
	}
	return RUN_LOST;
}

/* Parses a row of running runs, a JSON array: task, attempt, checkpoint, percent of the work done,
 * cpu in use. */
static bool parse_running_row(const json_t *row, struct run_list_row *parsed)
{
	parsed->task = json_string_value(json_array_get(row, 0));
	parsed->attempt = (uint32_t)json_integer_value(json_array_get(row, 1));
	parsed->percent = (uint32_t)CLAMP(json_number_value(json_array_get(row, 3)), 0, PERCENT);
	parsed->cpu = (uint32_t)CLAMP(json_number_value(json_array_get(row, 4)), 0, UINT32_MAX);
	return parsed->task != NULL;
}

/* Parses a row of finished runs, a JSON array: number of the row, task, attempt, outcome,
 * checkpoint. */
static bool parse_finished_row(const json_t *row, struct run_list_row *parsed)
{
	json_int_t number = json_integer_value(json_array_get(row, 0));

	parsed->number = (uint64_t)number;
	parsed->task = json_string_value(json_array_get(row, 1));
	parsed->attempt = (uint32_t)json_integer_value(json_array_get(row, 2));
	parsed->outcome = run_outcome_from_name(json_string_value(json_array_get(row, 3)));
	return parsed->task != NULL && number > 0;
}

static struct run_list_row *parse_rows(const json_t *list,
				       bool (*parse_row)(const json_t *, struct run_list_row *),
				       size_t *count)
{
	struct run_list_row *rows = g_new0(struct run_list_row, json_array_size(list) + 1);
	const json_t *row;
	size_t i;

	*count = 0;
	json_array_foreach (list, i, row) {
		if (parse_row(row, &rows[*count]))
			(*count)++;
	}
	return rows;
}

enum status server_run_lists_parse(const struct http_response *reply, struct server_reply *parsed,
				   struct server_run_lists *lists, struct error *err)
{
	json_error_t json_error;
	json_t *document;

	*parsed = (struct server_reply){0};
	*lists = (struct server_run_lists){0};
	if (reply->status != STATUS_OK)
		return error_set(err, reply->status, "%s", reply->reason ? reply->reason : "");
	document = json_loadb(reply->body, reply->length, 0, &json_error);
	if (!document)
		return error_set(err, STATUS_INVALID_JSON, "HTTP code %d, line %d: %s", reply->code,
				 json_error.line, json_error.text);
	parse_reply_document(reply, document, parsed);
	if (reply->code != CODE_OK || !json_is_array(json_object_get(document, "running")) ||
	    !json_is_array(json_object_get(document, "finished"))) {
		json_decref(document);
		return error_set(err, STATUS_INVALID_REQUEST,
				 "HTTP code %d, answer without lists of runs", reply->code);
	}
	lists->document = document;
	lists->runs.running = parse_rows(json_object_get(document, "running"), parse_running_row,
					 &lists->runs.running_count);
	lists->runs.finished = parse_rows(json_object_get(document, "finished"), parse_finished_row,
					  &lists->runs.finished_count);
	return STATUS_OK;
}

void server_run_lists_clear(struct server_run_lists *lists)
{
	g_free((void *)lists->runs.running);
	g_free((void *)lists->runs.finished);
	json_decref(lists->document);
	*lists = (struct server_run_lists){0};
}
