/*
 * Stand-in for the platform's log service: in-memory streams of records, served over HTTP.
 *
 * POST /streams/{name}/records appends the body and responds with {"offset": n}.
 *
 * GET /streams/{name}/records?from=n&max=m&wait_ms=w responds with {"first": oldest retained
 * offset, "next": offset of the next append, "records": [{"offset", "time_ms", "data"}]}; it waits
 * up to w ms until there is a record at offset n or later.
 *
 * POST /control sets faults and, with "expire_before", expires the records below that offset, for
 * all streams or for the one named by "streams". GET /control returns the faults and the counters
 * of each stream.
 */
#include <civetweb.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "timer.h"

enum {
	HTTP_THREADS = 200,
	/* Limit of requests held open by "hang", so that threads are left for /control. Connections
	 * of further requests are closed at once. */
	HELD_REQUESTS_MAX = 150,
	BODY_MAX_BYTES = 16 << 20,
	READ_MAX_RECORDS = 1000,
	READ_MAX_BYTES = 8 << 20,
	COMPACT_MIN_EXPIRED = 1024,
	NAME_MAX_BYTES = 100
};

struct record {
	int64_t time_ms;
	size_t length;
	char data[];
};

struct faults {
	bool down;
	bool hang; /* while down, holds requests open instead of closing their connections */
	int64_t delay_ms;
	int64_t lose_answers;	/* number of further appends whose response is lost */
	int64_t refuse_appends; /* number of further appends refused with status 503 */
	double lose_share;	/* probability that the response to an append is lost */
};

struct stream {
	GPtrArray *records; /* the retained records start at index head; those before it have
			       expired */
	guint head;
	uint64_t first_offset; /* offset of the oldest retained record */
	struct faults faults;
	/* Counters that GET /control reports. */
	int64_t appends;
	int64_t reads;
	int64_t lost_responses;
	int64_t refused_appends;
};

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	GHashTable *streams;
	struct faults faults; /* apply to all streams */
	GRand *random;
	bool stopping;
	int held_requests;
} store = {.lock = PTHREAD_MUTEX_INITIALIZER, .changed = PTHREAD_COND_INITIALIZER};

static gint option_port;
static gint64 option_retention_records;
static gint64 option_retention_ms;
static gint option_seed = 1;

static struct stream *find_or_create_stream(const char *name)
{
	struct stream *stream = g_hash_table_lookup(store.streams, name);

	if (stream)
		return stream;
	stream = g_new0(struct stream, 1);
	stream->records = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_insert(store.streams, g_strdup(name), stream);
	return stream;
}

static uint64_t next_offset(const struct stream *stream)
{
	return stream->first_offset + (stream->records->len - stream->head);
}

static const struct record *record_at(const struct stream *stream, uint64_t offset)
{
	return g_ptr_array_index(stream->records, stream->head + (offset - stream->first_offset));
}

static void expire_before(struct stream *stream, uint64_t offset)
{
	while (stream->first_offset < MIN(offset, next_offset(stream))) {
		stream->first_offset++;
		stream->head++;
	}
	if (stream->head < COMPACT_MIN_EXPIRED)
		return;
	g_ptr_array_remove_range(stream->records, 0, stream->head);
	stream->head = 0;
}

static void apply_retention(struct stream *stream)
{
	int64_t now_ms = timer_wall_ms();
	uint64_t next = next_offset(stream);

	if (option_retention_records > 0 && next > (uint64_t)option_retention_records)
		expire_before(stream, next - (uint64_t)option_retention_records);
	while (option_retention_ms > 0 && stream->first_offset < next &&
	       record_at(stream, stream->first_offset)->time_ms < now_ms - option_retention_ms)
		expire_before(stream, stream->first_offset + 1);
}

static int respond_json(struct mg_connection *conn, int code, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
		  code, mg_get_response_code_text(conn, code), strlen(text));
	mg_write(conn, text, strlen(text));
	free(text);
	json_decref(body);
	return code;
}

static int respond_error(struct mg_connection *conn, int code, const char *message)
{
	return respond_json(conn, code, json_pack("{ss}", "error", message));
}

/* Closes the connection without a response. */
static int close_without_response(struct mg_connection *conn)
{
	mg_disable_connection_keep_alive(conn);
	return 200;
}

