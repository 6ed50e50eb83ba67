#include "agent_http.h"

#include <civetweb.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent_metrics.h"
#include "agent_server.h"
#include "event.h"

enum {
	MAX_HTTP_THREADS = 8, /* for one server, one metrics scraper and a few operators; each
				 thread costs memory */
	BODY_MAX_BYTES = 65536,
	REPLY_TIMEOUT_MS = 2000, /* the dispatcher answers within microseconds unless it hangs */
	OPTION_TEXT_BYTES = 32,
	ANSWER_BODY_BYTES = 32,
	CHUNK_BYTES = 4096,
};

enum command_kind {
	COMMAND_ANNOUNCE,
	COMMAND_LEAVE,
};

/* A request to the dispatcher. The dispatcher and the waiting HTTP thread hold one reference each.
 */
struct agent_command {
	struct mailbox_node node; /* must be first: mailbox_take returns a pointer to it */
	atomic_int references;
	enum command_kind kind;
	struct agent_announcement announcement;

	GMutex lock;
	GCond answered;
	bool done;
	enum status status;
	uint32_t running; /* number of tasks at the server */
};

struct agent_http {
	struct agent_board *board;
	struct mg_context *server;
};

static struct agent_command *command_new(enum command_kind kind)
{
	struct agent_command *command = g_new0(struct agent_command, 1);

	command->kind = kind;
	command->references = 1;
	g_mutex_init(&command->lock);
	g_cond_init(&command->answered);
	return command;
}

static void command_unref(struct agent_command *command)
{
	if (atomic_fetch_sub(&command->references, 1) > 1)
		return;
	agent_announcement_clear(&command->announcement);
	g_mutex_clear(&command->lock);
	g_cond_clear(&command->answered);
	g_free(command);
}

static void command_answer(struct agent_command *command, enum status status, uint32_t running)
{
	g_mutex_lock(&command->lock);
	command->done = true;
	command->status = status;
	command->running = running;
	g_cond_signal(&command->answered);
	g_mutex_unlock(&command->lock);
	command_unref(command);
}

/* Waits for the answer. Returns false after REPLY_TIMEOUT_MS without one. */
static bool command_wait(struct agent_command *command)
{
	int64_t end_us = g_get_monotonic_time() + (int64_t)REPLY_TIMEOUT_MS * US_PER_MS;
	bool done;

	g_mutex_lock(&command->lock);
	while (!command->done && g_cond_wait_until(&command->answered, &command->lock, end_us))
		;
	done = command->done;
	g_mutex_unlock(&command->lock);
	return done;
}

void agent_http_execute_commands(struct agent_board *board)
{
	struct agent_command *command;

	while ((command = (struct agent_command *)mailbox_take(&board->commands))) {
		enum status status = STATUS_OK;

		if (command->kind == COMMAND_LEAVE)
			agent_server_withdraw(board);
		else if (board->draining)
			status = STATUS_DRAINING;
		else
			agent_server_announce(board, &command->announcement);
		command_answer(command, status, gate_admitted_count(board->gate));
	}
}

static int respond(struct mg_connection *conn, int status, const char *type, const char *body)
{
	char *text = g_strdup_printf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: "
				     "%zu\r\n\r\n%s",
				     status, mg_get_response_code_text(conn, status), type,
				     strlen(body), body);

	mg_write(conn, text, strlen(text));
	g_free(text);
	return status;
}

static int respond_error(struct mg_connection *conn, const struct error *err)
{
	json_t *document =
		json_pack("{s:{s:s, s:s, s:s}}", "error", "type", status_name(err->status),
			  "outcome", outcome_name(err->outcome), "message", err->message);
	char *text = document ? json_dumps(document, JSON_COMPACT) : NULL;
	int status = respond(conn, status_http_code(err->status), "application/json",
			     text ? text : "{}");

	event_log_error(EVENT_HTTP_REFUSED, err);
	free(text);
	json_decref(document);
	return status;
}

static int respond_method_not_allowed(struct mg_connection *conn)
{
	struct error err;

	error_set(&err, STATUS_METHOD_NOT_ALLOWED, "method not allowed for this path");
	return respond_error(conn, &err);
}

/* Sends COMMAND to the dispatcher, responds to the client with the result, and drops the caller's
 * reference. */
static int send_command_and_respond(struct mg_connection *conn, struct agent_board *board,
				    struct agent_command *command)
{
	struct error err;
	char body[ANSWER_BODY_BYTES];
	int status;

	atomic_fetch_add(&command->references, 1);
	mailbox_send(&board->commands, &command->node);
	if (!command_wait(command)) {
		error_set_unknown(&err, STATUS_TIMEOUT, "the agent did not answer in time");
		status = respond_error(conn, &err);
	} else if (command->status != STATUS_OK) {
		error_set(&err, command->status, "the agent is shutting down");
		status = respond_error(conn, &err);
	} else {
		snprintf(body, sizeof(body), "{\"running\":%u}", command->running);
		status = respond(conn, 200, "application/json", body);
	}
	command_unref(command);
	return status;
}

