#include "http_server.h"

#include <http_parser.h>
#include <string.h>

enum {
	US_PER_MS = 1000,
	LIMIT_CHECK_PERIOD_US = 250000, /* interval of checks for timeouts */
	HTTP_OK = 200,
	HTTP_BAD_REQUEST = 400,
	HTTP_REQUEST_TIMEOUT = 408,
	HTTP_BODY_TOO_LARGE = 413,
	HTTP_HEADER_TOO_LARGE = 431
};

struct http_server {
	struct net_loop *loop;
	struct net_listener *listener;
	struct http_server_options options;
	const struct http_server_callbacks *callbacks;
	void *context;
	GHashTable *connections; /* set of struct http_request * */
	struct handle limit_timer;
	bool keep_alive_disabled;
};

/* A connection and the request that is being received or answered on it. Successive requests of the
 * connection reuse the structure. */
struct http_request {
	struct http_server *server;
	struct net_conn *conn;
	http_parser parser;
	GString *path; /* once complete, a NUL byte replaces the question mark before the query */
	bool has_query;
	GString *headers; /* names and values in turn, each followed by a NUL byte */
	GString *body;
	GByteArray *pipelined;	/* bytes received after the current request */
	size_t pipelined_start; /* the bytes before it have been parsed */
	bool parsing;		/* requests are being taken from `pipelined` */
	bool *freed;		/* set when the request is freed, or NULL */
	void *context;
	int64_t started_us;	  /* start of the request or, before that, of the idle time */
	bool last_part_was_value; /* the last header part was a value, not a name */
	bool started;
	bool complete; /* passed to the callback and not answered yet */
	bool keep_alive;
	int error_code; /* HTTP status code for a request that cannot be accepted, or 0 */
};

static void free_request(struct http_request *request)
{
	g_hash_table_remove(request->server->connections, request);
	if (request->freed)
		*request->freed = true;
	g_string_free(request->path, TRUE);
	g_string_free(request->headers, TRUE);
	g_string_free(request->body, TRUE);
	g_byte_array_free(request->pipelined, TRUE);
	g_free(request);
}

/* Calls on_disconnected if the request was not answered yet, then frees the request. */
static void free_disconnected_request(struct http_request *request)
{
	if (request->complete)
		request->server->callbacks->on_disconnected(request->server->context, request);
	free_request(request);
}

static int on_request_begin(http_parser *parser)
{
	struct http_request *request = parser->data;

	request->started = true;
	request->started_us = request->server->loop->now_us;
	return 0;
}

static int abort_parsing(struct http_request *request, int code)
{
	request->error_code = code;
	return -1; /* not 1 or 2, which have other meanings as results of on_headers_complete */
}

static size_t header_bytes(const struct http_request *request)
{
	return request->path->len + request->headers->len;
}

static int on_url(http_parser *parser, const char *at, size_t length)
{
	struct http_request *request = parser->data;

	g_string_append_len(request->path, at, (gssize)length);
	if (header_bytes(request) > request->server->options.header_max_bytes)
		return abort_parsing(request, HTTP_HEADER_TOO_LARGE);
	return 0;
}

static int append_header(struct http_request *request, const char *at, size_t length, bool value)
{
	if (request->last_part_was_value != value)
		g_string_append_c(request->headers, '\0');
	request->last_part_was_value = value;
	if (memchr(at, '\0', length))
		return abort_parsing(request, HTTP_BAD_REQUEST);
	g_string_append_len(request->headers, at, (gssize)length);
	if (header_bytes(request) > request->server->options.header_max_bytes)
		return abort_parsing(request, HTTP_HEADER_TOO_LARGE);
	return 0;
}

static int on_header_name(http_parser *parser, const char *at, size_t length)
{
	return append_header(parser->data, at, length, false);
}

static int on_value(http_parser *parser, const char *at, size_t length)
{
	return append_header(parser->data, at, length, true);
}

static int on_headers_end(http_parser *parser)
{
	struct http_request *request = parser->data;

	if (request->last_part_was_value)
		g_string_append_c(request->headers, '\0');
	if (parser->content_length != ULLONG_MAX &&
	    parser->content_length > request->server->options.body_max_bytes)
		return abort_parsing(request, HTTP_BODY_TOO_LARGE);
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t length)
{
	struct http_request *request = parser->data;

	g_string_append_len(request->body, at, (gssize)length);
	if (request->body->len > request->server->options.body_max_bytes)
		return abort_parsing(request, HTTP_BODY_TOO_LARGE);
	return 0;
}

static int on_request_end(http_parser *parser)
{
	struct http_request *request = parser->data;
	char *query = strchr(request->path->str, '?');

	request->has_query = query != NULL;
	if (query)
		*query = '\0';
	request->keep_alive = http_should_keep_alive(parser);
	request->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_request_begin,
	.on_url = on_url,
	.on_header_field = on_header_name,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_end,
	.on_body = on_body,
	.on_message_complete = on_request_end,
};