/* Returns the request body, or NULL if it exceeds BODY_MAX_BYTES or reading it failed. */
static GString *read_body(struct mg_connection *conn)
{
	GString *body = g_string_new(NULL);
	char part[16384];
	int length;

	while ((length = mg_read(conn, part, sizeof(part))) > 0 && body->len <= BODY_MAX_BYTES)
		g_string_append_len(body, part, length);
	if (length == 0 && body->len <= BODY_MAX_BYTES)
		return body;
	g_string_free(body, TRUE);
	return NULL;
}

/* Waits until the store changes or the monotonic clock reaches UNTIL_US. Returns false on timeout.
 * The caller holds the lock. */
static bool wait_for_change(int64_t until_us)
{
	struct timespec until = {.tv_sec = until_us / G_USEC_PER_SEC,
				 .tv_nsec = until_us % G_USEC_PER_SEC * 1000};

	return pthread_cond_clockwait(&store.changed, &store.lock, CLOCK_MONOTONIC, &until) == 0;
}

/* Delays or holds the request as the faults "delay_ms", "down" and "hang" demand. Returns false if
 * its connection must be closed without a response. The caller holds the lock. */
static bool wait_for_faults(const struct stream *stream)
{
	int64_t delay_ms = MAX(store.faults.delay_ms, stream->faults.delay_ms);
	int64_t until_us = g_get_monotonic_time() + delay_ms * 1000;

	while (delay_ms > 0 && !store.stopping && wait_for_change(until_us))
		;
	if (!store.faults.down && !stream->faults.down)
		return true;
	while ((store.faults.hang || stream->faults.hang) &&
	       (store.faults.down || stream->faults.down) && !store.stopping &&
	       store.held_requests < HELD_REQUESTS_MAX) {
		store.held_requests++;
		pthread_cond_wait(&store.changed, &store.lock);
		store.held_requests--;
	}
	return false;
}

/* Consumes one occurrence of a counted fault, first from the stream's count. Returns false if both
 * counts are 0. */
static bool consume_fault(int64_t *stream_count, int64_t *global_count)
{
	int64_t *count = *stream_count > 0 ? stream_count : global_count;

	if (*count <= 0)
		return false;
	(*count)--;
	return true;
}

static uint64_t add_record(struct stream *stream, const GString *body)
{
	struct record *record = g_malloc(sizeof(*record) + body->len);

	record->time_ms = timer_wall_ms();
	record->length = body->len;
	memcpy(record->data, body->str, body->len);
	g_ptr_array_add(stream->records, record);
	stream->appends++;
	apply_retention(stream);
	pthread_cond_broadcast(&store.changed);
	return next_offset(stream) - 1;
}

static bool draw_response_loss(struct stream *stream)
{
	double share = MAX(store.faults.lose_share, stream->faults.lose_share);

	if (consume_fault(&stream->faults.lose_answers, &store.faults.lose_answers))
		return true;
	return share > 0 && g_rand_double(store.random) < share;
}

static int append_record(struct mg_connection *conn, const char *name)
{
	GString *body = read_body(conn);
	struct stream *stream;
	uint64_t offset = 0;
	bool lost = false;
	bool refused = false;
	bool may_respond;

	if (!body)
		return respond_error(conn, 413, "cannot read the body, or it is too large");
	if (!g_utf8_validate(body->str, (gssize)body->len, NULL)) {
		g_string_free(body, TRUE);
		return respond_error(conn, 400, "body must be UTF-8 without zero bytes");
	}
	pthread_mutex_lock(&store.lock);
	stream = find_or_create_stream(name);
	may_respond = wait_for_faults(stream);
	if (may_respond)
		refused =
			consume_fault(&stream->faults.refuse_appends, &store.faults.refuse_appends);
	if (may_respond && !refused) {
		offset = add_record(stream, body);
		lost = draw_response_loss(stream);
	}
	stream->refused_appends += refused;
	stream->lost_responses += lost;
	pthread_mutex_unlock(&store.lock);
	g_string_free(body, TRUE);
	if (!may_respond || lost)
		return close_without_response(conn);
	if (refused)
		return respond_error(conn, 503, "append refused");
	return respond_json(conn, 200, json_pack("{sI}", "offset", (json_int_t)offset));
}

static int64_t query_number(const struct mg_connection *conn, const char *key,
			    int64_t default_value)
{
	const char *query = mg_get_request_info(conn)->query_string;
	char text[32];

	if (!query || mg_get_var(query, strlen(query), key, text, sizeof(text)) <= 0)
		return default_value;
	return g_ascii_strtoll(text, NULL, 10);
}

