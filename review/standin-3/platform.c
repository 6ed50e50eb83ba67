/*
 * Stand-in for the users' platform: a store with keyed topics, or an executor beside an agent.
 *
 * usage: platform STORE_ADDRESS
 *        platform EXECUTOR_ADDRESS AGENT_CONTROL_ADDRESS ID ZONE
 *
 * The spec of a task is its run time in milliseconds. Every event of an executor is a line on
 * standard output: the wall clock in ms, then what happened. Its steady clock does not count the
 * time for which its machine is suspended, which is from a SIGSTOP to the next SIGCONT.
 *
 * At the store's address, POST /standin/record?key=K appends its body to the operator's topic, or
 * deletes K if the body is empty.
 */
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "http_client.h"
#include "http_server.h"

enum {
	US_PER_MS = 1000,
	US_PER_S = 1000000,
	NS_PER_US = 1000,
	TICK_MS = 2,
	HEARTBEAT_MS = 1500,
	HEARTBEAT_TIMEOUT_MS = 1000,
	LEASE_MAX_MS = 1000, /* holdMaxMs */
	STOP_MS = 40,	     /* stopMs is 50 */
	CPU = 16000,
	TASK_CPU = 1000,
	BODY_MAX_BYTES = 4 << 20,
	HEADER_MAX_BYTES = 16384,
	CONNECTION_LIMIT_MS = 60000,
	OFFSET_BYTES = 8
};

struct run {
	char *task;
	int64_t attempt;
	int64_t started_us;
	int64_t ends_us;
	bool stopping;
};

struct waiting_hold {
	struct http_request *request;
	int64_t until_us;
};

/* All times of an executor are on its steady clock. */
struct executor {
	const char *address;
	const char *id;
	const char *zone;
	struct http_server *server;
	struct http_client *agent;
	GPtrArray *runs;      /* struct run * */
	GHashTable *highest;  /* task -> highest attempt that was stopped or has ended */
	json_t *finished;     /* rows that are not acknowledged */
	GArray *holds;	      /* struct waiting_hold */
	int64_t last_end;     /* number of the last row */
	int64_t fence;	      /* highest seen */
	int64_t lease_end_us; /* of all runs */
	int64_t born_us;
	int64_t born_ms; /* on the wall clock */
	int64_t sequence;
};

struct record {
	char *key;
	GBytes *value;
};

struct waiting_read {
	struct http_request *request;
	char *topic;
	size_t from;
	int64_t until_us;
};

static struct net_loop loop;
static volatile int64_t suspended_us; /* total */
static volatile int64_t ticked_us;    /* the last time at which the machine was awake */
static GHashTable *topics;	      /* name -> GArray of struct record */
static GArray *reads;		      /* struct waiting_read */

static int64_t steady_us(void)
{
	return timer_clock_us() - suspended_us;
}

