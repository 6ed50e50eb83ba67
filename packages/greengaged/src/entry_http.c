#include "entry_http.h"

#include <civetweb.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entry_admission.h"
#include "entry_receive.h"
#include "event.h"
#include "tsan.h"

enum {
	REPLY_TIMEOUT_MARGIN_MS = 5000, /* added to the dispatcher's time limits */
	KEEP_ALIVE_TIMEOUT_MS = 60000,
	SINGLE_WRITE_MAX_BYTES = 65536, /* a larger body is written separately from the header */
	OPTION_TEXT_BYTES = 32,
	/* CivetWeb may report a header that exceeds its buffer as malformed. With a buffer larger
	 * than the limit, most oversized headers are read in full and refused as header_too_large.
	 */
	HEADER_BUFFER_FACTOR = 4,
};

/* Time at which this thread began to wait for the current request. CivetWeb may report a header
 * that did not arrive within http_body_limit_ms as a malformed request; handle_civetweb_error tells
 * these two cases apart by the time waited. */
static _Thread_local int64_t request_wait_start_us;

struct http_listener {
	struct board *board;
	struct mg_context *mg;
};

static const struct http_listener *get_listener(const struct mg_connection *conn)
{
	return mg_get_user_data(mg_get_context(conn));
}

static const char *reason_phrase(int code)
{
	switch (code) {
	case 200:
		return "OK";
	case 201:
		return "Created";
	case 202:
		return "Accepted";
	default:
		return code < 500 ? "Refused" : "Failed";
	}
}

static void write_response(struct mg_connection *conn, int code, const char *type,
			   const char *session, const void *body, size_t length, bool close)
{
	GString *out = g_string_sized_new(512 + (length <= SINGLE_WRITE_MAX_BYTES ? length : 0));

	g_string_printf(out,
			"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
			"Cache-Control: no-store\r\nConnection: %s\r\n",
			code, reason_phrase(code), type, length, close ? "close" : "keep-alive");
	if (session && session[0] != '\0')
		g_string_append_printf(out, "Greengage-Session: %s\r\n", session);
	g_string_append(out, "\r\n");
	if (length <= SINGLE_WRITE_MAX_BYTES)
		g_string_append_len(out, body, (gssize)length);
	/* Write errors are ignored: they mean that the client has disconnected, and no state
	 * depends on whether the response arrives. */
	mg_write(conn, out->str, out->len);
	if (length > SINGLE_WRITE_MAX_BYTES)
		mg_write(conn, body, length);
	g_string_free(out, TRUE);
}

static void write_json(struct mg_connection *conn, int code, GBytes *body, const char *session,
		       bool close)
{
	gsize length;
	const void *data = g_bytes_get_data(body, &length);

	write_response(conn, code, "application/json", session, data, length, close);
}

/* Writes an error response and closes the connection, since the rest of the request may be
 * unread. */
static void write_refusal(struct mg_connection *conn, const struct error *err)
{
	GBytes *body = entry_request_error_body(err);

	metric_add(METRIC_HTTP_REFUSED, 1);
	event_log(EVENT_HTTP_REFUSED, EV_S("status", status_name(err->status)),
		  EV_S("reason", err->message));
	write_json(conn, status_http_code(err->status), body, NULL, true);
	g_bytes_unref(body);
}

static void write_metrics(struct mg_connection *conn)
{
	GString *text = g_string_new(NULL);

	metrics_render(text);
	write_response(conn, 200, "text/plain; version=0.0.4", NULL, text->str, text->len, false);
	g_string_free(text, TRUE);
}

static void write_json_text(struct mg_connection *conn, int code, const char *text)
{
	write_response(conn, code, "application/json", NULL, text, strlen(text), false);
}

/* Answers requests that do not need the dispatcher. Returns false for all others. */
static bool answer_without_dispatcher(struct mg_connection *conn, struct board *board,
				      enum route_kind kind)
{
	const struct public_state *state;
	GBytes *body;
	bool ready;