static void reset_request(struct http_request *request)
{
	http_parser_init(&request->parser, HTTP_REQUEST);
	request->parser.data = request;
	g_string_truncate(request->path, 0);
	g_string_truncate(request->headers, 0);
	g_string_truncate(request->body, 0);
	request->context = NULL;
	request->last_part_was_value = false;
	request->started = false;
	request->complete = false;
	request->error_code = 0;
	request->started_us = request->server->loop->now_us;
}

static const char *reason_phrase(int code)
{
	switch (code) {
#define REASON(number, name, text)                                                                 \
	case number:                                                                               \
		return #text;
		HTTP_STATUS_MAP(REASON)
#undef REASON
	default:
		return "Unknown";
	}
}

static void send_response(struct http_request *request, int code, const char *extra_headers,
			  const void *body, size_t length, bool keep_alive)
{
	GString *text = g_string_sized_new(256);

	g_string_printf(text,
			"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
			"Content-Length: %zu\r\n%s%s\r\n",
			code, reason_phrase(code), length, extra_headers ? extra_headers : "",
			keep_alive ? "" : "Connection: close\r\n");
	net_conn_send(request->conn, text->str, text->len);
	net_conn_send(request->conn, body, length);
	g_string_free(text, TRUE);
}

/* Sends an error response to a request that could not be received and closes its connection. */
static void reject_request(struct http_request *request, int code)
{
	char body[64];

	g_snprintf(body, sizeof(body), "{\"error\":\"%s\"}", reason_phrase(code));
	send_response(request, code, NULL, body, strlen(body), false);
	net_conn_close_after_send(request->conn);
	free_request(request);
}

/* Returns the number of parsed BYTES: all, or those up to the end of a request. */
static size_t parse_bytes(struct http_request *request, const void *bytes, size_t length)
{
	return http_parser_execute(&request->parser, &parser_settings, bytes, length);
}

/* Passes a complete request to the callback, or rejects a malformed one. Returns whether REQUEST
 * still exists. */
static bool handle_parsed(struct http_request *request)
{
	bool freed = false;

	if (!request->complete &&
	    (HTTP_PARSER_ERRNO(&request->parser) != HPE_OK || request->parser.upgrade)) {
		reject_request(request,
			       request->error_code ? request->error_code : HTTP_BAD_REQUEST);
		return false;
	}
	if (!request->complete)
		return true;
	request->freed = &freed;
	request->server->callbacks->on_request(request->server->context, request);
	if (!freed)
		request->freed = NULL;
	return !freed;
}

static size_t pipelined_length(const struct http_request *request)
{
	return request->pipelined->len - request->pipelined_start;
}

/* Moves the pipelined bytes to the start of their buffer once most of it has been parsed. */
static void compact_pipelined(struct http_request *request)
{
	if (request->pipelined_start < request->pipelined->len / 2)
		return;
	g_byte_array_remove_range(request->pipelined, 0, (guint)request->pipelined_start);
	request->pipelined_start = 0;
}

/* Handles pipelined requests until one is left unanswered or none is complete. A callback that
 * answers at once comes back here only through the loop, so the depth of the stack does not grow.
 */
static void handle_pipelined(struct http_request *request)
{
	if (request->parsing)
		return;
	request->parsing = true;
	while (!request->complete && pipelined_length(request) > 0) {
		request->pipelined_start +=
			parse_bytes(request, request->pipelined->data + request->pipelined_start,
				    pipelined_length(request));
		if (!handle_parsed(request))
			return;
	}
	request->parsing = false;
	compact_pipelined(request);
}

static void on_data(void *context, const char *bytes, size_t length)
{
	struct http_request *request = context;
	const struct http_server_options *limits = &request->server->options;
	size_t parsed_bytes;

	if (request->complete) {
		/* A client may send further requests before the response, up to the size limit of
		 * one request. */
		g_byte_array_append(request->pipelined, (const guint8 *)bytes, (guint)length);
		if (pipelined_length(request) > limits->body_max_bytes + limits->header_max_bytes) {
			net_conn_close(request->conn);
			free_disconnected_request(request);
		}
		return;
	}
	parsed_bytes = parse_bytes(request, bytes, length);
	if (request->complete)
		g_byte_array_append(request->pipelined, (const guint8 *)bytes + parsed_bytes,
				    (guint)(length - parsed_bytes));
	request->parsing = true;
	if (!handle_parsed(request))
		return;
	request->parsing = false;
	handle_pipelined(request);
}

static void on_closed(void *context, const char *reason)
{
	free_disconnected_request(context);
}

static const struct net_conn_callbacks conn_callbacks = {
	.on_data = on_data,
	.on_closed = on_closed,
};