static void on_resumed(int signal)
{
	struct timespec now;
	int64_t now_us;

	clock_gettime(CLOCK_MONOTONIC, &now);
	now_us = (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
	suspended_us += now_us - ticked_us;
	ticked_us = now_us;
}

static void log_run(const struct executor *executor, const char *event, const struct run *run,
		    const char *how)
{
	printf("%lld %s %s %s attempt %lld %s\n", (long long)timer_wall_ms(), executor->id, event,
	       run->task, (long long)run->attempt, how);
	fflush(stdout);
}

static void respond(struct http_request *request, int code, json_t *document)
{
	char *text = json_dumps(document, JSON_COMPACT);

	http_respond(request, code, NULL, text);
	free(text);
	json_decref(document);
}

static json_t *read_body(const struct http_request *request)
{
	size_t length;
	const char *body = http_request_body(request, &length);

	return json_loadb(body, length, 0, NULL);
}

static char *query_value(const struct http_request *request, const char *name)
{
	const char *query = http_request_query(request);
	GHashTable *values = query ? g_uri_parse_params(query, -1, "&", 0, NULL) : NULL;
	char *value = values ? g_strdup(g_hash_table_lookup(values, name)) : NULL;

	if (values)
		g_hash_table_destroy(values);
	return value;
}

/* ---- executors ---- */

static int64_t clock_ms(const struct executor *executor)
{
	return (steady_us() - executor->born_us) / US_PER_MS + 1;
}

static json_t *clock_json(const struct executor *executor)
{
	return json_pack("{s:I, s:I}", "clockMs", (json_int_t)clock_ms(executor), "born",
			 (json_int_t)executor->born_ms);
}

static void refuse(struct http_request *request, const struct executor *executor,
		   const char *reason)
{
	json_t *document = clock_json(executor);

	json_object_set_new(document, "reason", json_string(reason));
	respond(request, 409, document);
}

static struct run *find_run(const struct executor *executor, const char *task, guint *index)
{
	for (*index = 0; *index < executor->runs->len; (*index)++) {
		struct run *run = executor->runs->pdata[*index];

		if (strcmp(run->task, task) == 0)
			return run;
	}
	return NULL;
}

static void raise_highest(struct executor *executor, const char *task, int64_t attempt)
{
	int64_t highest = (int64_t)GPOINTER_TO_SIZE(g_hash_table_lookup(executor->highest, task));

	if (attempt > highest)
		g_hash_table_replace(executor->highest, g_strdup(task),
				     GSIZE_TO_POINTER((gsize)attempt));
}

static void end_run(struct executor *executor, guint index, const char *how)
{
	struct run *run = executor->runs->pdata[index];

	log_run(executor, "end", run, how);
	json_array_append_new(executor->finished,
			      json_pack("[I,s,I,s,s]", (json_int_t)++executor->last_end, run->task,
					(json_int_t)run->attempt, how, ""));
	raise_highest(executor, run->task, run->attempt);
	g_ptr_array_remove_index_fast(executor->runs, index);
	g_free(run->task);
	g_free(run);
}

static void end_due_runs(struct executor *executor)
{
	int64_t now_us = steady_us();

	for (guint i = executor->runs->len; i-- > 0;) {
		const struct run *run = executor->runs->pdata[i];

		if (run->ends_us <= now_us)
			end_run(executor, i, run->stopping ? "stopped" : "done");
		else if (executor->lease_end_us < now_us)
			end_run(executor, i, "lapsed");
	}
}

static void extend_lease(struct executor *executor, const json_t *document)
{
	int64_t expires_ms = json_integer_value(json_object_get(document, "expiresMs"));
	int64_t left_ms = MIN(expires_ms - clock_ms(executor), LEASE_MAX_MS);

	executor->lease_end_us = MAX(executor->lease_end_us, steady_us() + left_ms * US_PER_MS);
}

/* Returns why the run is refused, or NULL. */
static const char *start_run(struct executor *executor, const json_t *document)
{
	const char *task = json_string_value(json_object_get(document, "task"));
	const char *spec = json_string_value(json_object_get(document, "spec"));
	int64_t attempt = json_integer_value(json_object_get(document, "attempt"));
	int64_t expires_ms = json_integer_value(json_object_get(document, "expiresMs"));
	guint index;
	struct run *run = find_run(executor, task, &index);

	if (run && run->attempt == attempt)
		return NULL;
	if (expires_ms < clock_ms(executor))
		return "late";
	extend_lease(executor, document);
	if (run ||
	    attempt <= (int64_t)GPOINTER_TO_SIZE(g_hash_table_lookup(executor->highest, task)))
		return "old";
	if ((executor->runs->len + 1) * TASK_CPU > CPU)
		return "room";
	run = g_new0(struct run, 1);
	run->task = g_strdup(task);
	run->attempt = attempt;
	run->started_us = steady_us();
	run->ends_us = run->started_us + g_ascii_strtoll(spec ? spec : "", NULL, 10) * US_PER_MS;
	g_ptr_array_add(executor->runs, run);
	log_run(executor, "start", run, "");
	return NULL;
}

static void handle_start(struct executor *executor, struct http_request *request,
			 const json_t *document)
{
	const char *reason = start_run(executor, document);

	if (reason)
		refuse(request, executor, reason);
	else
		respond(request, 200, clock_json(executor));
}

static void handle_stop(struct executor *executor, struct http_request *request,
			const json_t *document)
{
	const char *task = json_string_value(json_object_get(document, "task"));
	int64_t attempt = json_integer_value(json_object_get(document, "attempt"));
	guint index;
	struct run *run = find_run(executor, task, &index);

	raise_highest(executor, task, attempt);
	if (run && run->attempt <= attempt && !run->stopping) {
		run->stopping = true;
		run->ends_us = MIN(run->ends_us, steady_us() + STOP_MS * US_PER_MS);
	}
	respond(request, 200, clock_json(executor));
}

static void answer_hold(const struct executor *executor, struct http_request *request)
{
	json_t *document = clock_json(executor);
	json_t *running = json_array();

	for (guint i = 0; i < executor->runs->len; i++) {
		const struct run *run = executor->runs->pdata[i];
		int64_t percent = 100 * (steady_us() - run->started_us) /
				  MAX(run->ends_us - run->started_us, 1);

		json_array_append_new(running,
				      json_pack("[s,I,s,I,i]", run->task, (json_int_t)run->attempt,
						"", (json_int_t)percent, TASK_CPU));
	}
	json_object_set_new(document, "running", running);
	json_object_set(document, "finished", executor->finished);
	respond(request, 200, document);
}

static void handle_hold(struct executor *executor, struct http_request *request,
			const json_t *document)
{
	int64_t wait_ms = json_integer_value(json_object_get(document, "waitMs"));
	int64_t acknowledged = json_integer_value(json_object_get(document, "ackCursor"));
	const struct waiting_hold hold = {
		.request = request,
		.until_us = steady_us() + wait_ms * US_PER_MS,
	};

	if (json_object_get(document, "expiresMs"))
		extend_lease(executor, document);
	while (json_array_size(executor->finished) > 0 &&
	       json_integer_value(json_array_get(json_array_get(executor->finished, 0), 0)) <=
		       acknowledged)
		json_array_remove(executor->finished, 0);
	if (wait_ms > 0 && json_array_size(executor->finished) == 0)
		g_array_append_val(executor->holds, hold);
	else
		answer_hold(executor, request);
}

static void handle_order(struct executor *executor, struct http_request *request,
			 const json_t *document)
{
	const char *path = http_request_path(request);
	const char *id = http_request_header(request, "X-Greengagefront-Expect-Instance");
	int64_t fence = json_integer_value(json_object_get(document, "fence"));

	if (id && strcmp(id, executor->id) != 0) {
		respond(request, 421, clock_json(executor));
	} else if (!document) {
		respond(request, 400, clock_json(executor));
	} else if (fence < executor->fence) {
		refuse(request, executor, "fence");
	} else {
		executor->fence = fence;
		if (strcmp(path, "/greengagefront/run-start") == 0)
			handle_start(executor, request, document);
		else if (strcmp(path, "/greengagefront/run-stop") == 0)
			handle_stop(executor, request, document);
		else if (strcmp(path, "/greengagefront/hold") == 0)
			handle_hold(executor, request, document);
		else
			respond(request, 404, clock_json(executor));
	}
}

static void on_order(void *context, struct http_request *request)
{
	json_t *document = read_body(request);

	end_due_runs(context);
	handle_order(context, request, document);
	json_decref(document);
}

static void on_order_disconnected(void *context, struct http_request *request)
{
	struct executor *executor = context;

	for (guint i = executor->holds->len; i-- > 0;) {
		if (g_array_index(executor->holds, struct waiting_hold, i).request == request)
			g_array_remove_index_fast(executor->holds, i);
	}
}

static void answer_due_holds(struct executor *executor)
{
	for (guint i = executor->holds->len; i-- > 0;) {
		struct waiting_hold hold = g_array_index(executor->holds, struct waiting_hold, i);

		if (json_array_size(executor->finished) == 0 && steady_us() < hold.until_us)
			continue;
		g_array_remove_index_fast(executor->holds, i);
		answer_hold(executor, hold.request);
	}
}

/* An unanswered heartbeat is followed by the next one. */
static void on_heartbeat_answered(void *context, const struct http_response *response)
{
}

static void send_heartbeat(void *context, int64_t now_us)
{
	struct executor *executor = context;
	char *path = g_strdup_printf("/greengagefront/instances/%s/heartbeat", executor->id);
	json_t *document = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s, s], s:I, s:I, s:I}",
		"service", "svc", "addr", executor->address, "zone", executor->zone, "version",
		"v1", "slots", 8, "state", "ready", "coldLeftMs", 0, "capacity", "cpu", CPU,
		"memMb", 65536, "gpu", 0, "labels", "a", "r1-1", "clockMs",
		(json_int_t)clock_ms(executor), "seq", (json_int_t)++executor->sequence, "born",
		(json_int_t)executor->born_ms);
	char *body = json_dumps(document, JSON_COMPACT);

	http_client_call(executor->agent, &(struct http_call){
						  .method = "POST",
						  .path = path,
						  .body = body,
						  .length = strlen(body),
						  .timeout_ms = HEARTBEAT_TIMEOUT_MS,
						  .callback = on_heartbeat_answered,
						  .context = executor,
					  });
	free(body);
	json_decref(document);
	g_free(path);
}

