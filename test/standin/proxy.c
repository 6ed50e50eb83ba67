/* Fault-injecting TCP proxy: forwards connections on any number of routes and injects the faults
 * requested on its control port. */
#include <gio/gio.h>
#include <glib-unix.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	CHUNK_BYTES = 65536,
	QUEUE_MAX_BYTES = 4 << 20, /* reading pauses at this size */
	BACKLOG = 256,
	US_PER_MS = 1000,
};

enum direction {
	DIRECTION_UP,	/* from the client to the target */
	DIRECTION_DOWN, /* from the target to the client */
	DIRECTION_COUNT,
};

struct route {
	char *name;
	char *listen_host;
	guint16 listen_port;
	char *target_host;
	guint16 target_port;
	GSocket *listener;
	GSource *source;
	int delay_ms;
	int jitter_ms;
	bool drop;   /* accepts new connections but discards their data and connects to no target */
	bool refuse; /* does not listen */
	bool blocked[DIRECTION_COUNT]; /* data in this direction is discarded (key "half_open") */
	GPtrArray *connections;
	guint64 forwarded_bytes[DIRECTION_COUNT];
	guint64 accepted_count;
};

struct chunk {
	gint64 due_us; /* monotonic time from which the chunk may be written */
	gsize length;
	char data[];
};

struct connection;

/* One direction of a connection. */
struct forwarder {
	struct connection *conn;
	enum direction direction;
	GInputStream *in;
	GOutputStream *out; /* NULL discards the data */
	GQueue queue;	    /* of struct chunk */
	gsize queued_bytes;
	gint64 last_due_us; /* due_us of the last queued chunk */
	char *buffer;
	guint timer;
	bool reading;
	bool writing;
	bool end_of_stream; /* the sender closed its side */
};

struct connection {
	struct route *route;
	GSocketConnection *client;
	GSocketConnection *target;
	struct forwarder forwarders[DIRECTION_COUNT];
	GCancellable *cancel;
	int pending_calls; /* asynchronous calls and idle callbacks that still use the connection */
	bool silent;	   /* data in both directions is discarded (key "silence") */
	bool closed;
};

static GPtrArray *routes;
static GRand *random_source;

static void forwarder_read(struct forwarder *forwarder);
static void forwarder_write(struct forwarder *forwarder);

static void forwarder_clear(struct forwarder *forwarder)
{
	if (forwarder->timer)
		g_source_remove(forwarder->timer);
	g_queue_clear_full(&forwarder->queue, g_free);
	g_free(forwarder->buffer);
}

/* Ends an asynchronous call on CONN. Frees CONN if it is closed and no other call is pending. */
static void connection_end_call(struct connection *conn)
{
	conn->pending_calls--;
	if (!conn->closed || conn->pending_calls > 0)
		return;
	for (int i = 0; i < DIRECTION_COUNT; i++)
		forwarder_clear(&conn->forwarders[i]);
	g_clear_object(&conn->client);
	g_clear_object(&conn->target);
	g_object_unref(conn->cancel);
	g_free(conn);
}

static gboolean on_close_idle(void *context)
{
	connection_end_call(context);
	return G_SOURCE_REMOVE;
}

/* Closes the sockets to the client and to the target. CONN is freed later, from an idle callback or
 * the last pending call, since callers still use it. */
static void connection_close(struct connection *conn)
{
	if (conn->closed)
		return;
	conn->closed = true;
	g_ptr_array_remove_fast(conn->route->connections, conn);
	g_cancellable_cancel(conn->cancel);
	if (conn->client)
		g_socket_close(g_socket_connection_get_socket(conn->client), NULL);
	if (conn->target)
		g_socket_close(g_socket_connection_get_socket(conn->target), NULL);
	conn->pending_calls++;
	g_idle_add(on_close_idle, conn);
}

/* Returns whether received data is discarded without the sender noticing the loss. */
static bool is_blocked(const struct forwarder *forwarder)
{
	return forwarder->conn->silent || forwarder->conn->route->blocked[forwarder->direction];
}

static gboolean on_delay_elapsed(void *context)
{
	struct forwarder *forwarder = context;

	forwarder->timer = 0;
	forwarder_write(forwarder);
	return G_SOURCE_REMOVE;
}

static void on_written(GObject *source, GAsyncResult *result, void *context)
{
	struct forwarder *forwarder = context;
	struct connection *conn = forwarder->conn;
	struct chunk *chunk = g_queue_pop_head(&forwarder->queue);
	bool written =
		g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, NULL, NULL);

	forwarder->writing = false;
	if (chunk) {
		forwarder->queued_bytes -= chunk->length;
		conn->route->forwarded_bytes[forwarder->direction] += chunk->length;
		g_free(chunk);
	}
	if (!written)
		connection_close(conn);
	if (!conn->closed)
		forwarder_write(forwarder);
	if (!conn->closed)
		forwarder_read(forwarder);
	connection_end_call(conn);
}

