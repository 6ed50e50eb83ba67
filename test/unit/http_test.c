/* Tests the HTTP server and client of the event loop against each other and with raw bytes. */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "http_client.h"
#include "http_server.h"
#include "store.h"

enum {
	BODY_MAX_BYTES = 100,
	HEADER_MAX_BYTES = 400,
	RECEIVE_LIMIT_MS = 300,
	TEST_TIMEOUT_US = 3000000,
	PIPELINED_REQUESTS = 2000
};

struct fixture {
	struct net_loop loop;
	struct http_server *server;
	char address[32];
	GPtrArray *unanswered; /* struct http_request * */
	bool leave_unanswered;
	uint32_t request_count;
	uint32_t disconnect_count;
	uintptr_t lowest_frame; /* address of the deepest call of on_request */
	uintptr_t highest_frame;
	char path[64];
	char query[64];
	char body[BODY_MAX_BYTES + 1];
	int codes[8];
	enum status statuses[8];
	int64_t elapsed_us[8];
	uint32_t response_count;
	bool last_call_sent;
};

static void on_request(void *context, struct http_request *request)
{
	struct fixture *fixture = context;
	size_t length;
	const char *body = http_request_body(request, &length);
	const char *query = http_request_query(request);
	uintptr_t frame = (uintptr_t)__builtin_frame_address(0);

	if (fixture->request_count++ == 0)
		fixture->lowest_frame = fixture->highest_frame = frame;
	fixture->lowest_frame = MIN(fixture->lowest_frame, frame);
	fixture->highest_frame = MAX(fixture->highest_frame, frame);
	g_strlcpy(fixture->path, http_request_path(request), sizeof(fixture->path));
	g_strlcpy(fixture->query, query ? query : "", sizeof(fixture->query));
	g_strlcpy(fixture->body, body, sizeof(fixture->body));
	if (fixture->leave_unanswered)
		g_ptr_array_add(fixture->unanswered, request);
	else
		http_respond(request, 200, NULL, "{\"ok\":1}");
}

static void on_disconnected(void *context, struct http_request *request)
{
	struct fixture *fixture = context;

	fixture->disconnect_count++;
	g_ptr_array_remove(fixture->unanswered, request);
}

static const struct http_server_callbacks callbacks = {
	.on_request = on_request,
	.on_disconnected = on_disconnected,
};

static int free_port(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(bind(fd, (struct sockaddr *)&address, length), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&address, &length), ==, 0);
	close(fd);
	return ntohs(address.sin_port);
}

static void set_up(struct fixture *fixture)
{
	const struct http_server_options options = {
		.header_max_bytes = HEADER_MAX_BYTES,
		.body_max_bytes = BODY_MAX_BYTES,
		.request_limit_ms = RECEIVE_LIMIT_MS,
		.idle_limit_ms = RECEIVE_LIMIT_MS,
	};
	struct error err;

	*fixture = (struct fixture){.unanswered = g_ptr_array_new()};
	net_loop_init(&fixture->loop);
	g_snprintf(fixture->address, sizeof(fixture->address), "127.0.0.1:%d", free_port());
	g_assert_cmpint(http_server_listen(&fixture->loop, fixture->address, &options, &callbacks,
					   fixture, &fixture->server, &err),
			==, STATUS_OK);
}

static void tear_down(struct fixture *fixture)
{
	http_server_reset(fixture->server);
	uv_run(&fixture->loop.uv, UV_RUN_NOWAIT);
	g_ptr_array_free(fixture->unanswered, TRUE);
}

/* Runs the loop until *VALUE reaches TARGET. */
static void run_until(struct fixture *fixture, const uint32_t *value, uint32_t target)
{
	int64_t end_us = g_get_monotonic_time() + TEST_TIMEOUT_US;

	while (*value < target) {
		g_assert_cmpint(g_get_monotonic_time(), <, end_us);
		uv_run(&fixture->loop.uv, UV_RUN_ONCE);
	}
}

