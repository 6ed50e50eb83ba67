/* Fault-injecting TCP proxy: one process forwards many routes and breaks them as told on a control
 * port. */
#include <gio/gio.h>
#include <glib-unix.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	CHUNK_BYTES = 65536,
	QUEUE_MAX_BYTES = 4 << 20, /* reading pauses beyond it */
	BACKLOG = 256,
	MS_PER_SECOND = 1000,
};

enum direction {
	UP,   /* from the client to the target */
	DOWN, /* from the target to the client */
	DIRECTIONS,
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
	bool drop;
	bool refuse;
	bool blocked[DIRECTIONS]; /* half open: nothing is forwarded this way */
	GPtrArray *links;
	guint64 bytes[DIRECTIONS];
	guint64 accepted;
};

struct chunk {
	gint64 due_us;
	gsize length;
	char data[];
};

struct link;

/* One direction of a connection. */
struct pump {
	struct link *link;
	enum direction direction;
	GInputStream *in;
	GOutputStream *out; /* NULL discards */
	GQueue queue;	    /* of struct chunk */
	gsize queued;
	gint64 last_due_us;
	char *buffer;
	guint timer;
	bool reading;
	bool writing;
	bool ended; /* the sender closed */
};

struct link {
	struct route *route;
	GSocketConnection *client;
	GSocketConnection *target;
	struct pump pumps[DIRECTIONS];
	GCancellable *cancel;
	int pending; /* asynchronous calls that hold the link */
	bool silent;
	bool closed;
};

static GPtrArray *routes;
static GRand *random_source;

static void pump_read(struct pump *pump);
static void pump_write(struct pump *pump);

static void pump_clear(struct pump *pump)
{
	if (pump->timer)
		g_source_remove(pump->timer);
	g_queue_clear_full(&pump->queue, g_free);
	g_free(pump->buffer);
}

/* Ends an asynchronous call that held the link. The last one after link_close frees it. */
static void link_end_call(struct link *link)
{
	link->pending--;
	if (!link->closed || link->pending > 0)
		return;
	for (int i = 0; i < DIRECTIONS; i++)
		pump_clear(&link->pumps[i]);
	g_clear_object(&link->client);
	g_clear_object(&link->target);
	g_object_unref(link->cancel);
	g_free(link);
}

static gboolean on_closed(void *context)
{
	link_end_call(context);
	return G_SOURCE_REMOVE;
}

/* Closes both sides. */
static void link_close(struct link *link)
{
	if (link->closed)
		return;
	link->closed = true;
	g_ptr_array_remove_fast(link->route->links, link);
	g_cancellable_cancel(link->cancel);
	if (link->client)
		g_socket_close(g_socket_connection_get_socket(link->client), NULL);
	if (link->target)
		g_socket_close(g_socket_connection_get_socket(link->target), NULL);
	link->pending++;
	g_idle_add(on_closed, link);
}

/* Returns whether what comes in is discarded without the sender's notice. */
static bool is_blocked(const struct pump *pump)
{
	return pump->link->silent || pump->link->route->blocked[pump->direction];
}

static gboolean on_due(void *context)
{
	struct pump *pump = context;

	pump->timer = 0;
	pump_write(pump);
	return G_SOURCE_REMOVE;
}

static void on_written(GObject *source, GAsyncResult *result, void *context)
{
	struct pump *pump = context;
	struct link *link = pump->link;
	struct chunk *chunk = g_queue_pop_head(&pump->queue);
	bool written =
		g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, NULL, NULL);

	pump->writing = false;
	if (chunk) {
		pump->queued -= chunk->length;
		link->route->bytes[pump->direction] += chunk->length;
		g_free(chunk);
	}
	if (!written)
		link_close(link);
	if (!link->closed)
		pump_write(pump);
	if (!link->closed)
		pump_read(pump);
	link_end_call(link);
}

/* Writes the first chunk once its delay has passed; closes the link after the last one of a sender
 * that closed. */