/* Writes the first queued chunk once its delay has elapsed. Closes the connection when the queue is
 * empty and the sender has closed its side, unless data in this direction is discarded. */
static void forwarder_write(struct forwarder *forwarder)
{
	struct chunk *chunk = g_queue_peek_head(&forwarder->queue);
	gint64 wait_us;

	if (forwarder->writing || forwarder->timer)
		return;
	if (!chunk) {
		if (forwarder->end_of_stream && !is_blocked(forwarder))
			connection_close(forwarder->conn);
		return;
	}
	wait_us = chunk->due_us - g_get_monotonic_time();
	if (wait_us > 0) {
		forwarder->timer = g_timeout_add((guint)(wait_us / US_PER_MS + 1), on_delay_elapsed,
						 forwarder);
		return;
	}
	forwarder->writing = true;
	forwarder->conn->pending_calls++;
	g_output_stream_write_all_async(forwarder->out, chunk->data, chunk->length,
					G_PRIORITY_DEFAULT, forwarder->conn->cancel, on_written,
					forwarder);
}

static void forwarder_enqueue(struct forwarder *forwarder, gsize length)
{
	const struct route *route = forwarder->conn->route;
	struct chunk *chunk = g_malloc(sizeof(*chunk) + length);
	gint64 delay_ms = route->delay_ms;

	if (route->jitter_ms > 0)
		delay_ms += g_rand_int_range(random_source, 0, route->jitter_ms + 1);
	memcpy(chunk->data, forwarder->buffer, length);
	chunk->length = length;
	chunk->due_us = g_get_monotonic_time() + delay_ms * US_PER_MS;
	/* Keeps the order of the bytes: a random delay must not let a chunk overtake another. */
	chunk->due_us = MAX(chunk->due_us, forwarder->last_due_us);
	forwarder->last_due_us = chunk->due_us;
	g_queue_push_tail(&forwarder->queue, chunk);
	forwarder->queued_bytes += length;
}

static void on_read(GObject *source, GAsyncResult *result, void *context)
{
	struct forwarder *forwarder = context;
	struct connection *conn = forwarder->conn;
	gssize count = g_input_stream_read_finish(G_INPUT_STREAM(source), result, NULL);

	forwarder->reading = false;
	if (count < 0)
		connection_close(conn);
	forwarder->end_of_stream = count == 0;
	if (!conn->closed && count > 0 && forwarder->out && !is_blocked(forwarder))
		forwarder_enqueue(forwarder, (gsize)count);
	if (!conn->closed)
		forwarder_write(forwarder);
	if (!conn->closed)
		forwarder_read(forwarder);
	connection_end_call(conn);
}

/* Reads the next chunk unless the queue is full. Reads on while data is discarded, so that the
 * sender does not notice the loss. */
static void forwarder_read(struct forwarder *forwarder)
{
	if (forwarder->reading || forwarder->end_of_stream || !forwarder->in ||
	    forwarder->queued_bytes >= QUEUE_MAX_BYTES)
		return;
	forwarder->reading = true;
	forwarder->conn->pending_calls++;
	g_input_stream_read_async(forwarder->in, forwarder->buffer, CHUNK_BYTES, G_PRIORITY_DEFAULT,
				  forwarder->conn->cancel, on_read, forwarder);
}

static void set_no_delay(GSocketConnection *stream)
{
	g_socket_set_option(g_socket_connection_get_socket(stream), 6 /* IPPROTO_TCP */,
			    1 /* TCP_NODELAY */, 1, NULL);
}

static void forwarder_start(struct connection *conn, enum direction direction,
			    GSocketConnection *from, GSocketConnection *to)
{
	struct forwarder *forwarder = &conn->forwarders[direction];

	forwarder->conn = conn;
	forwarder->direction = direction;
	forwarder->in = g_io_stream_get_input_stream(G_IO_STREAM(from));
	forwarder->out = to ? g_io_stream_get_output_stream(G_IO_STREAM(to)) : NULL;
	forwarder->buffer = g_malloc(CHUNK_BYTES);
	forwarder_read(forwarder);
}

static void on_target_connected(GObject *source, GAsyncResult *result, void *context)
{
	struct connection *conn = context;

	conn->target = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, NULL);
	if (!conn->target)
		connection_close(conn);
	if (!conn->closed) {
		set_no_delay(conn->target);
		forwarder_start(conn, DIRECTION_UP, conn->client, conn->target);
		forwarder_start(conn, DIRECTION_DOWN, conn->target, conn->client);
	}
	connection_end_call(conn);
}