static void on_response(void *context, const struct http_response *response)
{
	struct fixture *fixture = context;

	fixture->codes[fixture->response_count % 8] = response->code;
	fixture->statuses[fixture->response_count % 8] = response->status;
	fixture->elapsed_us[fixture->response_count % 8] = response->elapsed_us;
	fixture->last_call_sent = response->connection_assigned;
	fixture->response_count++;
}

static struct http_client *new_client(struct fixture *fixture)
{
	return http_client_new(&fixture->loop,
			       &(struct http_client_options){.address = fixture->address,
							     .max_connections = 1,
							     .idle_limit_ms = 1000,
							     .response_max_bytes = 1000});
}

static void call(struct http_client *client, struct fixture *fixture, const char *body,
		 int64_t timeout_ms)
{
	http_client_call(client, &(struct http_call){.method = "POST",
						     .path = "/a?b=c",
						     .body = body,
						     .length = strlen(body),
						     .timeout_ms = timeout_ms,
						     .callback = on_response,
						     .context = fixture});
}

/* Successive calls must share one keep-alive connection. */
static void test_keep_alive(void)
{
	struct fixture fixture;
	struct http_client *client;

	set_up(&fixture);
	client = new_client(&fixture);
	for (int i = 0; i < 3; i++)
		call(client, &fixture, "xyz", 1000);
	run_until(&fixture, &fixture.response_count, 3);
	g_assert_cmpint(fixture.codes[2], ==, 200);
	g_assert_cmpstr(fixture.path, ==, "/a");
	g_assert_cmpstr(fixture.query, ==, "b=c");
	g_assert_cmpstr(fixture.body, ==, "xyz");
	g_assert_cmpuint(http_server_connections(fixture.server), ==, 1);
	/* When a connection is refused, callers conclude that the server has crashed only if
	 * http_client_connected reports no other open connection to the server. */
	g_assert_true(http_client_connected(client));
	http_client_reset(client);
	g_assert_false(http_client_connected(client));
	http_client_free(client);
	tear_down(&fixture);
}

/* A call without a response must end with a timeout and be reported as sent. The next call must use
 * a new connection, because the old one may never deliver anything again. */
static void test_timeout(void)
{
	struct fixture fixture;
	struct http_client *client;

	set_up(&fixture);
	client = new_client(&fixture);
	fixture.leave_unanswered = true;
	call(client, &fixture, "x", 50);
	run_until(&fixture, &fixture.response_count, 1);
	g_assert_cmpint(fixture.statuses[0], ==, STATUS_TIMEOUT);
	g_assert_true(fixture.last_call_sent);
	fixture.leave_unanswered = false;
	call(client, &fixture, "y", 1000);
	run_until(&fixture, &fixture.response_count, 2);
	g_assert_cmpint(fixture.codes[1], ==, 200);
	g_assert_cmpuint(fixture.disconnect_count, ==, 1);
	http_client_free(client);
	tear_down(&fixture);
}

/* Guards against calls that fail one after the other on kept connections that a network fault has
 * silenced all at once. */
static void test_timeout_closes_idle(void)
{
	struct fixture fixture;
	struct http_client *client;

	set_up(&fixture);
	client = http_client_new(&fixture.loop,
				 &(struct http_client_options){.address = fixture.address,
							       .max_connections = 3,
							       .idle_limit_ms = 1000,
							       .response_max_bytes = 1000,
							       .close_idle_on_timeout = true});
	fixture.leave_unanswered = true;
	call(client, &fixture, "a", 1000);
	call(client, &fixture, "b", 1000);
	run_until(&fixture, &fixture.request_count, 2);
	while (fixture.unanswered->len > 0)
		http_respond(g_ptr_array_steal_index(fixture.unanswered, 0), 200, NULL, "{}");
	run_until(&fixture, &fixture.response_count, 2);
	g_assert_cmpuint(http_server_connections(fixture.server), ==, 2);
	call(client, &fixture, "c", 50);
	run_until(&fixture, &fixture.response_count, 3);
	g_assert_cmpint(fixture.statuses[2], ==, STATUS_TIMEOUT);
	g_assert_false(http_client_connected(client));
	http_client_free(client);
	tear_down(&fixture);
}