	rcu_read_lock();
	state = rcu_dereference(board->public_state);
	TSAN_ACQUIRE(state);
	ready = state->ready;
	body = g_bytes_ref(state->config_body);
	TSAN_RELEASE(state);
	rcu_read_unlock();
	switch (kind) {
	case ROUTE_HEALTHZ:
		write_json_text(conn, 200, "{\"healthy\":true}");
		break;
	case ROUTE_READYZ:
		write_json_text(conn, ready ? 200 : 503,
				ready ? "{\"ready\":true}" : "{\"ready\":false}");
		break;
	case ROUTE_METRICS:
		write_metrics(conn);
		break;
	case ROUTE_CONFIG_GET:
		write_json(conn, 200, body, NULL, false);
		break;
	default:
		g_bytes_unref(body);
		return false;
	}
	g_bytes_unref(body);
	return true;
}

/* Parses TEXT, the body of a job or of a configuration patch, and takes ownership of it. The body
 * of a job that another entry owns is only stored: its owner parses it. */
static enum status parse_body(struct board *board, struct request *request, char *text,
			      size_t length, struct error *err)
{
	bool owned_by_other_entry =
		request->route.has_session &&
		!ident_equal(&request->route.session.incarnation, &board->incarnation);
	json_error_t json_error;

	if (request->route.kind == ROUTE_JOB_SUBMIT && !owned_by_other_entry)
		return entry_body_parse(text, length, (uint32_t)board->settings->max_tasks_per_job,
					&request->body, err);
	request->text = text;
	request->text_length = length;
	if (request->route.kind != ROUTE_CONFIG_PATCH)
		return STATUS_OK;
	request->patch = json_loadb(text, length, JSON_REJECT_DUPLICATES, &json_error);
	if (!request->patch)
		return error_set(err, STATUS_INVALID_JSON, "line %d, column %d: %.120s",
				 json_error.line, json_error.column, json_error.text);
	return STATUS_OK;
}

static enum status fill_request(struct mg_connection *conn, struct board *board,
				struct request *request, struct error *err)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	const struct receive_limits limits = {
		.max_bytes = (size_t)board->settings->http_body_max_bytes,
		.timeout_ms = board->settings->http_body_limit_ms,
	};
	size_t length = 0;
	char *text = NULL;
	enum status status;

	g_strlcpy(request->method, info->request_method, sizeof(request->method));
	request->path = g_strdup(info->local_uri_raw);
	request->command.run = entry_admission_handle_request;
	if (!entry_route_has_body(request->route.kind))
		return STATUS_OK;
	status = entry_receive_body(conn, &limits, &text, &length, err);
	if (status == STATUS_OK)
		status = parse_body(board, request, text, length, err);
	return status;
}

/* Returns how long to wait for the dispatcher's reply: the sum of the time limits that the
 * dispatcher itself enforces, plus a margin, so that the wait times out only if the dispatcher has
 * failed. */
static int64_t reply_timeout_ms(const struct board *board, const struct route *route)
{
	const struct daemon_settings *settings = board->settings;

	if (route->kind == ROUTE_CONFIG_PATCH)
		return settings->patch_wait_ms + REPLY_TIMEOUT_MARGIN_MS;
	return route->wait_ms + settings->forward_limit_ms + settings->claim_wait_ms +
	       REPLY_TIMEOUT_MARGIN_MS;
}

static void send_to_dispatcher(struct mg_connection *conn, struct board *board,
			       struct request *request)
{
	struct error err;

	entry_request_ref(request);
	mailbox_send(&board->mailbox, &request->command.node);
	if (!entry_request_wait(request, reply_timeout_ms(board, &request->route))) {
		error_set_unknown(&err, STATUS_TIMEOUT, "the dispatcher did not reply in time");
		write_refusal(conn, &err);
		return;
	}
	if (request->reply.http_status >= 300)
		metric_add(METRIC_HTTP_REFUSED, 1);
	write_json(conn, request->reply.http_status, request->reply.body, request->reply.session,
		   false);
}

/* Returns whether REPLY says that the job does not exist: STATUS_NOT_FOUND with the outcome "not
 * run". With the outcome "unknown", the job may have run. */