/* Reads the body and parses it as JSON. Returns NULL and sets ERR on failure. */
static json_t *read_body(struct mg_connection *conn, struct error *err)
{
	GString *body = g_string_new(NULL);
	char chunk[CHUNK_BYTES];
	json_error_t json_error;
	json_t *value = NULL;
	int count;

	while (body->len <= BODY_MAX_BYTES && (count = mg_read(conn, chunk, sizeof(chunk))) > 0)
		g_string_append_len(body, chunk, count);
	if (body->len > BODY_MAX_BYTES) {
		mg_disable_connection_keep_alive(conn);
		error_set(err, STATUS_BODY_TOO_LARGE,
			  "request body too large, accepted: at most %d bytes", BODY_MAX_BYTES);
	} else {
		value = json_loadb(body->str, body->len, JSON_REJECT_DUPLICATES, &json_error);
		if (!value)
			error_set(err, STATUS_INVALID_JSON, "line %d: %s", json_error.line,
				  json_error.text);
	}
	g_string_free(body, TRUE);
	return value;
}

static int handle_announcement(struct mg_connection *conn, struct agent_board *board)
{
	struct agent_command *command;
	struct error err;
	enum status status;
	json_t *body = read_body(conn, &err);

	if (!body)
		return respond_error(conn, &err);
	command = command_new(COMMAND_ANNOUNCE);
	status = agent_announcement_parse(body, &command->announcement, &err);
	json_decref(body);
	if (status == STATUS_OK)
		return send_command_and_respond(conn, board, command);
	command_unref(command);
	return respond_error(conn, &err);
}

static int handle_server(struct mg_connection *conn, void *context)
{
	const char *method = mg_get_request_info(conn)->request_method;

	if (strcmp(method, "PUT") == 0)
		return handle_announcement(conn, context);
	if (strcmp(method, "DELETE") == 0)
		return send_command_and_respond(conn, context, command_new(COMMAND_LEAVE));
	return respond_method_not_allowed(conn);
}

static bool is_get(struct mg_connection *conn)
{
	return strcmp(mg_get_request_info(conn)->request_method, "GET") == 0;
}

static int handle_health(struct mg_connection *conn, void *context)
{
	if (!is_get(conn))
		return respond_method_not_allowed(conn);
	return respond(conn, 200, "application/json", "{\"ok\":true}");
}

static int handle_ready(struct mg_connection *conn, void *context)
{
	struct agent_board *board = context;
	bool ready = atomic_load(&board->ready);

	if (!is_get(conn))
		return respond_method_not_allowed(conn);
	return respond(conn, ready ? 200 : 503, "application/json",
		       ready ? "{\"ready\":true}" : "{\"ready\":false}");
}

static int handle_metrics(struct mg_connection *conn, void *context)
{
	GString *text;
	int status;

	if (!is_get(conn))
		return respond_method_not_allowed(conn);
	text = g_string_new(NULL);
	metrics_render(text);
	status = respond(conn, 200, "text/plain; version=0.0.4", text->str);
	g_string_free(text, TRUE);
	return status;
}

static int handle_unknown_path(struct mg_connection *conn, void *context)
{
	struct error err;

	error_set(&err, STATUS_NOT_FOUND, "no such path");
	return respond_error(conn, &err);
}

static int discard_log_message(const struct mg_connection *conn, const char *message)
{
	return 1;
}

enum status agent_http_start(struct agent_board *board, struct agent_http **http, struct error *err)
{
	const struct daemon_settings *settings = board->settings;
	const struct mg_callbacks callbacks = {.log_message = discard_log_message};
	struct mg_server_port port = {0};
	char threads[OPTION_TEXT_BYTES];
	char max_request_size[OPTION_TEXT_BYTES];
	char request_timeout_ms[OPTION_TEXT_BYTES];
	const char *options[] = {"listening_ports",
				 settings->http_address,
				 "num_threads",
				 threads,
				 "max_request_size",
				 max_request_size,
				 "request_timeout_ms",
				 request_timeout_ms,
				 "enable_keep_alive",
				 "yes",
				 "keep_alive_timeout_ms",
				 "5000",
				 "tcp_nodelay",
				 "1",
				 NULL};
	struct agent_http *self;

	snprintf(threads, sizeof(threads), "%d",
		 (int)MIN(settings->http_threads, MAX_HTTP_THREADS));
	snprintf(max_request_size, sizeof(max_request_size), "%d",
		 (int)settings->http_header_max_bytes);
	snprintf(request_timeout_ms, sizeof(request_timeout_ms), "%d",
		 (int)settings->http_body_limit_ms);
	mg_init_library(0);
	self = g_new0(struct agent_http, 1);
	self->board = board;
	self->server = mg_start(&callbacks, self, options);
	if (!self->server) {
		g_free(self);
		return error_set(err, STATUS_NETWORK, "cannot listen on %s",
				 settings->http_address);
	}
	mg_set_request_handler(self->server, "/v1/server$", handle_server, board);
	mg_set_request_handler(self->server, "/healthz$", handle_health, board);
	mg_set_request_handler(self->server, "/readyz$", handle_ready, board);
	mg_set_request_handler(self->server, "/metrics$", handle_metrics, board);
	mg_set_request_handler(self->server, "/", handle_unknown_path, board);
	mg_get_server_ports(self->server, 1, &port);
	event_log(EVENT_HTTP_LISTENING, EV_S("address", settings->http_address),
		  EV_I("port", port.port));
	*http = self;
	return STATUS_OK;
}

void agent_http_stop(struct agent_http *http)
{
	struct agent_command *command;

	mg_stop(http->server);
	while ((command = (struct agent_command *)mailbox_take(&http->board->commands)))
		command_unref(command);
	g_free(http);
}