/* A call that waits behind an unanswered one must get its whole timeout once it is sent, and its
 * elapsed time must not include the wait. Otherwise lost responses look like a slow server,
 * timeouts grow and more calls wait. */
static void test_timeout_of_waiting_call(void)
{
	struct fixture fixture;
	struct http_client *client;

	set_up(&fixture);
	client = new_client(&fixture);
	fixture.leave_unanswered = true;
	call(client, &fixture, "x", 200);
	run_until(&fixture, &fixture.request_count, 1);
	fixture.leave_unanswered = false;
	call(client, &fixture, "y", 250);
	run_until(&fixture, &fixture.response_count, 2);
	g_assert_cmpint(fixture.statuses[0], ==, STATUS_TIMEOUT);
	g_assert_cmpint(fixture.codes[1], ==, 200);
	g_assert_cmpint(fixture.elapsed_us[1], <, 150 * 1000); /* without the wait of 200 ms */
	http_client_free(client);
	tear_down(&fixture);
}

/* A call must fail at once if no process listens on the address. */
static void test_refused(void)
{
	struct fixture fixture;
	struct http_client *client;

	set_up(&fixture);
	g_snprintf(fixture.address, sizeof(fixture.address), "127.0.0.1:%d", free_port());
	client = new_client(&fixture);
	call(client, &fixture, "x", 1000);
	run_until(&fixture, &fixture.response_count, 1);
	g_assert_cmpint(fixture.statuses[0], ==, STATUS_NETWORK);
	http_client_free(client);
	tear_down(&fixture);
}

/* A server of plain blocking sockets. */
struct raw_server {
	int listener;
	int connection;
};

static void raw_server_listen(struct raw_server *server, struct fixture *fixture)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(address);

	server->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	g_assert_cmpint(bind(server->listener, (struct sockaddr *)&address, length), ==, 0);
	g_assert_cmpint(listen(server->listener, 1), ==, 0);
	g_assert_cmpint(getsockname(server->listener, (struct sockaddr *)&address, &length), ==, 0);
	g_snprintf(fixture->address, sizeof(fixture->address), "127.0.0.1:%d",
		   ntohs(address.sin_port));
}

/* Accepts a connection and receives the first bytes on it. */
static void raw_server_accept(struct raw_server *server, struct fixture *fixture, char *bytes,
			      size_t size)
{
	while ((server->connection = accept(server->listener, NULL, NULL)) < 0)
		uv_run(&fixture->loop.uv, UV_RUN_ONCE);
	while (recv(server->connection, bytes, size, MSG_DONTWAIT) <= 0)
		uv_run(&fixture->loop.uv, UV_RUN_ONCE);
}

/* Accepts a connection and answers its first request. */
static void raw_server_answer(struct raw_server *server, struct fixture *fixture)
{
	static const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
	char bytes[1000];

	raw_server_accept(server, fixture, bytes, sizeof(bytes));
	g_assert_cmpint(send(server->connection, response, strlen(response), 0), ==,
			(int)strlen(response));
}

/* Guards against a request whose head is cut at a fixed length and padded with foreign memory. */
static void test_long_path(void)
{
	struct fixture fixture;
	struct raw_server server;
	struct http_client *client;
	GString *path = g_string_new("/");
	char bytes[4096] = "";
	char **lines;

	while (path->len < 2000)
		g_string_append(path, "0123456789");
	set_up(&fixture);
	raw_server_listen(&server, &fixture);
	client = new_client(&fixture);
	http_client_call(client, &(struct http_call){.method = "GET",
						     .path = path->str,
						     .timeout_ms = 1000,
						     .callback = on_response,
						     .context = &fixture});
	raw_server_accept(&server, &fixture, bytes, sizeof(bytes) - 1);
	lines = g_strsplit(bytes, "\r\n", 2);
	g_string_prepend(path, "GET ");
	g_string_append(path, " HTTP/1.1");
	g_assert_cmpstr(lines[0], ==, path->str);
	g_assert_true(g_str_has_suffix(bytes, "\r\n\r\n"));
	g_strfreev(lines);
	g_string_free(path, TRUE);
	close(server.connection);
	close(server.listener);
	http_client_free(client);
	tear_down(&fixture);
}