/* ---- store ---- */

static GArray *find_topic(const char *name)
{
	GArray *records = g_hash_table_lookup(topics, name);

	if (!records) {
		records = g_array_new(FALSE, FALSE, sizeof(struct record));
		g_hash_table_insert(topics, g_strdup(name), records);
	}
	return records;
}

static void append(const char *topic, const char *key, size_t key_length, const char *value,
		   size_t length)
{
	const struct record record = {
		.key = g_strndup(key, key_length),
		.value = g_bytes_new(value, length),
	};

	g_array_append_val(find_topic(topic), record);
}

static uint32_t get_u32(const char *bytes)
{
	uint32_t value;

	memcpy(&value, bytes, sizeof(value));
	return GUINT32_FROM_BE(value);
}

static void handle_append(struct http_request *request, const char *topic)
{
	size_t length;
	const char *body = http_request_body(request, &length);
	guint first = find_topic(topic)->len;
	size_t at = 0;

	while (at + sizeof(uint32_t) < length) {
		size_t size = get_u32(body + at);
		size_t key_length;

		at += sizeof(uint32_t);
		if (size == 0 || size > length - at)
			break;
		key_length = MIN((uint8_t)body[at], size - 1);
		append(topic, body + at + 1, key_length, body + at + 1 + key_length,
		       size - 1 - key_length);
		at += size;
	}
	respond(request, 200,
		json_pack("{s:i, s:i}", "offset", (int)first, "endOffset",
			  (int)find_topic(topic)->len));
}