static void connection_open(struct route *route, GSocket *socket)
{
	struct connection *conn = g_new0(struct connection, 1);
	GSocketClient *client;

	conn->route = route;
	conn->cancel = g_cancellable_new();
	conn->client = g_socket_connection_factory_create_connection(socket);
	set_no_delay(conn->client);
	g_ptr_array_add(route->connections, conn);
	route->accepted_count++;
	if (route->drop) {
		forwarder_start(conn, DIRECTION_UP, conn->client, NULL);
		return;
	}
	client = g_socket_client_new();
	g_socket_client_set_enable_proxy(client, FALSE);
	conn->pending_calls++;
	g_socket_client_connect_to_host_async(client, route->target_host, route->target_port,
					      conn->cancel, on_target_connected, conn);
	g_object_unref(client);
}

static gboolean on_client_connection(GSocket *listener, GIOCondition condition, void *context)
{
	GSocket *socket = g_socket_accept(listener, NULL, NULL);

	if (socket) {
		connection_open(context, socket);
		g_object_unref(socket);
	}
	return G_SOURCE_CONTINUE;
}

static GSocket *listen_on(const char *host, guint16 *port)
{
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, NULL);
	GSocketAddress *address = g_inet_socket_address_new_from_string(host, *port);
	GError *error = NULL;

	g_socket_set_listen_backlog(socket, BACKLOG);
	if (!g_socket_bind(socket, address, TRUE, &error) || !g_socket_listen(socket, &error)) {
		fprintf(stderr, "cannot listen on port %u: %s\n", *port, error->message);
		exit(1);
	}
	g_object_unref(address);
	address = g_socket_get_local_address(socket, NULL);
	*port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address));
	g_object_unref(address);
	return socket;
}

static void route_listen(struct route *route)
{
	route->listener = listen_on(route->listen_host, &route->listen_port);
	route->source = g_socket_create_source(route->listener, G_IO_IN, NULL);
	g_source_set_callback(route->source, G_SOURCE_FUNC(on_client_connection), route, NULL);
	g_source_attach(route->source, NULL);
}

static void route_stop_listening(struct route *route)
{
	g_source_destroy(route->source);
	g_clear_pointer(&route->source, g_source_unref);
	g_socket_close(route->listener, NULL);
	g_clear_object(&route->listener);
}

static void set_refusing(struct route *route, bool refusing)
{
	if (refusing && !route->refuse)
		route_stop_listening(route);
	if (!refusing && route->refuse)
		route_listen(route);
	route->refuse = refusing;
}

static void close_connections(struct route *route)
{
	while (route->connections->len > 0)
		connection_close(g_ptr_array_index(route->connections, 0));
}

static void silence_connections(struct route *route)
{
	for (guint i = 0; i < route->connections->len; i++)
		((struct connection *)g_ptr_array_index(route->connections, i))->silent = true;
}

/* VALUE names the direction that still forwards data: "up" discards data to the client, "down" data
 * to the target, and "none" ends the fault. */
static bool set_half_open(struct route *route, const char *value)
{
	if (strcmp(value, "up") != 0 && strcmp(value, "down") != 0 && strcmp(value, "none") != 0)
		return false;
	route->blocked[DIRECTION_DOWN] = strcmp(value, "up") == 0;
	route->blocked[DIRECTION_UP] = strcmp(value, "down") == 0;
	return true;
}

static bool apply_setting(struct route *route, const char *key, const char *value)
{
	int number = atoi(value);

	if (strcmp(key, "delay_ms") == 0)
		route->delay_ms = number;
	else if (strcmp(key, "jitter_ms") == 0)
		route->jitter_ms = number;
	else if (strcmp(key, "drop") == 0)
		route->drop = number != 0;
	else if (strcmp(key, "refuse") == 0)
		set_refusing(route, number != 0);
	else if (strcmp(key, "cut") == 0)
		close_connections(route);
	else if (strcmp(key, "silence") == 0)
		silence_connections(route);
	else if (strcmp(key, "half_open") == 0)
		return set_half_open(route, value);
	else
		return false;
	return true;
}

/*
 * Executes the command "NAME KEY [VALUE]", where NAME is a route, and returns the response. KEY is
 * delay_ms, jitter_ms, drop, refuse, half_open, cut, silence or stats. "cut" and "silence" act
 * once, on the open connections; the keys before them stay set. The response to "NAME stats" is
 * "UP-BYTES DOWN-BYTES ACCEPTED OPEN".
 */
