#include "http_client.h"

#include <http_parser.h>
#include <string.h>

enum {
	US_PER_MS = 1000
};

struct call;

struct connection {
	struct http_client *client;
	struct net_conn *conn;
	struct call *call; /* NULL while the connection is idle */
	http_parser parser;
	GString *body;
	int64_t idle_since_us;
	uint64_t number; /* 0 until the connection is established */
	bool connected;
	bool response_complete;
	bool response_too_large;
};

struct call {
	struct http_client *client;
	struct connection *connection; /* NULL while the call waits for a connection */
	GByteArray *request;
	http_response_callback callback;
	void *context;
	struct handle timer;
	int64_t timeout_us;
	int64_t started_us; /* when the call last got a connection; before that, when it was made */
	bool requeued;	    /* queued again after a connection closed before the call was sent */
};

struct http_client {
	struct net_loop *loop;
	char *address;
	unsigned connection_limit;
	int64_t idle_limit_us;
	size_t response_max_bytes;
	bool close_idle_on_timeout;
	GPtrArray *connections;
	GQueue waiting; /* struct call * */
	bool freeing;
};

static void send_waiting_calls(struct http_client *client);

static void free_connection(struct connection *connection)
{
	g_string_free(connection->body, TRUE);
	g_free(connection);
}

static void remove_connection(struct connection *connection)
{
	g_ptr_array_remove_fast(connection->client->connections, connection);
	free_connection(connection);
}

static void free_call(struct call *call)
{
	timer_cancel(&call->client->loop->timers, call->timer);
	g_byte_array_free(call->request, TRUE);
	g_free(call);
}

static void complete_call(struct call *call, struct http_response *response)
{
	http_response_callback callback = call->callback;
	void *context = call->context;

	response->elapsed_us = call->client->loop->now_us - call->started_us;
	free_call(call);
	callback(context, response);
}

static void fail_call(struct call *call, enum status status, const char *reason)
{
	struct http_response response = {
		.status = status,
		.connection_assigned = call->connection != NULL,
		.connection_refused = strcmp(reason, uv_strerror(UV_ECONNREFUSED)) == 0,
		.reason = reason,
	};

	complete_call(call, &response);
}

static int on_body(http_parser *parser, const char *at, size_t length)
{
	struct connection *connection = parser->data;

	g_string_append_len(connection->body, at, (gssize)length);
	connection->response_too_large =
		connection->body->len > connection->client->response_max_bytes;
	return connection->response_too_large;
}