/* A peer ends its direction of a kept connection and still reads the next request. Guards against a
 * request that is sent again on another connection although the peer may have received it. */
static void test_closing_peer_gets_request_once(void)
{
	struct fixture fixture;
	struct raw_server server;
	struct http_client *client;
	char bytes[1000];

	set_up(&fixture);
	raw_server_listen(&server, &fixture);
	client = new_client(&fixture);
	call(client, &fixture, "x", 1000);
	raw_server_answer(&server, &fixture);
	run_until(&fixture, &fixture.response_count, 1);
	shutdown(server.connection, SHUT_WR);
	call(client, &fixture, "y", 200);
	run_until(&fixture, &fixture.response_count, 2);
	g_assert_cmpint(recv(server.connection, bytes, sizeof(bytes), MSG_DONTWAIT), >, 0);
	g_assert_cmpint(accept(server.listener, NULL, NULL), <, 0);
	g_assert_cmpint(fixture.statuses[1], ==, STATUS_NETWORK);
	g_assert_true(fixture.last_call_sent);
	close(server.connection);
	close(server.listener);
	http_client_free(client);
	tear_down(&fixture);
}

/* A plain TCP connection, for bytes that an HTTP client library would not send. */
struct raw_connection {
	struct net_conn *conn;
	GString *received;
	uint32_t closed_count;
	uint32_t response_count;
};

static void on_raw_data(void *context, const char *bytes, size_t length)
{
	struct raw_connection *raw = context;
	const char *at;

	g_string_append_len(raw->received, bytes, (gssize)length);
	raw->response_count = 0;
	for (at = raw->received->str; (at = strstr(at, "HTTP/1.1 ")); at++)
		raw->response_count++;
}

static void on_raw_closed(void *context, const char *reason)
{
	((struct raw_connection *)context)->closed_count++;
}

static const struct net_conn_callbacks raw_callbacks = {
	.on_data = on_raw_data,
	.on_closed = on_raw_closed,
};

static void open_raw_connection(struct fixture *fixture, struct raw_connection *raw,
				const char *bytes)
{
	struct error err;

	*raw = (struct raw_connection){.received = g_string_new(NULL)};
	raw->conn = net_connect(&fixture->loop, fixture->address, &raw_callbacks, raw, &err);
	net_conn_send(raw->conn, bytes, strlen(bytes));
}

static void check_rejected(const char *bytes, const char *response_prefix)
{
	struct fixture fixture;
	struct raw_connection raw;

	set_up(&fixture);
	open_raw_connection(&fixture, &raw, bytes);
	run_until(&fixture, &raw.response_count, 1);
	g_assert_true(g_str_has_prefix(raw.received->str, response_prefix));
	run_until(&fixture, &raw.closed_count, 1);
	g_assert_cmpuint(fixture.request_count, ==, 0);
	g_string_free(raw.received, TRUE);
	tear_down(&fixture);
}

/* A malformed, oversized or slow request must get an error response with the matching status code
 * and must not reach the request callback. Its connection must be closed. */
static void test_bad_requests(void)
{
	char *header = g_strnfill(HEADER_MAX_BYTES + 1, 'a');
	char *long_header = g_strdup_printf("GET / HTTP/1.1\r\nX: %s\r\n\r\n", header);

	check_rejected("nonsense\r\n\r\n", "HTTP/1.1 400 ");
	check_rejected("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 400 ");
	check_rejected("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", "HTTP/1.1 413 ");
	check_rejected("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n",
		       "HTTP/1.1 408 ");
	check_rejected("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", "HTTP/1.1 408 ");
	check_rejected(long_header, "HTTP/1.1 431 ");
	g_free(header);
	g_free(long_header);
}

