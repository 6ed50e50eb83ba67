#include "server_api.h"

#include <string.h>

enum {
	CODE_OK = 200,
	CODE_BAD_REQUEST = 400,
	CODE_CONFLICT = 409,
	CODE_OTHER_LIFE = 421,
	CODE_TOO_MANY = 429,
	CODE_UNAVAILABLE = 503
};

static const char instances_prefix[] = "/greengagefront/instances/";

enum server_message server_message_parse(const struct http_request *request, char *id)
{
	const char *rest = http_request_path(request);
	size_t length;

	if (http_request_method(request) != HTTP_METHOD_POST ||
	    !g_str_has_prefix(rest, instances_prefix))
		return SERVER_UNKNOWN;
	rest += strlen(instances_prefix);
	length = strcspn(rest, "/");
	if (length == 0 || length >= NAME_BYTES)
		return SERVER_UNKNOWN;
	memcpy(id, rest, length);
	id[length] = '\0';
	if (strcmp(rest + length, "/heartbeat") == 0)
		return SERVER_HEARTBEAT;
	if (strcmp(rest + length, "/deregister") == 0)
		return SERVER_DEREGISTER;
	return SERVER_UNKNOWN;
}

static const char *text(const json_t *object, const char *name)
{
	return json_string_value(json_object_get(object, name));
}

static bool read_u32(const json_t *object, const char *name, uint32_t *value)
{
	const json_t *field = json_object_get(object, name);
	json_int_t number = json_integer_value(field);

	if (!json_is_integer(field) || number < 0 || number > UINT32_MAX)
		return false;
	*value = (uint32_t)number;
	return true;
}

static bool read_state(const json_t *document, bool *leaving)
{
	const char *state = text(document, "state");

	*leaving = state && strcmp(state, "draining") == 0;
	return *leaving || (state && strcmp(state, "ready") == 0);
}

static bool read_labels(const json_t *document, struct server_heartbeat *heartbeat)
{
	const json_t *labels = json_object_get(document, "labels");
	const json_t *label;
	size_t i;

	if (labels && !json_is_array(labels))
		return false;
	json_array_foreach (labels, i, label) {
		if (!json_is_string(label))
			return false;
		if (heartbeat->label_count < SERVER_LABELS_MAX)
			heartbeat->labels[heartbeat->label_count++] = json_string_value(label);
	}
	return true;
}

static enum status read_heartbeat(struct server_heartbeat *heartbeat, struct error *err)
{
	const json_t *document = heartbeat->document;
	const json_t *capacity = json_object_get(document, "capacity");

	heartbeat->service = text(document, "service");
	heartbeat->address = text(document, "addr");
	heartbeat->zone = text(document, "zone");
	if (!heartbeat->service || !heartbeat->address || !heartbeat->zone)
		return error_set(err, STATUS_INVALID_REQUEST,
				 "service, addr and zone must be strings");
	if (strlen(heartbeat->service) >= NAME_BYTES || strlen(heartbeat->zone) >= NAME_BYTES)
		return error_set(err, STATUS_INVALID_REQUEST,
				 "service and zone: accepted: up to %d bytes", NAME_BYTES - 1);
	if (!read_state(document, &heartbeat->leaving))
		return error_set(err, STATUS_INVALID_REQUEST, "state: accepted: ready, draining");
	if (!read_u32(capacity, "cpu", &heartbeat->total.cpu) ||
	    !read_u32(capacity, "memMb", &heartbeat->total.memory_mb))
		return error_set(err, STATUS_INVALID_REQUEST,
				 "capacity: cpu and memMb must be whole numbers");
	if (!read_u32(capacity, "gpu", &heartbeat->total.gpus))
		heartbeat->total.gpus = 0;
	if (!read_labels(document, heartbeat))
		return error_set(err, STATUS_INVALID_REQUEST, "labels must be strings");
	if (!json_is_integer(json_object_get(document, "seq")))
		return error_set(err, STATUS_INVALID_REQUEST, "seq must be a whole number");
	heartbeat->sequence = (uint64_t)json_integer_value(json_object_get(document, "seq"));
	heartbeat->started_ms = json_integer_value(json_object_get(document, "born"));
	heartbeat->clock_ms = json_integer_value(json_object_get(document, "clockMs"));
	heartbeat->remaining_ms = json_integer_value(json_object_get(document, "remainingMs"));
	return STATUS_OK;
}