static int on_complete(http_parser *parser)
{
	struct connection *connection = parser->data;

	connection->response_complete = true;
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* Closes CONNECTION, fails its call, if any, and sends waiting calls. */
static void abort_connection(struct connection *connection, enum status status, const char *reason)
{
	struct http_client *client = connection->client;
	struct call *call = connection->call;

	net_conn_close(connection->conn);
	remove_connection(connection);
	if (call)
		fail_call(call, status, reason);
	if (!client->freeing)
		send_waiting_calls(client);
}

static void on_data(void *context, const char *bytes, size_t length)
{
	struct connection *connection = context;
	struct http_client *client = connection->client;
	struct call *call = connection->call;
	struct http_response response;
	size_t parsed_bytes;
	bool keep_alive;

	if (!call) {
		abort_connection(connection, STATUS_NETWORK,
				 "received data without a pending call");
		return;
	}
	parsed_bytes = http_parser_execute(&connection->parser, &parser_settings, bytes, length);
	if (HTTP_PARSER_ERRNO(&connection->parser) != HPE_OK) {
		abort_connection(connection, STATUS_NETWORK,
				 connection->response_too_large ? "response too large"
								: "malformed response");
		return;
	}
	if (!connection->response_complete)
		return;
	keep_alive = http_should_keep_alive(&connection->parser) && parsed_bytes == length;
	response = (struct http_response){
		.status = STATUS_OK,
		.connection_assigned = true,
		.connection = connection->number,
		.code = connection->parser.status_code,
		.body = connection->body->str,
		.length = connection->body->len,
	};
	connection->call = NULL;
	connection->idle_since_us = client->loop->now_us;
	if (!keep_alive) {
		GString *body = connection->body;

		connection->body = g_string_new(NULL);
		net_conn_close(connection->conn);
		remove_connection(connection);
		complete_call(call, &response);
		g_string_free(body, TRUE);
	} else {
		/* The callback may send a call on this connection, which clears its body buffer. */
		GString *body = connection->body;

		connection->body = g_string_new(NULL);
		complete_call(call, &response);
		g_string_free(body, TRUE);
	}
	send_waiting_calls(client);
}

static bool requeue_unsent(struct connection *connection);

static void on_closed(void *context, const char *reason)
{
	struct connection *connection = context;
	struct http_client *client = connection->client;
	struct call *call = connection->call;

	if (requeue_unsent(connection))
		call = NULL;
	remove_connection(connection);
	if (call)
		fail_call(call, STATUS_NETWORK, reason);
	send_waiting_calls(client);
}

static void on_opened(void *context)
{
	struct connection *connection = context;

	connection->connected = true;
	connection->number = ++connection->client->loop->connections_opened;
}

static const struct net_conn_callbacks conn_callbacks = {
	.on_opened = on_opened,
	.on_data = on_data,
	.on_closed = on_closed,
};

/* Queues the call of CONNECTION for another connection if the kernel has reported none of its bytes
 * as accepted. A call is queued again only once. Returns whether the call was queued. */
static bool requeue_unsent(struct connection *connection)
{
	struct call *call = connection->call;

	if (!call || call->requeued || net_conn_unsent(connection->conn) < call->request->len)
		return false;
	call->requeued = true;
	call->connection = NULL;
	g_queue_push_head(&connection->client->waiting, call);
	return true;
}

static struct connection *open_connection(struct http_client *client, struct error *err)
{
	struct connection *connection = g_new0(struct connection, 1);

	connection->client = client;
	connection->body = g_string_new(NULL);
	connection->conn =
		net_connect(client->loop, client->address, &conn_callbacks, connection, err);
	if (!connection->conn) {
		g_string_free(connection->body, TRUE);
		g_free(connection);
		return NULL;
	}
	g_ptr_array_add(client->connections, connection);
	return connection;
}

/* Returns the idle connection that was used last, or else a new connection. Returns NULL if all are
 * busy or if connecting fails; ERR is set in the latter case. An idle connection past the
 * idle limit is closed and replaced. */
static struct connection *get_connection(struct http_client *client, struct error *err)
{
	struct connection *selected = NULL;

	for (guint i = 0; i < client->connections->len; i++) {
		struct connection *connection = client->connections->pdata[i];

		if (connection->call)
			continue;
		if (!selected || connection->idle_since_us > selected->idle_since_us)
			selected = connection;
	}
	if (selected && client->loop->now_us - selected->idle_since_us > client->idle_limit_us) {
		net_conn_close(selected->conn);
		remove_connection(selected);
		selected = NULL;
	}
	if (!selected && client->connections->len < client->connection_limit)
		selected = open_connection(client, err);
	return selected;
}

static void on_timeout(void *context, int64_t now_us);

static void start_timeout(struct call *call)
{
	struct net_loop *loop = call->client->loop;

	timer_cancel(&loop->timers, call->timer);
	call->started_us = loop->now_us;
	call->timer = timer_subscribe(&loop->timers, loop->now_us + call->timeout_us, 0, on_timeout,
				      call);
}

static void send_waiting_calls(struct http_client *client)
{
	struct error err = {.status = STATUS_OK};

	while (!g_queue_is_empty(&client->waiting)) {
		struct connection *connection = get_connection(client, &err);
		struct call *call;

		if (!connection && err.status == STATUS_OK)
			return;
		call = g_queue_pop_head(&client->waiting);
		if (!connection) {
			fail_call(call, STATUS_NETWORK, err.message);
			return;
		}
		call->connection = connection;
		connection->call = call;
		/* A call made in this iteration already has its timeout. */
		if (call->started_us != client->loop->now_us)
			start_timeout(call);
		connection->response_complete = false;
		connection->response_too_large = false;
		g_string_truncate(connection->body, 0);
		http_parser_init(&connection->parser, HTTP_RESPONSE);
		connection->parser.data = connection;
		net_conn_send(connection->conn, call->request->data, call->request->len);
	}
}

static void close_idle_since(struct http_client *client, int64_t time_us)
{
	for (guint i = client->connections->len; i-- > 0;) {
		struct connection *connection = client->connections->pdata[i];

		if (connection->call || connection->idle_since_us > time_us)
			continue;
		net_conn_close(connection->conn);
		remove_connection(connection);
	}
}

static void on_timeout(void *context, int64_t now_us)
{
	struct call *call = context;

	if (call->connection) {
		if (call->client->close_idle_on_timeout)
			close_idle_since(call->client, call->started_us);
		abort_connection(call->connection, STATUS_TIMEOUT,
				 "no response within the timeout");
		return;
	}
	g_queue_remove(&call->client->waiting, call);
	fail_call(call, STATUS_TIMEOUT, "no free connection within the timeout");
}

struct http_client *http_client_new(struct net_loop *loop,
				    const struct http_client_options *options)
{
	struct http_client *client = g_new0(struct http_client, 1);

	client->loop = loop;
	client->address = g_strdup(options->address);
	client->connection_limit = options->max_connections;
	client->idle_limit_us = options->idle_limit_ms * US_PER_MS;
	client->response_max_bytes = options->response_max_bytes;
	client->close_idle_on_timeout = options->close_idle_on_timeout;
	client->connections = g_ptr_array_new();
	g_queue_init(&client->waiting);
	return client;
}

void http_client_call(struct http_client *client, const struct http_call *call)
{
	struct call *new_call = g_new0(struct call, 1);
	char *head = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %zu\r\n%s\r\n", call->method,
		call->path, client->address, call->body ? "Content-Type: application/json\r\n" : "",
		call->length, call->extra_headers ? call->extra_headers : "");
	size_t head_length = strlen(head);

	new_call->client = client;
	new_call->callback = call->callback;
	new_call->context = call->context;
	new_call->timeout_us = call->timeout_ms * US_PER_MS;
	new_call->request = g_byte_array_sized_new((guint)(head_length + call->length));
	g_byte_array_append(new_call->request, (const guint8 *)head, (guint)head_length);
	g_free(head);
	if (call->body)
		g_byte_array_append(new_call->request, call->body, (guint)call->length);
	start_timeout(new_call);
	g_queue_push_tail(&client->waiting, new_call);
	send_waiting_calls(client);
}