/* Pipelined requests must be answered in order. */
static void test_pipelined(void)
{
	struct fixture fixture;
	struct raw_connection raw;

	set_up(&fixture);
	open_raw_connection(&fixture, &raw,
			    "GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"
			    "GET /3 HTTP/1.1\r\n\r\n");
	run_until(&fixture, &raw.response_count, 3);
	g_assert_cmpuint(fixture.request_count, ==, 3);
	g_assert_cmpstr(fixture.path, ==, "/3");
	net_conn_close(raw.conn);
	g_string_free(raw.received, TRUE);
	tear_down(&fixture);
}

/* Guards against a stack that grows with each pipelined request. */
static void test_many_pipelined(void)
{
	struct fixture fixture;
	struct raw_connection raw;
	GString *bytes = g_string_new(NULL);

	set_up(&fixture);
	for (int i = 0; i < PIPELINED_REQUESTS; i++)
		g_string_append(bytes, "GET /1 HTTP/1.1\r\n\r\n");
	open_raw_connection(&fixture, &raw, bytes->str);
	run_until(&fixture, &raw.response_count, PIPELINED_REQUESTS);
	g_assert_cmpuint(fixture.request_count, ==, PIPELINED_REQUESTS);
	g_assert_cmpuint(fixture.highest_frame - fixture.lowest_frame, <, 4096);
	net_conn_close(raw.conn);
	g_string_free(raw.received, TRUE);
	g_string_free(bytes, TRUE);
	tear_down(&fixture);
}

/* Requests that arrive behind an unanswered one are handled in order once it is answered. Guards
 * against bytes that are lost or parsed twice when they arrive in parts. */
static void test_pipelined_behind_unanswered(void)
{
	static const char *const parts[] = {"GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nConte",
					    "nt-Length: 2\r\n\r\na",
					    "bGET /3 HTTP/1.1\r\n\r\nGET /4 HT"};
	struct fixture fixture;
	struct raw_connection raw;

	set_up(&fixture);
	fixture.leave_unanswered = true;
	open_raw_connection(&fixture, &raw, parts[0]);
	run_until(&fixture, &fixture.request_count, 1);
	for (size_t i = 1; i < G_N_ELEMENTS(parts); i++) {
		net_conn_send(raw.conn, parts[i], strlen(parts[i]));
		uv_run(&fixture.loop.uv, UV_RUN_NOWAIT);
		uv_run(&fixture.loop.uv, UV_RUN_NOWAIT);
	}
	for (uint32_t i = 1; i <= 3; i++) {
		struct http_request *request;

		run_until(&fixture, &fixture.request_count, i);
		g_assert_cmpuint(fixture.unanswered->len, ==, 1);
		request = g_ptr_array_steal_index(fixture.unanswered, 0);
		http_respond(request, 200, NULL, "{}");
	}
	net_conn_send(raw.conn, "TP/1.1\r\n\r\n", strlen("TP/1.1\r\n\r\n"));
	run_until(&fixture, &fixture.request_count, 4);
	g_assert_cmpstr(fixture.path, ==, "/4");
	run_until(&fixture, &raw.response_count, 3);
	net_conn_close(raw.conn);
	g_string_free(raw.received, TRUE);
	tear_down(&fixture);
}

/* The server must report a client that disconnects before its request is answered, so that the work
 * for it can be stopped. */
static void test_client_disconnects(void)
{
	struct fixture fixture;
	struct raw_connection raw;

	set_up(&fixture);
	fixture.leave_unanswered = true;
	open_raw_connection(&fixture, &raw, "GET / HTTP/1.1\r\n\r\n");
	run_until(&fixture, &fixture.request_count, 1);
	net_conn_close(raw.conn);
	run_until(&fixture, &fixture.disconnect_count, 1);
	g_string_free(raw.received, TRUE);
	tear_down(&fixture);
}

/* During a shutdown each response must close its connection, so that clients move elsewhere. */
static void test_disable_keep_alive(void)
{
	struct fixture fixture;
	struct raw_connection raw;

	set_up(&fixture);
	http_server_disable_keep_alive(fixture.server);
	open_raw_connection(&fixture, &raw, "GET / HTTP/1.1\r\n\r\n");
	run_until(&fixture, &raw.closed_count, 1);
	g_assert_nonnull(strstr(raw.received->str, "Connection: close"));
	g_string_free(raw.received, TRUE);
	tear_down(&fixture);
}