static void pump_write(struct pump *pump)
{
	struct chunk *chunk = g_queue_peek_head(&pump->queue);
	gint64 wait_us;

	if (pump->writing || pump->timer)
		return;
	if (!chunk) {
		if (pump->ended && !is_blocked(pump))
			link_close(pump->link);
		return;
	}
	wait_us = chunk->due_us - g_get_monotonic_time();
	if (wait_us > 0) {
		pump->timer = g_timeout_add((guint)(wait_us / MS_PER_SECOND + 1), on_due, pump);
		return;
	}
	pump->writing = true;
	pump->link->pending++;
	g_output_stream_write_all_async(pump->out, chunk->data, chunk->length, G_PRIORITY_DEFAULT,
					pump->link->cancel, on_written, pump);
}

static void pump_queue(struct pump *pump, gsize length)
{
	const struct route *route = pump->link->route;
	struct chunk *chunk = g_malloc(sizeof(*chunk) + length);
	gint64 delay_ms = route->delay_ms;

	if (route->jitter_ms > 0)
		delay_ms += g_rand_int_range(random_source, 0, route->jitter_ms + 1);
	memcpy(chunk->data, pump->buffer, length);
	chunk->length = length;
	chunk->due_us = g_get_monotonic_time() + delay_ms * MS_PER_SECOND;
	/* Bytes never overtake each other. */
	chunk->due_us = MAX(chunk->due_us, pump->last_due_us);
	pump->last_due_us = chunk->due_us;
	g_queue_push_tail(&pump->queue, chunk);
	pump->queued += length;
}

static void on_read(GObject *source, GAsyncResult *result, void *context)
{
	struct pump *pump = context;
	struct link *link = pump->link;
	gssize count = g_input_stream_read_finish(G_INPUT_STREAM(source), result, NULL);

	pump->reading = false;
	if (count < 0)
		link_close(link);
	pump->ended = count == 0;
	if (!link->closed && count > 0 && pump->out && !is_blocked(pump))
		pump_queue(pump, (gsize)count);
	if (!link->closed)
		pump_write(pump);
	if (!link->closed)
		pump_read(pump);
	link_end_call(link);
}

/* Reads on, also where nothing is forwarded: the sender cannot tell that its bytes are lost. */
static void pump_read(struct pump *pump)
{
	if (pump->reading || pump->ended || !pump->in || pump->queued >= QUEUE_MAX_BYTES)
		return;
	pump->reading = true;
	pump->link->pending++;
	g_input_stream_read_async(pump->in, pump->buffer, CHUNK_BYTES, G_PRIORITY_DEFAULT,
				  pump->link->cancel, on_read, pump);
}

static void set_no_delay(GSocketConnection *connection)
{
	g_socket_set_option(g_socket_connection_get_socket(connection), 6 /* IPPROTO_TCP */,
			    1 /* TCP_NODELAY */, 1, NULL);
}

static void pump_start(struct link *link, enum direction direction, GSocketConnection *from,
		       GSocketConnection *to)
{
	struct pump *pump = &link->pumps[direction];

	pump->link = link;
	pump->direction = direction;
	pump->in = g_io_stream_get_input_stream(G_IO_STREAM(from));
	pump->out = to ? g_io_stream_get_output_stream(G_IO_STREAM(to)) : NULL;
	pump->buffer = g_malloc(CHUNK_BYTES);
	pump_read(pump);
}

static void on_target(GObject *source, GAsyncResult *result, void *context)
{
	struct link *link = context;

	link->target = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, NULL);
	if (!link->target)
		link_close(link);
	if (!link->closed) {
		set_no_delay(link->target);
		pump_start(link, UP, link->client, link->target);
		pump_start(link, DOWN, link->target, link->client);
	}
	link_end_call(link);
}