enum status server_heartbeat_parse(const char *id, const char *body, size_t length,
				   struct server_heartbeat *heartbeat, struct error *err)
{
	json_error_t problem;
	enum status status;

	*heartbeat = (struct server_heartbeat){0};
	g_strlcpy(heartbeat->id, id, sizeof(heartbeat->id));
	heartbeat->document = json_loadb(body, length, 0, &problem);
	if (!heartbeat->document)
		return error_set(err, STATUS_INVALID_JSON, "line %d: %s", problem.line,
				 problem.text);
	status = read_heartbeat(heartbeat, err);
	if (status != STATUS_OK)
		server_heartbeat_clear(heartbeat);
	return status;
}

void server_heartbeat_clear(struct server_heartbeat *heartbeat)
{
	json_decref(heartbeat->document);
	heartbeat->document = NULL;
}

void server_answer_acknowledged(struct http_request *request)
{
	http_answer(request, CODE_OK, NULL, "{}");
}

void server_answer_error(struct http_request *request, const struct error *err)
{
	char *body = g_strdup_printf("{\"error\":\"%s\"}", status_name(err->status));

	http_answer(request, status_http_code(err->status), NULL, body);
	g_free(body);
}

static char *dump(json_t *document)
{
	char *dumped = json_dumps(document, JSON_COMPACT);
	char *body = g_strdup(dumped ? dumped : "{}");

	free(dumped);
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
	return dump(document);
}

char *server_stop_body(const char *task, uint32_t attempt, int64_t epoch)
{
	json_t *document = json_object();

	json_object_set_new(document, "task", json_string(task));
	json_object_set_new(document, "attempt", json_integer(attempt));
	json_object_set_new(document, "fence", json_integer(epoch));
	return dump(document);
}

char *server_hold_body(int64_t expires_clock_ms, int64_t epoch, uint64_t seen_end, int64_t wait_ms)
{
	json_t *document = json_object();

	if (expires_clock_ms > 0)
		json_object_set_new(document, "expiresMs", json_integer(expires_clock_ms));
	json_object_set_new(document, "fence", json_integer(epoch));
	json_object_set_new(document, "ackCursor", json_integer((json_int_t)seen_end));
	if (wait_ms > 0)
		json_object_set_new(document, "waitMs", json_integer(wait_ms));
	return dump(document);
}

char *server_id_header(const char *id)
{
	return *id ? g_strdup_printf("X-Greengagefront-Expect-Instance: %s\r\n", id) : NULL;
}

static enum start_answer read_reason(const char *reason, struct server_reply *read)
{
	if (reason && strcmp(reason, "room") == 0)
		return START_NO_RESOURCES;
	if (reason && strcmp(reason, "old") == 0)
		return START_SUPERSEDED;
	if (reason && strcmp(reason, "late") == 0)
		return START_LATE;
	read->stale_epoch = reason && strcmp(reason, "fence") == 0;
	return START_INVALID;
}

static void read_document(const struct http_reply *reply, const json_t *document,
			  struct server_reply *read)
{
	read->answered = true;
	read->clock_ms = json_integer_value(json_object_get(document, "clockMs"));
	read->started_ms = json_integer_value(json_object_get(document, "born"));
	switch (reply->code) {
	case CODE_OK:
		read->start = START_STARTED;
		break;
	case CODE_CONFLICT:
		read->start = read_reason(text(document, "reason"), read);
		break;
	case CODE_OTHER_LIFE:
		read->wrong_instance = true;
		read->start = START_UNHEALTHY;
		break;
	case CODE_TOO_MANY:
	case CODE_UNAVAILABLE:
		read->start = START_UNHEALTHY;
		break;
	default:
		read->start = START_INVALID;
		break;
	}
}