static bool reply_is_job_not_found(const struct reply *reply)
{
	const char *outcome = NULL;
	gsize length;
	const char *text = g_bytes_get_data(reply->body, &length);
	json_t *body = json_loadb(text, length, 0, NULL);
	bool not_run = reply->http_status == status_http_code(STATUS_NOT_FOUND) &&
		       json_unpack(body, "{s:{s:s}}", "error", "outcome", &outcome) == 0 &&
		       strcmp(outcome, outcome_name(OUTCOME_NOT_RUN)) == 0;

	json_decref(body);
	return not_run;
}

/*
 * Sends a GET for the job that the request on CONN names through the dispatcher. Returns true only
 * if the reply says that the job does not exist, and false if there is no reply. A refused request
 * may be a retry of an earlier one whose job is running, so the outcome "not run" may be reported
 * only after this check.
 */
static bool job_is_unknown(const struct mg_connection *conn, struct board *board,
			   const struct route *route)
{
	struct request *request = entry_request_new();
	bool unknown = false;

	request->route = *route;
	request->route.kind = ROUTE_JOB_GET;
	request->route.wait_ms = 0;
	g_strlcpy(request->method, "GET", sizeof(request->method));
	request->path = g_strdup(mg_get_request_info(conn)->local_uri_raw);
	request->command.run = entry_admission_handle_request;
	entry_request_ref(request);
	mailbox_send(&board->mailbox, &request->command.node);
	if (entry_request_wait(request, reply_timeout_ms(board, &request->route)))
		unknown = reply_is_job_not_found(&request->reply);
	entry_request_unref(request);
	return unknown;
}

/* Refuses a request that was not sent to the dispatcher. */
static void refuse_without_dispatcher(struct mg_connection *conn, struct board *board,
				      const struct route *route, struct error *err)
{
	if (entry_route_names_job(route->kind) && !job_is_unknown(conn, board, route))
		err->outcome = OUTCOME_UNKNOWN;
	write_refusal(conn, err);
}

static void handle_request(struct mg_connection *conn, struct board *board,
			   const struct route *route)
{
	struct request *request = entry_request_new();
	struct error err;

	request->route = *route;
	if (fill_request(conn, board, request, &err) == STATUS_OK)
		send_to_dispatcher(conn, board, request);
	else
		refuse_without_dispatcher(conn, board, route, &err);
	entry_request_unref(request);
}

static void handle_request_if_below_limit(struct mg_connection *conn, struct board *board,
					  const struct route *route)
{
	struct counter *open = &entry_metrics[METRIC_HTTP_OPEN];
	int64_t open_before = atomic_fetch_add(&open->value, 1);
	struct error err;

	if (open_before < board->settings->http_open_requests) {
		handle_request(conn, board, route);
	} else {
		error_set(&err, STATUS_TOO_MANY_REQUESTS,
			  "too many open requests, accepted: at most %" PRId64,
			  board->settings->http_open_requests);
		refuse_without_dispatcher(conn, board, route, &err);
	}
	atomic_fetch_sub(&open->value, 1);
}

static int64_t header_bytes(const struct mg_request_info *info)
{
	size_t bytes = strlen(info->request_method) + strlen(info->request_uri);

	if (info->query_string)
		bytes += strlen(info->query_string);
	for (int i = 0; i < info->num_headers; i++)
		bytes += strlen(info->http_headers[i].name) + strlen(info->http_headers[i].value);
	return (int64_t)bytes;
}

static void refuse_header(struct mg_connection *conn, const struct board *board)
{
	struct error err;

	/* The route of the request is not parsed, so its job is not looked up and the outcome is
	 * unknown. */
	error_set_unknown(&err, STATUS_HEADER_TOO_LARGE,
			  "request header too large, accepted: at most %" PRId64 " bytes",
			  board->settings->http_header_max_bytes);
	write_refusal(conn, &err);
}

static int begin_request(struct mg_connection *conn)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct board *board = get_listener(conn)->board;
	struct route route;
	struct error err;

	metric_add(METRIC_HTTP_REQUESTS, 1);
	if (header_bytes(info) > board->settings->http_header_max_bytes) {
		refuse_header(conn, board);
	} else if (!info->local_uri_raw) {
		error_set(&err, STATUS_INVALID_REQUEST,
			  "the request target is not a path on this server");
		write_refusal(conn, &err);
	} else if (entry_route_parse(info->request_method, info->local_uri_raw, info->query_string,
				     board->settings->http_wait_max_ms, &route,
				     &err) != STATUS_OK) {
		write_refusal(conn, &err);
	} else if (!answer_without_dispatcher(conn, board, route.kind)) {
		handle_request_if_below_limit(conn, board, &route);
	}
	return 1;
}