/* Result that the store's client reports for one response. */
struct read_result {
	uint32_t calls;
	enum status status;
	size_t count;
	char key[16];
	char value[16];
	uint64_t next;
};

static void on_store_result(void *context, const struct store_result *result)
{
	struct read_result *read = context;

	read->calls++;
	read->status = result->status;
	read->count = result->count;
	read->next = result->next;
	if (result->count > 0) {
		g_strlcpy(read->key, result->records[0].key,
			  MIN(sizeof(read->key), result->records[0].key_length + 1));
		g_strlcpy(read->value, result->records[0].value,
			  MIN(sizeof(read->value), result->records[0].value_length + 1));
	}
}

static struct read_result read_store(const void *bytes, size_t length, int code)
{
	struct fixture fixture;
	struct read_result read = {0};
	struct store *store;

	set_up(&fixture);
	fixture.leave_unanswered = true;
	store = store_new(&fixture.loop, fixture.address);
	store_read(store, "keyed.op", 7, 10, 600, on_store_result, &read);
	run_until(&fixture, &fixture.request_count, 1);
	g_assert_cmpstr(fixture.query, ==, "topic=keyed.op&part=0&from=7&waitMs=10");
	http_respond_bytes(fixture.unanswered->pdata[0], code, NULL, bytes, length);
	g_ptr_array_set_size(fixture.unanswered, 0);
	run_until(&fixture, &read.calls, 1);
	store_free(store);
	tear_down(&fixture);
	return read;
}

/* The client must parse a page of records and report a truncated log (410), an unavailable log
 * (503) and a malformed page, which counts as an unavailable log. */
static void test_store_read(void)
{
	static const char records[] = "\0\0\0\0\0\0\0\11\0\0\0\0\0\0\0\0"
				      "\0\0\0\5\2kkvv"
				      "\0\0\0\3\2kk";
	struct read_result read = read_store(records, sizeof(records) - 1, 200);

	g_assert_cmpint(read.status, ==, STATUS_OK);
	g_assert_cmpuint(read.count, ==, 2);
	g_assert_cmpuint(read.next, ==, 9);
	g_assert_cmpstr(read.key, ==, "kk");
	g_assert_cmpstr(read.value, ==, "vv");
	g_assert_cmpint(read_store("{}", 2, 410).status, ==, STATUS_LOG_TRUNCATED);
	g_assert_cmpint(read_store("{}", 2, 503).status, ==, STATUS_LOG_UNAVAILABLE);
	g_assert_cmpint(read_store("short", 5, 200).status, ==, STATUS_LOG_UNAVAILABLE);
	/* The last record declares more bytes than the page contains. */
	g_assert_cmpint(read_store(records, sizeof(records) - 3, 200).status, ==,
			STATUS_LOG_UNAVAILABLE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http/kept_connection", test_keep_alive);
	g_test_add_func("/http/timeout", test_timeout);
	g_test_add_func("/http/timeout_closes_idle", test_timeout_closes_idle);
	g_test_add_func("/http/timeout_of_waiting_call", test_timeout_of_waiting_call);
	g_test_add_func("/http/long_path", test_long_path);
	g_test_add_func("/http/closing_peer_gets_request_once",
			test_closing_peer_gets_request_once);
	g_test_add_func("/http/refused", test_refused);
	g_test_add_func("/http/bad_requests", test_bad_requests);
	g_test_add_func("/http/pipelined", test_pipelined);
	g_test_add_func("/http/many_pipelined", test_many_pipelined);
	g_test_add_func("/http/pipelined_behind_unanswered", test_pipelined_behind_unanswered);
	g_test_add_func("/http/client_leaves", test_client_disconnects);
	g_test_add_func("/http/end_connections", test_disable_keep_alive);
	g_test_add_func("/http/store_read", test_store_read);
	return g_test_run();
}