bool http_client_connected(const struct http_client *client)
{
	for (guint i = 0; i < client->connections->len; i++) {
		if (((const struct connection *)client->connections->pdata[i])->connected)
			return true;
	}
	return false;
}

void http_client_reset(struct http_client *client)
{
	GPtrArray *old_connections = client->connections;

	/* A callback may make a call, which adds a connection to the new array. */
	client->connections = g_ptr_array_new();
	for (guint i = 0; i < old_connections->len; i++) {
		struct connection *connection = old_connections->pdata[i];
		struct call *call = connection->call;

		net_conn_close(connection->conn);
		free_connection(connection);
		if (call)
			fail_call(call, STATUS_NETWORK, "connection closed by this process");
	}
	g_ptr_array_free(old_connections, TRUE);
}

void http_client_free(struct http_client *client)
{
	client->freeing = true;
	for (guint i = 0; i < client->connections->len; i++) {
		struct connection *connection = client->connections->pdata[i];

		net_conn_close(connection->conn);
		if (connection->call)
			free_call(connection->call);
		free_connection(connection);
	}
	for (struct call *call = g_queue_pop_head(&client->waiting); call;
	     call = g_queue_pop_head(&client->waiting))
		free_call(call);
	g_ptr_array_free(client->connections, TRUE);
	g_free(client->address);
	g_free(client);
}