static void on_accept(void *context, struct net_conn *conn)
{
	struct http_server *server = context;
	struct http_request *request = g_new0(struct http_request, 1);

	request->server = server;
	request->conn = conn;
	request->path = g_string_new(NULL);
	request->headers = g_string_new(NULL);
	request->body = g_string_new(NULL);
	request->pipelined = g_byte_array_new();
	reset_request(request);
	net_conn_set_callbacks(conn, &conn_callbacks, request);
	g_hash_table_add(server->connections, request);
}

static void check_limits(void *context, int64_t now_us)
{
	struct http_server *server = context;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, server->connections);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct http_request *request = key;
		int64_t limit_ms = request->started ? server->options.request_limit_ms
						    : server->options.idle_limit_ms;

		if (request->complete || now_us - request->started_us < limit_ms * US_PER_MS)
			continue;
		g_hash_table_iter_steal(&iter);
		if (request->started) {
			reject_request(request, HTTP_REQUEST_TIMEOUT);
		} else {
			net_conn_close(request->conn);
			free_request(request);
		}
	}
}

enum status http_server_listen(struct net_loop *loop, const char *address,
			       const struct http_server_options *options,
			       const struct http_server_callbacks *callbacks, void *context,
			       struct http_server **server, struct error *err)
{
	struct http_server *new_server = g_new0(struct http_server, 1);
	enum status status;

	new_server->loop = loop;
	new_server->options = *options;
	new_server->callbacks = callbacks;
	new_server->context = context;
	new_server->connections = g_hash_table_new(NULL, NULL);
	status = net_listen(loop, address, on_accept, new_server, &new_server->listener, err);
	if (status != STATUS_OK) {
		g_hash_table_destroy(new_server->connections);
		g_free(new_server);
		return status;
	}
	new_server->limit_timer =
		timer_subscribe(&loop->timers, loop->now_us + LIMIT_CHECK_PERIOD_US,
				LIMIT_CHECK_PERIOD_US, check_limits, new_server);
	*server = new_server;
	return STATUS_OK;
}

void http_server_set_options(struct http_server *server, const struct http_server_options *options)
{
	server->options = *options;
}

void http_server_disable_keep_alive(struct http_server *server)
{
	server->keep_alive_disabled = true;
}

void http_server_reset(struct http_server *server)
{
	GList *requests = g_hash_table_get_keys(server->connections);

	for (GList *item = requests; item; item = item->next) {
		struct http_request *request = item->data;

		net_conn_close(request->conn);
		free_disconnected_request(request);
	}
	g_list_free(requests);
}

void http_server_close(struct http_server *server)
{
	http_server_reset(server);
	net_listener_close(server->listener);
	timer_cancel(&server->loop->timers, server->limit_timer);
	g_hash_table_destroy(server->connections);
	g_free(server);
}

size_t http_server_connections(const struct http_server *server)
{
	return g_hash_table_size(server->connections);
}

enum http_verb http_request_method(const struct http_request *request)
{
	switch (request->parser.method) {
	case HTTP_GET:
		return HTTP_METHOD_GET;
	case HTTP_POST:
		return HTTP_METHOD_POST;
	case HTTP_DELETE:
		return HTTP_METHOD_DELETE;
	default:
		return HTTP_METHOD_OTHER;
	}
}

const char *http_request_path(const struct http_request *request)
{
	return request->path->str;
}

const char *http_request_query(const struct http_request *request)
{
	return request->has_query ? request->path->str + strlen(request->path->str) + 1 : NULL;
}

const char *http_request_header(const struct http_request *request, const char *name)
{
	const char *at = request->headers->str;
	const char *end = at + request->headers->len;

	while (at < end) {
		const char *value = at + strlen(at) + 1;

		if (g_ascii_strcasecmp(at, name) == 0)
			return value < end ? value : NULL;
		at = value + strlen(value) + 1;
	}
	return NULL;
}

const char *http_request_body(const struct http_request *request, size_t *length)
{
	*length = request->body->len;
	return request->body->str;
}

void http_request_set_context(struct http_request *request, void *context)
{
	request->context = context;
}

void *http_request_context(const struct http_request *request)
{
	return request->context;
}

void http_respond(struct http_request *request, int code, const char *extra_headers,
		  const char *body)
{
	http_respond_bytes(request, code, extra_headers, body, strlen(body));
}

void http_respond_bytes(struct http_request *request, int code, const char *extra_headers,
			const void *body, size_t length)
{
	bool keep_alive = request->keep_alive && !request->server->keep_alive_disabled;

	send_response(request, code, extra_headers, body, length, keep_alive);
	if (!keep_alive) {
		net_conn_close_after_send(request->conn);
		free_request(request);
		return;
	}
	reset_request(request);
	handle_pipelined(request);
}