static char *execute_command(const char *line)
{
	char **words = g_strsplit(line, " ", 3);
	struct route *route = NULL;
	char *answer;

	for (guint i = 0; i < routes->len && words[0]; i++) {
		struct route *candidate = g_ptr_array_index(routes, i);

		if (strcmp(candidate->name, words[0]) == 0)
			route = candidate;
	}
	if (!route || !words[1])
		answer = g_strdup("unknown route\n");
	else if (strcmp(words[1], "stats") == 0)
		answer = g_strdup_printf("%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
					 " %" G_GUINT64_FORMAT " %u\n",
					 route->forwarded_bytes[DIRECTION_UP],
					 route->forwarded_bytes[DIRECTION_DOWN],
					 route->accepted_count, route->connections->len);
	else
		answer = g_strdup(apply_setting(route, words[1], words[2] ? words[2] : "1")
					  ? "ok\n"
					  : "invalid\n");
	g_strfreev(words);
	return answer;
}

static void on_command(GObject *source, GAsyncResult *result, void *context)
{
	GDataInputStream *input = G_DATA_INPUT_STREAM(source);
	GIOStream *stream = context;
	char *line = g_data_input_stream_read_line_finish(input, result, NULL, NULL);
	char *answer;

	if (!line) {
		g_object_unref(input);
		g_object_unref(stream);
		return;
	}
	answer = execute_command(line);
	g_output_stream_write_all(g_io_stream_get_output_stream(stream), answer, strlen(answer),
				  NULL, NULL, NULL);
	g_free(answer);
	g_free(line);
	g_data_input_stream_read_line_async(input, G_PRIORITY_DEFAULT, NULL, on_command, stream);
}

static gboolean on_control_connection(GSocket *listener, GIOCondition condition, void *context)
{
	GSocket *socket = g_socket_accept(listener, NULL, NULL);
	GSocketConnection *stream;
	GDataInputStream *input;

	if (!socket)
		return G_SOURCE_CONTINUE;
	stream = g_socket_connection_factory_create_connection(socket);
	g_object_unref(socket);
	input = g_data_input_stream_new(g_io_stream_get_input_stream(G_IO_STREAM(stream)));
	g_data_input_stream_read_line_async(input, G_PRIORITY_DEFAULT, NULL, on_command, stream);
	return G_SOURCE_CONTINUE;
}

static void add_route(const char *spec)
{
	char **parts = g_strsplit(spec, ":", 5);
	guint count = g_strv_length(parts);
	struct route *route = g_new0(struct route, 1);

	if (count != 3 && count != 5) {
		fprintf(stderr,
			"route %s: must be NAME:LISTENPORT:TARGETPORT or "
			"NAME:LISTENHOST:LISTENPORT:TARGETHOST:TARGETPORT\n",
			spec);
		exit(2);
	}
	route->name = g_strdup(parts[0]);
	route->listen_host = g_strdup(count == 5 ? parts[1] : "127.0.0.1");
	route->target_host = g_strdup(count == 5 ? parts[3] : "127.0.0.1");
	route->listen_port = (guint16)atoi(parts[count == 5 ? 2 : 1]);
	route->target_port = (guint16)atoi(parts[count == 5 ? 4 : 2]);
	route->connections = g_ptr_array_new();
	g_strfreev(parts);
	route_listen(route);
	g_ptr_array_add(routes, route);
	printf("route %s %u\n", route->name, route->listen_port);
}

static gboolean on_signal(void *context)
{
	g_main_loop_quit(context);
	return G_SOURCE_REMOVE;
}

int main(int argc, char **argv)
{
	char **route_specs = NULL;
	int seed = 1;
	int control_port = 0;
	const GOptionEntry entries[] = {
		{"route", 0, 0, G_OPTION_ARG_STRING_ARRAY, &route_specs,
		 "Forward a port; can be repeated", "NAME:LISTENPORT:TARGETPORT"},
		{"control", 0, 0, G_OPTION_ARG_INT, &control_port,
		 "Control port; 0 chooses a free port", "N"},
		{"seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of the jitter", "N"},
		{0},
	};
	GOptionContext *context = g_option_context_new("- fault-injecting TCP proxy");
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	GError *error = NULL;
	GSource *source;
	guint16 port;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	routes = g_ptr_array_new();
	random_source = g_rand_new_with_seed((guint32)seed);
	printf("seed %d\n", seed);
	for (int i = 0; route_specs && route_specs[i]; i++)
		add_route(route_specs[i]);
	port = (guint16)control_port;
	source = g_socket_create_source(listen_on("127.0.0.1", &port), G_IO_IN, NULL);
	g_source_set_callback(source, G_SOURCE_FUNC(on_control_connection), NULL, NULL);
	g_source_attach(source, NULL);
	g_unix_signal_add(SIGTERM, on_signal, loop);
	g_unix_signal_add(SIGINT, on_signal, loop);
	printf("listening %u\n", port);
	fflush(stdout);
	g_main_loop_run(loop);
	return 0;
}
