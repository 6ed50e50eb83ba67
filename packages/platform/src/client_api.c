#include "client_api.h"

#include <jansson.h>
#include <string.h>

enum {
	SPEC_MAX_BYTES = 4000,
	TASKS_MAX = 10000,
	JOB_ID_DIGITS = CLIENT_JOB_ID_BYTES - 1,
	WAIT_MAX_MS = 3600000,
	CODE_OK = 200,
	CODE_BAD_REQUEST = 400,
	CODE_NOT_FOUND = 404,
	CODE_METHOD_NOT_ALLOWED = 405,
	CODE_GONE = 410,
	CODE_TOO_LARGE = 413,
	CODE_TOO_MANY_REQUESTS = 429,
	CODE_BAD_GATEWAY = 502,
	CODE_UNAVAILABLE = 503,
	CODE_GATEWAY_TIMEOUT = 504
};

static bool is_job_id(const char *text)
{
	size_t length = strspn(text, "0123456789abcdefABCDEF");

	return length == JOB_ID_DIGITS && text[length] == '\0';
}

static int64_t parse_wait_ms(const struct http_request *request)
{
	const char *text = http_request_header(request, "X-Greengagefront-Deadline-Ms");
	guint64 wait_ms;

	if (!text || !g_ascii_string_to_unsigned(text, 10, 1, WAIT_MAX_MS, &wait_ms, NULL))
		return 0;
	return (int64_t)wait_ms;
}

enum status client_request_parse(const struct http_request *request, size_t prefix_bytes,
				 struct client_request *parsed, struct error *err)
{
	const char *suffix = http_request_path(request) + prefix_bytes;
	enum http_verb method = http_request_method(request);

	*parsed = (struct client_request){.wait_ms = parse_wait_ms(request)};
	if (*suffix == '\0' && method == HTTP_METHOD_GET) {
		parsed->action = CLIENT_PENDING;
		return STATUS_OK;
	}
	if (!is_job_id(suffix))
		return error_set(err, STATUS_NOT_FOUND,
				 "the path does not end in a job id of 16 hexadecimal digits");
	g_strlcpy(parsed->id, suffix, sizeof(parsed->id));
	parsed->job_number = client_job_number(suffix);
	switch (method) {
	case HTTP_METHOD_POST:
		parsed->action = CLIENT_SUBMIT;
		return STATUS_OK;
	case HTTP_METHOD_GET:
		parsed->action = CLIENT_STATE;
		return STATUS_OK;
	case HTTP_METHOD_DELETE:
		parsed->action = CLIENT_CANCEL;
		return STATUS_OK;
	default:
		return error_set(err, STATUS_METHOD_NOT_ALLOWED, "accepted: GET, POST, DELETE");
	}
}

bool client_is_readiness_probe(const struct http_request *request)
{
	return strcmp(http_request_path(request), "/greengagefront/readyz") == 0;
}

/* Fields that request unsupported features. Like an absent field, null, 0, false, "" and [] request
 * nothing. */
static const char *const unsupported_job_fields[] = {"repeats", "longRunning", "startMs",
						     "periodMs"};
static const char *const unsupported_step_fields[] = {
	"dependsOn",   "gang",		"sameRack", "requires", "affinity",	 "maxPerServer",
	"longRunning", "savesProgress", "fills",    "targetMs", "maxUnavailable"};

static bool is_set(const json_t *value)
{
	if (!value || json_is_null(value) || json_is_false(value))
		return false;
	if (json_is_number(value))
		return json_number_value(value) != 0;
	if (json_is_string(value))
		return json_string_length(value) > 0;
	if (json_is_array(value))
		return json_array_size(value) > 0;
	return true;
}

static enum status check_unsupported_fields(const json_t *object, const char *const *names,
					    size_t count, struct error *err)
{
	for (size_t i = 0; i < count; i++) {
		if (is_set(json_object_get(object, names[i])))
			return error_set(err, STATUS_SERVER_REFUSED,
					 "jobs with the field %s are not supported", names[i]);
	}
	return STATUS_OK;
}