static json_t *records_to_json(const struct stream *stream, uint64_t from, int64_t max)
{
	json_t *list = json_array();
	size_t bytes = 0;

	for (uint64_t offset = MAX(from, stream->first_offset); offset < next_offset(stream);
	     offset++) {
		const struct record *record = record_at(stream, offset);

		if ((int64_t)json_array_size(list) >= max || bytes > READ_MAX_BYTES)
			break;
		bytes += record->length;
		json_array_append_new(list, json_pack("{sIsIss%}", "offset", (json_int_t)offset,
						      "time_ms", (json_int_t)record->time_ms,
						      "data", record->data, record->length));
	}
	return list;
}

static int read_records(struct mg_connection *conn, const char *name)
{
	uint64_t from = (uint64_t)MAX(query_number(conn, "from", 0), 0);
	int64_t max = CLAMP(query_number(conn, "max", READ_MAX_RECORDS), 1, READ_MAX_RECORDS);
	int64_t wait_ms = CLAMP(query_number(conn, "wait_ms", 0), 0, 60000);
	int64_t until_us = g_get_monotonic_time() + wait_ms * 1000;
	struct stream *stream;
	json_t *body = NULL;

	pthread_mutex_lock(&store.lock);
	stream = find_or_create_stream(name);
	stream->reads++;
	while (wait_for_faults(stream)) {
		apply_retention(stream);
		if (from < next_offset(stream) || store.stopping || !wait_for_change(until_us)) {
			body = json_pack("{sIsIso}", "first", (json_int_t)stream->first_offset,
					 "next", (json_int_t)next_offset(stream), "records",
					 records_to_json(stream, from, max));
			break;
		}
	}
	pthread_mutex_unlock(&store.lock);
	return body ? respond_json(conn, 200, body) : close_without_response(conn);
}

static int handle_stream(struct mg_connection *conn, void *context)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	char **parts = g_strsplit(info->local_uri, "/", -1);
	int code;

	/* The parts are "", "streams", name, "records". */
	if (g_strv_length(parts) != 4 || !*parts[2] || strlen(parts[2]) > NAME_MAX_BYTES ||
	    strcmp(parts[3], "records") != 0)
		code = respond_error(conn, 404, "not found");
	else if (strcmp(info->request_method, "POST") == 0)
		code = append_record(conn, parts[2]);
	else if (strcmp(info->request_method, "GET") == 0)
		code = read_records(conn, parts[2]);
	else
		code = respond_error(conn, 405, "method must be GET or POST");
	g_strfreev(parts);
	return code;
}

static void set_faults(struct faults *faults, const json_t *control)
{
	const json_t *value;

	if ((value = json_object_get(control, "down")) != NULL)
		faults->down = json_is_true(value);
	if ((value = json_object_get(control, "hang")) != NULL)
		faults->hang = json_is_true(value);
	if ((value = json_object_get(control, "delay_ms")) != NULL)
		faults->delay_ms = json_integer_value(value);
	if ((value = json_object_get(control, "lose_answers")) != NULL)
		faults->lose_answers = json_integer_value(value);
	if ((value = json_object_get(control, "refuse_appends")) != NULL)
		faults->refuse_appends = json_integer_value(value);
	if ((value = json_object_get(control, "lose_share")) != NULL)
		faults->lose_share = json_number_value(value);
}

static void expire_all(uint64_t offset)
{
	GHashTableIter iter;
	gpointer stream;

	g_hash_table_iter_init(&iter, store.streams);
	while (g_hash_table_iter_next(&iter, NULL, &stream))
		expire_before(stream, offset);
}

static json_t *faults_to_json(const struct faults *faults)
{
	return json_pack("{sbsbsIsIsIsf}", "down", faults->down, "hang", faults->hang, "delay_ms",
			 (json_int_t)faults->delay_ms, "lose_answers",
			 (json_int_t)faults->lose_answers, "refuse_appends",
			 (json_int_t)faults->refuse_appends, "lose_share", faults->lose_share);
}

static json_t *status_to_json(void)
{
	json_t *body = faults_to_json(&store.faults);
	json_t *streams = json_object();
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, store.streams);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct stream *stream = value;
		json_t *item = faults_to_json(&stream->faults);

		json_object_update_new(
			item,
			json_pack("{sIsIsIsIsIsI}", "first", (json_int_t)stream->first_offset,
				  "next", (json_int_t)next_offset(stream), "appends",
				  (json_int_t)stream->appends, "reads", (json_int_t)stream->reads,
				  "lost_answers", (json_int_t)stream->lost_responses, "refused",
				  (json_int_t)stream->refused_appends));
		json_object_set_new(streams, name, item);
	}
	json_object_set_new(body, "streams", streams);
	return body;
}