static void link_begin(struct route *route, GSocket *socket)
{
	struct link *link = g_new0(struct link, 1);
	GSocketClient *client;

	link->route = route;
	link->cancel = g_cancellable_new();
	link->client = g_socket_connection_factory_create_connection(socket);
	set_no_delay(link->client);
	g_ptr_array_add(route->links, link);
	route->accepted++;
	if (route->drop) {
		pump_start(link, UP, link->client, NULL);
		return;
	}
	client = g_socket_client_new();
	g_socket_client_set_enable_proxy(client, FALSE);
	link->pending++;
	g_socket_client_connect_to_host_async(client, route->target_host, route->target_port,
					      link->cancel, on_target, link);
	g_object_unref(client);
}

static gboolean on_incoming(GSocket *listener, GIOCondition condition, void *context)
{
	GSocket *socket = g_socket_accept(listener, NULL, NULL);

	if (socket) {
		link_begin(context, socket);
		g_object_unref(socket);
	}
	return G_SOURCE_CONTINUE;
}

static GSocket *listen_on(const char *host, guint16 *port)
{
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, NULL);
	GSocketAddress *address = g_inet_socket_address_new_from_string(host, *port);
	GError *problem = NULL;

	g_socket_set_listen_backlog(socket, BACKLOG);
	if (!g_socket_bind(socket, address, TRUE, &problem) || !g_socket_listen(socket, &problem)) {
		fprintf(stderr, "port %u: %s\n", *port, problem->message);
		exit(1);
	}
	g_object_unref(address);
	address = g_socket_get_local_address(socket, NULL);
	*port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address));
	g_object_unref(address);
	return socket;
}

static void route_open(struct route *route)
{
	route->listener = listen_on(route->listen_host, &route->listen_port);
	route->source = g_socket_create_source(route->listener, G_IO_IN, NULL);
	g_source_set_callback(route->source, G_SOURCE_FUNC(on_incoming), route, NULL);
	g_source_attach(route->source, NULL);
}

static void route_shut(struct route *route)
{
	g_source_destroy(route->source);
	g_clear_pointer(&route->source, g_source_unref);
	g_socket_close(route->listener, NULL);
	g_clear_object(&route->listener);
}

static void set_refuse(struct route *route, bool refuse)
{
	if (refuse && !route->refuse)
		route_shut(route);
	if (!refuse && route->refuse)
		route_open(route);
	route->refuse = refuse;
}

static void cut(struct route *route)
{
	while (route->links->len > 0)
		link_close(g_ptr_array_index(route->links, 0));
}

static void silence(struct route *route)
{
	for (guint i = 0; i < route->links->len; i++)
		((struct link *)g_ptr_array_index(route->links, i))->silent = true;
}

static bool set_half_open(struct route *route, const char *value)
{
	if (strcmp(value, "up") != 0 && strcmp(value, "down") != 0 && strcmp(value, "none") != 0)
		return false;
	route->blocked[DOWN] = strcmp(value, "up") == 0;
	route->blocked[UP] = strcmp(value, "down") == 0;
	return true;
}

static bool apply(struct route *route, const char *key, const char *value)
{
	int number = atoi(value);

	if (strcmp(key, "delay_ms") == 0)
		route->delay_ms = number;
	else if (strcmp(key, "jitter_ms") == 0)
		route->jitter_ms = number;
	else if (strcmp(key, "drop") == 0)
		route->drop = number != 0;
	else if (strcmp(key, "refuse") == 0)
		set_refuse(route, number != 0);
	else if (strcmp(key, "cut") == 0)
		cut(route);
	else if (strcmp(key, "silence") == 0)
		silence(route);
	else if (strcmp(key, "half_open") == 0)
		return set_half_open(route, value);
	else
		return false;
	return true;
}

/* Carries out "NAME KEY [VALUE]" and returns the answer. "NAME stats" answers "UP-BYTES DOWN-BYTES
 * ACCEPTED OPEN". */
static char *run_line(const char *line)
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
		answer = g_strdup_printf(
			"%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %u\n",
			route->bytes[UP], route->bytes[DOWN], route->accepted, route->links->len);
	else
		answer = g_strdup(apply(route, words[1], words[2] ? words[2] : "1") ? "ok\n"
										    : "invalid\n");
	g_strfreev(words);
	return answer;
}

