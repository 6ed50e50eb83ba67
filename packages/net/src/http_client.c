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
	bool open;
	bool complete;
	bool too_large;
};

struct call {
	struct http_client *client;
	struct connection *connection; /* NULL while the call waits for one */
	GByteArray *request;
	http_response_callback callback;
	void *context;
	struct handle timer;
	int64_t timeout_us;
	int64_t begun_us; /* when it was made; once it is sent, then */
	bool retried;	  /* on a fresh connection, as a kept one was closed under it */
};

struct http_client {
	struct net_loop *loop;
	char *address;
	unsigned connection_limit;
	int64_t idle_limit_us;
	size_t response_max_bytes;
	GPtrArray *connections;
	GQueue waiting; /* struct call * */
	bool freeing;
};

static void serve_waiting(struct http_client *client);

static void free_connection(struct connection *connection)
{
	g_string_free(connection->body, TRUE);
	g_free(connection);
}

static void drop_connection(struct connection *connection)
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

static void finish(struct call *call, struct http_response *reply)
{
	http_response_callback callback = call->callback;
	void *context = call->context;

	reply->elapsed_us = call->client->loop->now_us - call->begun_us;
	free_call(call);
	callback(context, reply);
}

static void fail(struct call *call, enum status status, const char *reason)
{
	struct http_response reply = {
		.status = status,
		.sent = call->connection != NULL,
		.connection_refused = strcmp(reason, uv_strerror(UV_ECONNREFUSED)) == 0,
		.reason = reason,
	};

	finish(call, &reply);
}

static int on_body(http_parser *parser, const char *at, size_t length)
{
	struct connection *connection = parser->data;

	g_string_append_len(connection->body, at, (gssize)length);
	connection->too_large = connection->body->len > connection->client->response_max_bytes;
	return connection->too_large;
}