/* Parses a whole number from 0 to MAX. A missing field is read as 0. */
static enum status parse_count(const json_t *object, const char *name, int64_t max, int64_t *value,
			       struct error *err)
{
	const json_t *field = json_object_get(object, name);

	*value = 0;
	if (!field)
		return STATUS_OK;
	if (!json_is_integer(field) || json_integer_value(field) < 0 ||
	    json_integer_value(field) > max)
		return error_set(err, STATUS_INVALID_REQUEST,
				 "%s: accepted: a whole number from 0 to %lld", name,
				 (long long)max);
	*value = json_integer_value(field);
	return STATUS_OK;
}

static enum status parse_step(const json_t *step, struct client_job *job, struct error *err)
{
	int64_t count = 0, cpu = 0, memory_mb = 0, gpus = 0;
	enum status status;

	status = check_unsupported_fields(step, unsupported_step_fields,
					  G_N_ELEMENTS(unsupported_step_fields), err);
	if (status == STATUS_OK)
		status = parse_count(step, "count", TASKS_MAX, &count, err);
	if (status == STATUS_OK)
		status = parse_count(step, "cpu", INT32_MAX, &cpu, err);
	if (status == STATUS_OK)
		status = parse_count(step, "memMb", INT32_MAX, &memory_mb, err);
	if (status == STATUS_OK)
		status = parse_count(step, "gpu", INT32_MAX, &gpus, err);
	if (status == STATUS_OK)
		status = parse_count(step, "estMs", INT32_MAX, &job->estimated_run_ms, err);
	if (status != STATUS_OK)
		return status;
	if (count == 0)
		return error_set(err, STATUS_INVALID_REQUEST, "count: accepted: 1 to %d",
				 TASKS_MAX);
	job->task_count = (uint32_t)count;
	job->task_resources = (struct resources){
		.cpu = (uint32_t)cpu, .memory_mb = (uint32_t)memory_mb, .gpus = (uint32_t)gpus};
	return STATUS_OK;
}

static enum status parse_job(const json_t *document, struct client_job *job, struct error *err)
{
	const json_t *spec = json_object_get(document, "spec");
	const json_t *steps = json_object_get(document, "phases");
	enum status status;

	if (!json_is_object(document))
		return error_set(err, STATUS_INVALID_REQUEST, "the body must be an object");
	if (spec && (!json_is_string(spec) || json_string_length(spec) > SPEC_MAX_BYTES))
		return error_set(err, STATUS_INVALID_REQUEST,
				 "spec: accepted: a string of up to %d bytes", SPEC_MAX_BYTES);
	if (!json_is_array(steps) || json_array_size(steps) == 0)
		return error_set(err, STATUS_INVALID_REQUEST, "phases: accepted: a list of steps");
	if (json_array_size(steps) > 1)
		return error_set(err, STATUS_SERVER_REFUSED,
				 "jobs of several steps are not supported (phases)");
	if (!is_set(json_object_get(document, "bestEffort")))
		return error_set(err, STATUS_SERVER_REFUSED,
				 "jobs that must be stored are not supported (bestEffort)");
	status = check_unsupported_fields(document, unsupported_job_fields,
					  G_N_ELEMENTS(unsupported_job_fields), err);
	if (status == STATUS_OK)
		status = parse_step(json_array_get(steps, 0), job, err);
	if (status == STATUS_OK)
		job->spec = g_bytes_new(spec ? json_string_value(spec) : "",
					spec ? json_string_length(spec) : 0);
	return status;
}

enum status client_job_parse(const char *body, size_t length, struct client_job *job,
			     struct error *err)
{
	json_error_t json_error;
	json_t *document = json_loadb(body, length, JSON_REJECT_DUPLICATES, &json_error);
	enum status status;