/* Applies the body of POST /control. The caller holds the lock. */
static void apply_control(const json_t *document)
{
	const char *name = json_string_value(json_object_get(document, "streams"));
	const json_t *expire = json_object_get(document, "expire_before");
	struct stream *stream = name ? find_or_create_stream(name) : NULL;

	set_faults(stream ? &stream->faults : &store.faults, document);
	if (stream && expire)
		expire_before(stream, (uint64_t)json_integer_value(expire));
	else if (expire)
		expire_all((uint64_t)json_integer_value(expire));
	pthread_cond_broadcast(&store.changed);
}

static int handle_control(struct mg_connection *conn, void *context)
{
	bool is_post = strcmp(mg_get_request_info(conn)->request_method, "POST") == 0;
	json_t *document = NULL;
	json_t *body;

	if (is_post) {
		GString *text = read_body(conn);

		document = text ? json_loads(text->str, 0, NULL) : NULL;
		if (text)
			g_string_free(text, TRUE);
		if (!json_is_object(document)) {
			json_decref(document);
			return respond_error(conn, 400, "body must be a JSON object");
		}
	}
	pthread_mutex_lock(&store.lock);
	if (document)
		apply_control(document);
	body = status_to_json();
	pthread_mutex_unlock(&store.lock);
	json_decref(document);
	return respond_json(conn, 200, body);
}

static bool parse_options(int argc, char **argv)
{
	const GOptionEntry entries[] = {
		{"port", 0, 0, G_OPTION_ARG_INT, &option_port,
		 "Port to listen on; 0 chooses a free port", "N"},
		{"retention-records", 0, 0, G_OPTION_ARG_INT64, &option_retention_records,
		 "Number of records retained in each stream; 0 retains all", "N"},
		{"retention-ms", 0, 0, G_OPTION_ARG_INT64, &option_retention_ms,
		 "Retention time of records in ms; 0 retains them forever", "N"},
		{"seed", 0, 0, G_OPTION_ARG_INT, &option_seed,
		 "Seed of the random faults (lose_share)", "N"},
		{0},
	};
	GOptionContext *context = g_option_context_new("- stand-in for the log service");
	GError *error = NULL;
	bool parsed;

	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, &error);
	if (!parsed) {
		fprintf(stderr, "standin_log: %s\n", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return parsed;
}

static struct mg_context *start_server(void)
{
	char address[32];
	char threads[16];
	const char *options[] = {"listening_ports",    address, "num_threads", threads,
				 "enable_keep_alive",  "yes",	"tcp_nodelay", "1",
				 "request_timeout_ms", "10000", NULL};
	struct mg_context *server;

	g_snprintf(address, sizeof(address), "127.0.0.1:%d", option_port);
	g_snprintf(threads, sizeof(threads), "%d", HTTP_THREADS);
	server = mg_start(NULL, NULL, options);
	if (!server)
		return NULL;
	mg_set_request_handler(server, "/streams", handle_stream, NULL);
	mg_set_request_handler(server, "/control", handle_control, NULL);
	return server;
}

static void wake_waiting_requests(void)
{
	pthread_mutex_lock(&store.lock);
	store.stopping = true;
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
}

static void free_stream(gpointer data)
{
	struct stream *stream = data;

	g_ptr_array_free(stream->records, TRUE);
	g_free(stream);
}

int main(int argc, char **argv)
{
	struct mg_server_port port = {0};
	struct mg_context *server;
	sigset_t signals;
	int number;

	if (!parse_options(argc, argv))
		return 2;
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	store.streams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_stream);
	store.random = g_rand_new_with_seed((guint32)option_seed);
	server = start_server();
	if (!server || mg_get_server_ports(server, 1, &port) < 1) {
		fprintf(stderr, "standin_log: cannot listen on port %d\n", option_port);
		return 1;
	}
	printf("listening %d\n", port.port);
	fflush(stdout);
	sigwait(&signals, &number);
	wake_waiting_requests();
	mg_stop(server);
	g_hash_table_destroy(store.streams);
	g_rand_free(store.random);
	return 0;
}