static void put_u64(GByteArray *bytes, uint64_t value)
{
	value = GUINT64_TO_BE(value);
	g_byte_array_append(bytes, (const guint8 *)&value, OFFSET_BYTES);
}

static void answer_read(struct http_request *request, const char *topic, size_t from)
{
	const GArray *records = find_topic(topic);
	GByteArray *bytes = g_byte_array_new();

	put_u64(bytes, records->len);
	put_u64(bytes, 0);
	for (size_t i = from; i < records->len; i++) {
		const struct record *record = &g_array_index(records, struct record, i);
		gsize length;
		const guint8 *value = g_bytes_get_data(record->value, &length);
		guint8 key_length = (guint8)strlen(record->key);
		uint32_t size = GUINT32_TO_BE((uint32_t)(1 + key_length + length));

		g_byte_array_append(bytes, (const guint8 *)&size, sizeof(size));
		g_byte_array_append(bytes, &key_length, 1);
		g_byte_array_append(bytes, (const guint8 *)record->key, key_length);
		if (length > 0)
			g_byte_array_append(bytes, value, (guint)length);
	}
	http_respond_bytes(request, 200, NULL, bytes->data, bytes->len);
	g_byte_array_free(bytes, TRUE);
}

static void handle_read(struct http_request *request, const char *topic)
{
	char *from = query_value(request, "from");
	char *wait = query_value(request, "waitMs");
	const struct waiting_read read = {
		.request = request,
		.topic = g_strdup(topic),
		.from = from ? g_ascii_strtoull(from, NULL, 10) : 0,
		.until_us =
			timer_clock_us() + (wait ? g_ascii_strtoll(wait, NULL, 10) : 0) * US_PER_MS,
	};

	g_array_append_val(reads, read);
	g_free(from);
	g_free(wait);
}

static void answer_due_reads(void)
{
	for (guint i = reads->len; i-- > 0;) {
		struct waiting_read read = g_array_index(reads, struct waiting_read, i);

		if (read.from >= find_topic(read.topic)->len && timer_clock_us() < read.until_us)
			continue;
		g_array_remove_index_fast(reads, i);
		answer_read(read.request, read.topic, read.from);
		g_free(read.topic);
	}
}

static bool is_newest(const GArray *records, guint index)
{
	const char *key = g_array_index(records, struct record, index).key;

	for (guint i = index + 1; i < records->len; i++) {
		if (strcmp(g_array_index(records, struct record, i).key, key) == 0)
			return false;
	}
	return true;
}

static void handle_newest(struct http_request *request, const char *topic)
{
	const GArray *records = find_topic(topic);
	json_t *items = json_array();

	for (guint i = 0; i < records->len; i++) {
		const struct record *record = &g_array_index(records, struct record, i);
		gsize length;
		const guchar *value = g_bytes_get_data(record->value, &length);
		char *text;

		if (length == 0 || !is_newest(records, i))
			continue;
		text = g_base64_encode(value, length);
		json_array_append_new(items, json_pack("{s:s, s:s, s:i}", "key", record->key,
						       "value", text, "offset", (int)i));
		g_free(text);
	}
	respond(request, 200,
		json_pack("{s:o, s:b, s:i}", "items", items, "hasMore", 0, "endOffset",
			  (int)records->len));
}