	*job = (struct client_job){0};
	if (!document)
		return error_set(err, STATUS_INVALID_JSON, "line %d: %s", json_error.line,
				 json_error.text);
	status = parse_job(document, job, err);
	json_decref(document);
	return status;
}

void client_job_clear(struct client_job *job)
{
	g_clear_pointer(&job->spec, g_bytes_unref);
}

static void answer_error(struct http_request *request, int code, uint32_t retry_after_s,
			 enum status status, const char *reason)
{
	char *extra = NULL;
	json_t *document = json_pack("{s:s, s:s}", "error", status_name(status), "message", reason);
	char *body = document ? json_dumps(document, JSON_COMPACT) : NULL;

	if (retry_after_s > 0)
		extra = g_strdup_printf("Retry-After: %u\r\n", retry_after_s);
	http_respond(request, code, extra, body ? body : "{}");
	free(body);
	json_decref(document);
	g_free(extra);
}

static int rejection_code(enum status status)
{
	switch (status) {
	case STATUS_DEADLINE_UNREACHABLE:
	case STATUS_QUEUE_FULL:
	case STATUS_TOO_MANY_REQUESTS:
		return CODE_TOO_MANY_REQUESTS;
	default:
		return CODE_UNAVAILABLE;
	}
}

void client_answer_job_end(struct http_request *request, const struct job_end *end)
{
	if (end->status == STATUS_OK || end->status == STATUS_TASK_FAILED)
		client_answer_result(request, end->status == STATUS_OK);
	else if (end->outcome == OUTCOME_NOT_RUN)
		answer_error(request, rejection_code(end->status), end->retry_after_s, end->status,
			     end->reason);
	else if (end->status == STATUS_DEADLINE_PASSED)
		answer_error(request, CODE_GATEWAY_TIMEOUT, 0, end->status, end->reason);
	else
		answer_error(request, CODE_BAD_GATEWAY, 0, end->status, end->reason);
}

void client_answer_error(struct http_request *request, const struct error *err)
{
	int code;

	switch (err->status) {
	case STATUS_NOT_FOUND:
		code = CODE_NOT_FOUND;
		break;
	case STATUS_METHOD_NOT_ALLOWED:
		code = CODE_METHOD_NOT_ALLOWED;
		break;
	case STATUS_BODY_TOO_LARGE:
		code = CODE_TOO_LARGE;
		break;
	case STATUS_INVALID_JSON:
	case STATUS_INVALID_REQUEST:
		code = CODE_BAD_REQUEST;
		break;
	default:
		code = CODE_UNAVAILABLE;
		break;
	}
	answer_error(request, code, code == CODE_UNAVAILABLE ? 1 : 0, err->status, err->message);
}

void client_answer_pending(struct http_request *request, uint32_t pending)
{
	char body[64];

	g_snprintf(body, sizeof(body), "{\"pending\":%u}", pending);
	http_respond(request, CODE_OK, NULL, body);
}

void client_answer_state(struct http_request *request, bool started)
{
	http_respond(request, CODE_OK, NULL,
		     started ? "{\"state\":\"active\"}" : "{\"state\":\"queued\"}");
}

void client_answer_result(struct http_request *request, bool completed)
{
	http_respond(request, CODE_OK, NULL,
		     completed ? "{\"state\":\"completed\"}" : "{\"state\":\"failed\"}");
}

uint64_t client_job_number(const char *id)
{
	return g_ascii_strtoull(id, NULL, 16);
}

void client_answer_empty(struct http_request *request)
{
	http_respond(request, CODE_OK, NULL, "{}");
}

void client_answer_gone(struct http_request *request)
{
	http_respond(request, CODE_GONE, NULL, "{}");
}

char *client_task_name(const char *job, uint32_t step, uint32_t index)
{
	/* The 0 is the occurrence number, which differs for repeated jobs only; these are not
	 * supported. */
	return g_strdup_printf("%s.0.%u.%u", job, step, index);
}