void server_reply_parse(const struct http_reply *reply, struct server_reply *read)
{
	json_t *document;

	*read = (struct server_reply){.start = START_UNANSWERED};
	if (reply->status != STATUS_OK) {
		if (!reply->sent)
			read->start = START_NOT_SENT;
		return;
	}
	document = json_loadb(reply->body, reply->length, 0, NULL);
	read_document(reply, document, read);
	json_decref(document);
}

static enum run_outcome outcome_of(const char *how)
{
	static const struct {
		const char *how;
		enum run_outcome outcome;
	} outcomes[] = {
		{"done", RUN_DONE},
		{"failed", RUN_FAILED},
		{"stopped", RUN_STOPPED},
		{"lapsed", RUN_EXPIRED},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		if (how && strcmp(how, outcomes[i].how) == 0)
			return outcomes[i].outcome;
	}
	return RUN_LOST;
}

/* Rows are lists without names. Running: task, attempt, checkpoint, percent of the work done, and
 * cpu in use. Finished: number, task, attempt, how, checkpoint. */
static bool read_running(const json_t *row, struct run_list_row *read)
{
	read->task = json_string_value(json_array_get(row, 0));
	read->attempt = (uint32_t)json_integer_value(json_array_get(row, 1));
	read->percent = (uint32_t)json_number_value(json_array_get(row, 3));
	read->cpu = (uint32_t)json_number_value(json_array_get(row, 4));
	return read->task != NULL;
}

static bool read_finished(const json_t *row, struct run_list_row *read)
{
	read->number = (uint64_t)json_integer_value(json_array_get(row, 0));
	read->task = json_string_value(json_array_get(row, 1));
	read->attempt = (uint32_t)json_integer_value(json_array_get(row, 2));
	read->outcome = outcome_of(json_string_value(json_array_get(row, 3)));
	return read->task != NULL && read->number > 0;
}

static struct run_list_row *
read_rows(const json_t *list, bool (*read)(const json_t *, struct run_list_row *), size_t *count)
{
	struct run_list_row *rows = g_new0(struct run_list_row, json_array_size(list) + 1);
	const json_t *row;
	size_t i;

	*count = 0;
	json_array_foreach (list, i, row) {
		if (read(row, &rows[*count]))
			(*count)++;
	}
	return rows;
}

enum status server_lists_parse(const struct http_reply *reply, struct server_reply *read,
			       struct server_lists *lists, struct error *err)
{
	json_error_t problem;
	json_t *document;

	*read = (struct server_reply){0};
	*lists = (struct server_lists){0};
	if (reply->status != STATUS_OK)
		return error_set(err, reply->status, "%s", reply->reason ? reply->reason : "");
	document = json_loadb(reply->body, reply->length, 0, &problem);
	if (!document)
		return error_set(err, STATUS_INVALID_JSON, "code %d, line %d: %s", reply->code,
				 problem.line, problem.text);
	read_document(reply, document, read);
	if (reply->code != CODE_OK || !json_is_array(json_object_get(document, "running")) ||
	    !json_is_array(json_object_get(document, "finished"))) {
		json_decref(document);
		return error_set(err, STATUS_INVALID_REQUEST, "code %d, no lists", reply->code);
	}
	lists->document = document;
	lists->list.running = read_rows(json_object_get(document, "running"), read_running,
					&lists->list.running_count);
	lists->list.finished = read_rows(json_object_get(document, "finished"), read_finished,
					 &lists->list.finished_count);
	return STATUS_OK;
}

void server_lists_clear(struct server_lists *lists)
{
	g_free((void *)lists->list.running);
	g_free((void *)lists->list.finished);
	json_decref(lists->document);
	*lists = (struct server_lists){0};
}