/* Answers requests that CivetWeb itself refuses, in the same format as all other errors. */
static int handle_civetweb_error(struct mg_connection *conn, int code, const char *message)
{
	const struct board *board = get_listener(conn)->board;
	int64_t waited_ms = (timer_clock_us() - request_wait_start_us) / US_PER_MS;
	struct error err;

	if (code == 413 || code == 431) {
		refuse_header(conn, board);
		return 0;
	}
	if (code == 408 || (code == 400 && waited_ms >= board->settings->http_body_limit_ms))
		error_set_unknown(&err, STATUS_REQUEST_TIMEOUT,
				  "the request did not arrive in time");
	else
		error_set_unknown(&err, code < 500 ? STATUS_INVALID_REQUEST : STATUS_INTERNAL,
				  "malformed request");
	write_refusal(conn, &err);
	return 0;
}

static int init_connection(const struct mg_connection *conn, void **data)
{
	request_wait_start_us = timer_clock_us();
	return 0;
}

static void end_request(const struct mg_connection *conn, int code)
{
	request_wait_start_us = timer_clock_us();
}

static int suppress_log_message(const struct mg_connection *conn, const char *message)
{
	return 1;
}

static void *init_thread(const struct mg_context *context, int thread_type)
{
	rcu_register_thread();
	return NULL;
}

static void exit_thread(const struct mg_context *context, int thread_type, void *thread_data)
{
	rcu_unregister_thread();
}

static const struct mg_callbacks callbacks = {
	.begin_request = begin_request,
	.end_request = end_request,
	.init_connection = init_connection,
	.http_error = handle_civetweb_error,
	.log_message = suppress_log_message,
	.log_access = suppress_log_message,
	.init_thread = init_thread,
	.exit_thread = exit_thread,
};

static struct mg_context *start_civetweb(struct http_listener *listener,
					 const struct daemon_settings *settings)
{
	char threads[OPTION_TEXT_BYTES];
	char header[OPTION_TEXT_BYTES];
	char timeout[OPTION_TEXT_BYTES];
	char keep_alive[OPTION_TEXT_BYTES];
	const char *options[] = {
		"listening_ports",
		settings->http_address,
		"num_threads",
		threads,
		"max_request_size",
		header,
		"request_timeout_ms",
		timeout,
		"enable_keep_alive",
		"yes",
		"keep_alive_timeout_ms",
		keep_alive,
		"tcp_nodelay",
		"1",
		NULL,
	};

	g_snprintf(threads, sizeof(threads), "%" PRId64, settings->http_threads);
	g_snprintf(header, sizeof(header), "%" PRId64,
		   settings->http_header_max_bytes * HEADER_BUFFER_FACTOR);
	g_snprintf(timeout, sizeof(timeout), "%" PRId64, settings->http_body_limit_ms);
	g_snprintf(keep_alive, sizeof(keep_alive), "%d", KEEP_ALIVE_TIMEOUT_MS);
	return mg_start(&callbacks, listener, options);
}

enum status entry_http_start(struct board *board, struct http_listener **out, struct error *err)
{
	struct http_listener *listener = g_new0(struct http_listener, 1);
	struct mg_server_port port = {0};

	listener->board = board;
	mg_init_library(0);
	listener->mg = start_civetweb(listener, board->settings);
	if (!listener->mg) {
		mg_exit_library();
		g_free(listener);
		return error_set(err, STATUS_NETWORK, "http.address: cannot listen on %s",
				 board->settings->http_address);
	}
	mg_get_server_ports(listener->mg, 1, &port);
	event_log(EVENT_HTTP_LISTENING, EV_S("address", board->settings->http_address),
		  EV_I("port", port.port));
	*out = listener;
	return STATUS_OK;
}

void entry_http_stop(struct http_listener *listener)
{
	mg_stop(listener->mg);
	mg_exit_library();
	g_free(listener);
}