static int on_complete(http_parser *parser)
{
	struct connection *connection = parser->data;

	connection->complete = true;
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* Ends CONNECTION and fails its call. */
static void break_connection(struct connection *connection, enum status status, const char *reason)
{
	struct http_client *client = connection->client;
	struct call *call = connection->call;

	net_conn_close(connection->conn);
	drop_connection(connection);
	if (call)
		fail(call, status, reason);
	if (!client->freeing)
		serve_waiting(client);
}

static void on_data(void *context, const char *bytes, size_t length)
{
	struct connection *connection = context;
	struct http_client *client = connection->client;
	struct call *call = connection->call;
	struct http_response reply;
	size_t used;
	bool keep;

	if (!call) {
		break_connection(connection, STATUS_NETWORK, "bytes without a call");
		return;
	}
	used = http_parser_execute(&connection->parser, &parser_settings, bytes, length);
	if (HTTP_PARSER_ERRNO(&connection->parser) != HPE_OK) {
		break_connection(connection, STATUS_NETWORK,
				 connection->too_large ? "the answer is too large"
						       : "malformed answer");
		return;
	}
	if (!connection->complete)
		return;
	keep = http_should_keep_alive(&connection->parser) && used == length;
	reply = (struct http_response){
		.status = STATUS_OK,
		.sent = true,
		.code = connection->parser.status_code,
		.body = connection->body->str,
		.length = connection->body->len,
	};
	connection->call = NULL;
	connection->idle_since_us = client->loop->now_us;
	if (!keep) {
		GString *body = connection->body;

		connection->body = g_string_new(NULL);
		net_conn_close(connection->conn);
		drop_connection(connection);
		finish(call, &reply);
		g_string_free(body, TRUE);
	} else {
		/* The callback may make a call on this connection, which resets the body. */
		GString *body = connection->body;

		connection->body = g_string_new(NULL);
		finish(call, &reply);
		g_string_free(body, TRUE);
	}
	serve_waiting(client);
}

static bool requeue_unanswered(struct connection *connection);

static void on_closed(void *context, const char *reason)
{
	struct connection *connection = context;
	struct http_client *client = connection->client;
	struct call *call = connection->call;

	if (requeue_unanswered(connection))
		call = NULL;
	drop_connection(connection);
	if (call)
		fail(call, STATUS_NETWORK, reason);
	serve_waiting(client);
}

static void on_opened(void *context)
{
	((struct connection *)context)->open = true;
}

static const struct net_conn_callbacks conn_callbacks = {
	.opened = on_opened,
	.data = on_data,
	.closed = on_closed,
};

/* A call that was never handed to the kernel goes to another connection. */
static bool requeue_unanswered(struct connection *connection)
{
	struct call *call = connection->call;

	if (!call || call->retried || net_conn_unsent(connection->conn) < call->request->len)
		return false;
	call->retried = true;
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

/* Returns an idle connection, the one used last first, or a new one, or NULL when all are busy. */
static struct connection *get_connection(struct http_client *client, struct error *err)
{
	struct connection *best = NULL;

	for (guint i = 0; i < client->connections->len; i++) {
		struct connection *connection = client->connections->pdata[i];

		if (connection->call)
			continue;
		if (!best || connection->idle_since_us > best->idle_since_us)
			best = connection;
	}
	if (best && client->loop->now_us - best->idle_since_us > client->idle_limit_us) {
		net_conn_close(best->conn);
		drop_connection(best);
		best = NULL;
	}
	if (!best && client->connections->len < client->connection_limit)
		best = open_connection(client, err);
	return best;
}

static void on_timeout(void *context, int64_t now_us);

static void start_clock(struct call *call)
{
	struct net_loop *loop = call->client->loop;

	timer_cancel(&loop->timers, call->timer);
	call->begun_us = loop->now_us;
	call->timer = timer_subscribe(&loop->timers, loop->now_us + call->timeout_us, 0, on_timeout,
				      call);
}

static void serve_waiting(struct http_client *client)
{
	struct error err = {.status = STATUS_OK};

	while (!g_queue_is_empty(&client->waiting)) {
		struct connection *connection = get_connection(client, &err);
		struct call *call;

		if (!connection && err.status == STATUS_OK)
			return;
		call = g_queue_pop_head(&client->waiting);
		if (!connection) {
			fail(call, STATUS_NETWORK, err.message);
			return;
		}
		call->connection = connection;
		connection->call = call;
		if (call->begun_us != client->loop->now_us)
			start_clock(call);
		connection->complete = false;
		connection->too_large = false;
		g_string_truncate(connection->body, 0);
		http_parser_init(&connection->parser, HTTP_RESPONSE);
		connection->parser.data = connection;
		net_conn_send(connection->conn, call->request->data, call->request->len);
	}
}

static void on_timeout(void *context, int64_t now_us)
{
	struct call *call = context;

	if (call->connection) {
		break_connection(call->connection, STATUS_TIMEOUT, "no answer in time");
		return;
	}
	g_queue_remove(&call->client->waiting, call);
	fail(call, STATUS_TIMEOUT, "no connection in time");
}

struct http_client *http_client_new(struct net_loop *loop,
				    const struct http_client_options *options)
{
	struct http_client *client = g_new0(struct http_client, 1);

	client->loop = loop;
	client->address = g_strdup(options->address);
	client->connection_limit = options->connections;
	client->idle_limit_us = options->idle_limit_ms * US_PER_MS;
	client->response_max_bytes = options->response_max_bytes;
	client->connections = g_ptr_array_new();
	g_queue_init(&client->waiting);
	return client;
}

void http_client_call(struct http_client *client, const struct http_call *call)
{
	struct call *made = g_new0(struct call, 1);
	char head[1024];
	int length;

	made->client = client;
	made->callback = call->callback;
	made->context = call->context;
	made->timeout_us = call->timeout_ms * US_PER_MS;
	made->request = g_byte_array_sized_new((guint)(sizeof(head) / 4 + call->length));
	length = g_snprintf(head, sizeof(head),
			    "%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %zu\r\n%s\r\n",
			    call->method, call->path, client->address,
			    call->body ? "Content-Type: application/json\r\n" : "", call->length,
			    call->extra_headers ? call->extra_headers : "");
	g_byte_array_append(made->request, (const guint8 *)head, (guint)length);
	if (call->body)
		g_byte_array_append(made->request, call->body, (guint)call->length);
	start_clock(made);
	g_queue_push_tail(&client->waiting, made);
	serve_waiting(client);
}

bool http_client_connected(const struct http_client *client)
{
	for (guint i = 0; i < client->connections->len; i++) {
		if (((const struct connection *)client->connections->pdata[i])->open)
			return true;
	}
	return false;
}

void http_client_reset(struct http_client *client)
{
	GPtrArray *closed = client->connections;

	/* A callback may make a call, which opens a connection of the new array. */
	client->connections = g_ptr_array_new();
	for (guint i = 0; i < closed->len; i++) {
		struct connection *connection = closed->pdata[i];
		struct call *call = connection->call;

		net_conn_close(connection->conn);
		free_connection(connection);
		if (call)
			fail(call, STATUS_NETWORK, "connections were closed");
	}
	g_ptr_array_free(closed, TRUE);
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