static void on_line(GObject *source, GAsyncResult *result, void *context)
{
	GDataInputStream *input = G_DATA_INPUT_STREAM(source);
	GIOStream *connection = context;
	char *line = g_data_input_stream_read_line_finish(input, result, NULL, NULL);
	char *answer;

	if (!line) {
		g_object_unref(input);
		g_object_unref(connection);
		return;
	}
	answer = run_line(line);
	g_output_stream_write_all(g_io_stream_get_output_stream(connection), answer, strlen(answer),
				  NULL, NULL, NULL);
	g_free(answer);
	g_free(line);
	g_data_input_stream_read_line_async(input, G_PRIORITY_DEFAULT, NULL, on_line, connection);
}

static gboolean on_control(GSocket *listener, GIOCondition condition, void *context)
{
	GSocket *socket = g_socket_accept(listener, NULL, NULL);
	GSocketConnection *connection;
	GDataInputStream *input;

	if (!socket)
		return G_SOURCE_CONTINUE;
	connection = g_socket_connection_factory_create_connection(socket);
	g_object_unref(socket);
	input = g_data_input_stream_new(g_io_stream_get_input_stream(G_IO_STREAM(connection)));
	g_data_input_stream_read_line_async(input, G_PRIORITY_DEFAULT, NULL, on_line, connection);
	return G_SOURCE_CONTINUE;
}

static void add_route(const char *text)
{
	char **parts = g_strsplit(text, ":", 5);
	guint count = g_strv_length(parts);
	struct route *route = g_new0(struct route, 1);

	if (count != 3 && count != 5) {
		fprintf(stderr,
			"route %s: accepted: NAME:LISTENPORT:TARGETPORT or "
			"NAME:LISTENHOST:LISTENPORT:TARGETHOST:TARGETPORT\n",
			text);
		exit(2);
	}
	route->name = g_strdup(parts[0]);
	route->listen_host = g_strdup(count == 5 ? parts[1] : "127.0.0.1");
	route->target_host = g_strdup(count == 5 ? parts[3] : "127.0.0.1");
	route->listen_port = (guint16)atoi(parts[count == 5 ? 2 : 1]);
	route->target_port = (guint16)atoi(parts[count == 5 ? 4 : 2]);
	route->links = g_ptr_array_new();
	g_strfreev(parts);
	route_open(route);
	g_ptr_array_add(routes, route);
	printf("route %s %u\n", route->name, route->listen_port);
}

static gboolean on_stop(void *context)
{
	g_main_loop_quit(context);
	return G_SOURCE_REMOVE;
}

int main(int argc, char **argv)
{
	char **names = NULL;
	int seed = 1;
	int control_port = 0;
	const GOptionEntry entries[] = {
		{"route", 0, 0, G_OPTION_ARG_STRING_ARRAY, &names, "Forward a port",
		 "NAME:LISTENPORT:TARGETPORT"},
		{"control", 0, 0, G_OPTION_ARG_INT, &control_port, "Control port, 0 for any", "N"},
		{"seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of the jitter", "N"},
		{0},
	};
	GOptionContext *context = g_option_context_new("- fault-injecting TCP proxy");
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	GError *problem = NULL;
	GSource *source;
	guint16 port;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &problem)) {
		fprintf(stderr, "%s\n", problem->message);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	routes = g_ptr_array_new();
	random_source = g_rand_new_with_seed((guint32)seed);
	printf("seed %d\n", seed);
	for (int i = 0; names && names[i]; i++)
		add_route(names[i]);
	port = (guint16)control_port;
	source = g_socket_create_source(listen_on("127.0.0.1", &port), G_IO_IN, NULL);
	g_source_set_callback(source, G_SOURCE_FUNC(on_control), NULL, NULL);
	g_source_attach(source, NULL);
	g_unix_signal_add(SIGTERM, on_stop, loop);
	g_unix_signal_add(SIGINT, on_stop, loop);
	printf("listening %u\n", port);
	fflush(stdout);
	g_main_loop_run(loop);
	return 0;
}