static void handle_record(struct http_request *request)
{
	char *key = query_value(request, "key");
	size_t length;
	const char *body = http_request_body(request, &length);

	append("keyed.op", key ? key : "", key ? strlen(key) : 0, body, length);
	respond(request, 200, json_object());
	g_free(key);
}

static void on_store_request(void *context, struct http_request *request)
{
	const char *path = http_request_path(request);
	char *topic = query_value(request, "topic");

	if (strcmp(path, "/standin/record") == 0)
		handle_record(request);
	else if (!topic)
		respond(request, 400, json_object());
	else if (strcmp(path, "/greengagefront/log-append") == 0)
		handle_append(request, topic);
	else if (strcmp(path, "/greengagefront/log-read") == 0)
		handle_read(request, topic);
	else if (strcmp(path, "/greengagefront/log-newest") == 0)
		handle_newest(request, topic);
	else
		respond(request, 404, json_object());
	g_free(topic);
}

static void on_store_disconnected(void *context, struct http_request *request)
{
	for (guint i = reads->len; i-- > 0;) {
		const struct waiting_read *read = &g_array_index(reads, struct waiting_read, i);

		if (read->request != request)
			continue;
		g_free(read->topic);
		g_array_remove_index_fast(reads, i);
	}
}

/* ---- main ---- */

static void tick_store(void *context, int64_t now_us)
{
	answer_due_reads();
}

static void tick_executor(void *context, int64_t now_us)
{
	ticked_us = timer_clock_us();
	end_due_runs(context);
	answer_due_holds(context);
}

static const struct http_server_options server_options = {
	.header_max_bytes = HEADER_MAX_BYTES,
	.body_max_bytes = BODY_MAX_BYTES,
	.request_limit_ms = CONNECTION_LIMIT_MS,
	.idle_limit_ms = CONNECTION_LIMIT_MS,
};

static const struct http_server_callbacks order_callbacks = {
	.on_request = on_order,
	.on_disconnected = on_order_disconnected,
};

static const struct http_server_callbacks store_callbacks = {
	.on_request = on_store_request,
	.on_disconnected = on_store_disconnected,
};

static bool start_store(const char *address)
{
	struct http_server *server;
	struct error err;

	topics = g_hash_table_new(g_str_hash, g_str_equal);
	reads = g_array_new(FALSE, FALSE, sizeof(struct waiting_read));
	timer_subscribe(&loop.timers, loop.now_us, (int64_t)TICK_MS * US_PER_MS, tick_store, NULL);
	return http_server_listen(&loop, address, &server_options, &store_callbacks, NULL, &server,
				  &err) == STATUS_OK;
}

static bool start_executor(struct executor *executor, char **arguments)
{
	struct error err;

	*executor = (struct executor){
		.address = arguments[0],
		.id = arguments[2],
		.zone = arguments[3],
		.runs = g_ptr_array_new(),
		.highest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
		.finished = json_array(),
		.holds = g_array_new(FALSE, FALSE, sizeof(struct waiting_hold)),
		.born_us = steady_us(),
		.born_ms = timer_wall_ms(),
	};
	executor->agent = http_client_new(&loop, &(struct http_client_options){
							 .address = arguments[1],
							 .max_connections = 4,
							 .idle_limit_ms = CONNECTION_LIMIT_MS,
							 .response_max_bytes = BODY_MAX_BYTES,
						 });
	ticked_us = timer_clock_us();
	(void)signal(SIGCONT, on_resumed);
	timer_subscribe(&loop.timers, loop.now_us, (int64_t)HEARTBEAT_MS * US_PER_MS,
			send_heartbeat, executor);
	timer_subscribe(&loop.timers, loop.now_us, (int64_t)TICK_MS * US_PER_MS, tick_executor,
			executor);
	return http_server_listen(&loop, executor->address, &server_options, &order_callbacks,
				  executor, &executor->server, &err) == STATUS_OK;
}

int main(int argc, char **argv)
{
	static struct executor executor;

	net_loop_init(&loop);
	if (argc == 2 ? !start_store(argv[1]) : argc != 5 || !start_executor(&executor, argv + 1))
		return 2;
	net_loop_run(&loop);
	return 0;
}
