#include "lab.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
	TICK_MS = 2,
	HEARTBEAT_MS = 1500,
	HEARTBEAT_TIMEOUT_MS = 1000,
	PROBE_INTERVAL_MS = 50,
	PROBE_TIMEOUT_MS = 200,
	BODY_MAX_BYTES = 4 << 20,
	HEADER_MAX_BYTES = 16384,
	IDLE_LIMIT_MS = 120000,
	MEMORY_MB = 131072,
	/* Below the range from which the kernel takes the ports of outgoing channels. */
	FIRST_PORT = 15000,
	PORT_RANGE = 15000,
	PORT_STEP = 101, /* between the first ports of two scripts */
	CODE_OK = 200,
	CODE_CONFLICT = 409,
	CODE_MISDIRECTED = 421
};

struct lab_topic {
	GPtrArray *keys;   /* char * */
	GPtrArray *values; /* GBytes * */
};

struct pending_read {
	struct http_request *request;
	char *topic;
	size_t from;
	int64_t until_us;
};

struct pending_hold {
	struct http_request *request;
	int64_t until_us;
};

static const struct http_server_options server_options = {
	.header_max_bytes = HEADER_MAX_BYTES,
	.body_max_bytes = BODY_MAX_BYTES,
	.request_limit_ms = IDLE_LIMIT_MS,
	.idle_limit_ms = IDLE_LIMIT_MS,
};

int64_t lab_now_ms(const struct lab *lab)
{
	return (timer_clock_us() - lab->started_us) / LAB_US_PER_MS;
}

void lab_note(struct lab *lab, const char *format, ...)
{
	int64_t now_us = timer_clock_us() - lab->started_us;
	va_list arguments;

	va_start(arguments, format);
	fprintf(lab->record, "%9.3f s  ", (double)now_us / G_USEC_PER_SEC);
	vfprintf(lab->record, format, arguments);
	fputc('\n', lab->record);
	fflush(lab->record);
	va_end(arguments);
}

/* Returns whether PORT can be listened on at all addresses. */
static bool is_free(int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_ANY),
				      .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool is_bound = fd >= 0 && bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;

	if (fd >= 0)
		close(fd);
	return is_bound;
}

int lab_free_port(void)
{
	static int last_port;

	if (last_port == 0)
		last_port = FIRST_PORT + (int)((int64_t)getpid() * PORT_STEP % PORT_RANGE);
	for (int i = 0; i < PORT_RANGE; i++) {
		last_port++;
		if (last_port >= FIRST_PORT + PORT_RANGE)
			last_port = FIRST_PORT;
		if (is_free(last_port))
			return last_port;
	}
	fprintf(stderr, "no free port\n");
	exit(LAB_EXIT_NOT_RUN);
}

static void respond_json(struct http_request *request, int code, json_t *document)
{
	char *text = json_dumps(document, JSON_COMPACT);

	http_respond(request, code, NULL, text);
	free(text);
	json_decref(document);
}

static json_t *read_json(const struct http_request *request)
{
	size_t length;
	const char *body = http_request_body(request, &length);

	return json_loadb(body, length, 0, NULL);
}

/* ---- store ---- */

static struct lab_topic *find_topic(struct lab *lab, const char *name)
{
	struct lab_topic *topic = g_hash_table_lookup(lab->topics, name);

	if (!topic) {
		topic = g_new0(struct lab_topic, 1);
		topic->keys = g_ptr_array_new_with_free_func(g_free);
		topic->values = g_ptr_array_new();
		g_hash_table_insert(lab->topics, g_strdup(name), topic);
	}
	return topic;
}

static void append_record(struct lab *lab, const char *name, const char *key, const char *value,
			  size_t length)
{
	struct lab_topic *topic = find_topic(lab, name);

	g_ptr_array_add(topic->keys, g_strdup(key));
	g_ptr_array_add(topic->values, g_bytes_new(value, length));
}

static bool is_newest(const struct lab_topic *topic, guint index)
{
	for (guint i = index + 1; i < topic->keys->len; i++) {
		if (strcmp(topic->keys->pdata[index], topic->keys->pdata[i]) == 0)
			return false;
	}
	return true;
}

static void respond_newest(struct lab *lab, struct http_request *request, const char *name)
{
	struct lab_topic *topic = find_topic(lab, name);
	json_t *items = json_array();

	for (guint i = 0; i < topic->keys->len; i++) {
		gsize length;
		const guchar *value = g_bytes_get_data(topic->values->pdata[i], &length);
		char *encoded = g_base64_encode(value, length);

		if (is_newest(topic, i))
			json_array_append_new(items, json_pack("{s:s, s:s, s:i}", "key",
							       (char *)topic->keys->pdata[i],
							       "value", encoded, "offset", (int)i));
		g_free(encoded);
	}
	respond_json(request, CODE_OK,
		     json_pack("{s:o, s:b, s:i}", "items", items, "hasMore", 0, "endOffset",
			       (int)topic->keys->len));
}

static void respond_records(struct lab *lab, const struct pending_read *read)
{
	struct lab_topic *topic = find_topic(lab, read->topic);
	GByteArray *body = g_byte_array_new();
	guint64 offsets[2] = {GUINT64_TO_BE((guint64)topic->keys->len), 0};

	g_byte_array_append(body, (const guint8 *)offsets, sizeof(offsets));
	for (size_t i = read->from; i < topic->keys->len; i++) {
		const char *key = topic->keys->pdata[i];
		gsize length;
		const guint8 *value = g_bytes_get_data(topic->values->pdata[i], &length);
		guint8 key_length = (guint8)strlen(key);
		uint32_t size = htonl((uint32_t)(1 + key_length + length));

		g_byte_array_append(body, (const guint8 *)&size, sizeof(size));
		g_byte_array_append(body, &key_length, 1);
		g_byte_array_append(body, (const guint8 *)key, key_length);
		g_byte_array_append(body, value, (guint)length);
	}
	http_respond_bytes(read->request, CODE_OK, NULL, body->data, body->len);
	g_byte_array_free(body, TRUE);
}

static void handle_append(struct lab *lab, struct http_request *request, const char *name)
{
	size_t length;
	const char *body = http_request_body(request, &length);
	size_t key_length = length > 5 ? (uint8_t)body[4] : 0;
	char *key;

	if (length < 5 + key_length) {
		http_respond(request, 400, NULL, "{}");
		return;
	}
	key = g_strndup(body + 5, key_length);
	append_record(lab, name, key, body + 5 + key_length, length - 5 - key_length);
	g_free(key);
	respond_json(request, CODE_OK,
		     json_pack("{s:i, s:i}", "offset", (int)find_topic(lab, name)->keys->len - 1,
			       "endOffset", (int)find_topic(lab, name)->keys->len));
}

static char *query_value(const char *query, const char *name)
{
	GHashTable *values =
		query ? g_uri_parse_params(query, -1, "&", G_URI_PARAMS_NONE, NULL) : NULL;
	char *value = values ? g_strdup(g_hash_table_lookup(values, name)) : NULL;

	if (values)
		g_hash_table_destroy(values);
	return value;
}

static void on_store_request(void *context, struct http_request *request)
{
	struct lab *lab = context;
	const char *path = http_request_path(request);
	char *topic = query_value(http_request_query(request), "topic");
	char *from = query_value(http_request_query(request), "from");
	char *wait = query_value(http_request_query(request), "waitMs");

	if (!topic) {
		http_respond(request, 400, NULL, "{}");
	} else if (g_str_has_suffix(path, "/log-newest")) {
		respond_newest(lab, request, topic);
	} else if (g_str_has_suffix(path, "/log-append")) {
		handle_append(lab, request, topic);
	} else if (g_str_has_suffix(path, "/log-read")) {
		const struct pending_read read = {
			.request = request,
			.topic = g_strdup(topic),
			.from = from ? (size_t)g_ascii_strtoull(from, NULL, 10) : 0,
			.until_us = lab->loop.now_us +
				    (wait ? g_ascii_strtoll(wait, NULL, 10) : 0) * LAB_US_PER_MS,
		};

		g_array_append_val(lab->pending_reads, read);
	} else {
		http_respond(request, 404, NULL, "{}");
	}
	g_free(topic);
	g_free(from);
	g_free(wait);
}

static void on_store_disconnected(void *context, struct http_request *request)
{
	struct lab *lab = context;

	for (guint i = lab->pending_reads->len; i-- > 0;) {
		struct pending_read *read =
			&g_array_index(lab->pending_reads, struct pending_read, i);

		if (read->request != request)
			continue;
		g_free(read->topic);
		g_array_remove_index_fast(lab->pending_reads, i);
	}
}

static const struct http_server_callbacks store_callbacks = {
	.on_request = on_store_request,
	.on_disconnected = on_store_disconnected,
};

static void respond_to_due_reads(struct lab *lab)
{
	for (guint i = lab->pending_reads->len; i-- > 0;) {
		struct pending_read read =
			g_array_index(lab->pending_reads, struct pending_read, i);

		if (find_topic(lab, read.topic)->keys->len <= read.from &&
		    lab->loop.now_us < read.until_us)
			continue;
		g_array_remove_index_fast(lab->pending_reads, i);
		respond_records(lab, &read);
		g_free(read.topic);
	}
}

void lab_publish(struct lab *lab, const char *routes)
{
	char *document = g_strdup_printf("{\"version\":%lld,\"routes\":%s,\"services\":[],"
					 "\"limits\":{\"maxBodyBytes\":262144}}",
					 (long long)++lab->config_version, routes);

	append_record(lab, "keyed.op", "config", document, strlen(document));
	lab_note(lab, "operator: version %lld is stored", (long long)lab->config_version);
	g_free(document);
}

/* ---- backend servers ---- */

static int64_t clock_ms(const struct lab_server *server)
{
	return 1 + (timer_clock_us() - server->born_us) / LAB_US_PER_MS;
}

static struct lab_run *find_run(const struct lab_server *server, const char *task, int64_t attempt)
{
	for (guint i = 0; i < server->runs->len; i++) {
		struct lab_run *run = server->runs->pdata[i];

		if (strcmp(run->task, task) == 0 && run->attempt == attempt)
			return run;
	}
	return NULL;
}

static void free_run(struct lab_run *run)
{
	g_free(run->task);
	g_free(run);
}

static int64_t highest_attempt(const struct lab_server *server, const char *task)
{
	return GPOINTER_TO_SIZE(g_hash_table_lookup(server->highest, task));
}

static void raise_highest(struct lab_server *server, const char *task, int64_t attempt)
{
	if (highest_attempt(server, task) < attempt)
		g_hash_table_replace(server->highest, g_strdup(task),
				     GSIZE_TO_POINTER((gsize)attempt));
}

static void end_run(struct lab_server *server, struct lab_run *run, const char *how)
{
	lab_note(server->lab, "server %s: run %s/%lld ends: %s", server->id, run->task,
		 (long long)run->attempt, how);
	json_array_append_new(server->finished,
			      json_pack("[I,s,I,s,s]", (json_int_t)++server->last_end, run->task,
					(json_int_t)run->attempt, how, ""));
	raise_highest(server, run->task, run->attempt);
	g_ptr_array_remove(server->runs, run);
	free_run(run);
}

static void end_due_runs(struct lab_server *server)
{
	int64_t now_us = timer_clock_us();

	for (guint i = server->runs->len; i-- > 0;) {
		struct lab_run *run = server->runs->pdata[i];

		if (run->stopped_us != 0 && run->stopped_us <= now_us)
			end_run(server, run, "stopped");
		else if (run->ends_us <= now_us)
			end_run(server, run, "done");
		else if (server->lease_until_us < now_us)
			end_run(server, run, "lapsed");
	}
}

static json_t *common_fields(const struct lab_server *server)
{
	return json_pack("{s:I, s:I}", "clockMs", (json_int_t)clock_ms(server), "born",
			 (json_int_t)server->born_ms);
}

static void refuse(struct http_request *request, const struct lab_server *server,
		   const char *reason)
{
	json_t *document = common_fields(server);

	json_object_set_new(document, "reason", json_string(reason));
	respond_json(request, CODE_CONFLICT, document);
}

static void extend_lease(struct lab_server *server, const json_t *document)
{
	int64_t expires_ms = json_integer_value(json_object_get(document, "expiresMs"));
	int64_t clock = clock_ms(server);
	int64_t left_ms = MIN(expires_ms - clock, LAB_HOLD_MAX_MS);

	server->lease_until_us =
		MAX(server->lease_until_us, timer_clock_us() + left_ms * LAB_US_PER_MS);
}

/* Returns the number behind NAME in SPEC. */
static int spec_number(const char *spec, const char *name)
{
	const char *at = spec ? strstr(spec, name) : NULL;

	return at ? (int)g_ascii_strtoll(at + strlen(name), NULL, 10) : 0;
}

static int used_cpu(const struct lab_server *server)
{
	int cpu = 0;

	for (guint i = 0; i < server->runs->len; i++)
		cpu += ((const struct lab_run *)server->runs->pdata[i])->cpu;
	return cpu;
}

/* Counts and records the other runs of TASK that are at work now. */
static void check_overlap(struct lab *lab, const char *task)
{
	unsigned count = 0;

	for (guint i = 0; i < lab->servers->len; i++) {
		const struct lab_server *server = lab->servers->pdata[i];

		for (guint j = 0; j < server->runs->len; j++) {
			const struct lab_run *run = server->runs->pdata[j];

			count += strcmp(run->task, task) == 0;
		}
	}
	if (count < 2)
		return;
	lab->overlaps++;
	lab_note(lab, "TWICE: %u runs of %s are at work", count, task);
}

/* Starts a run. Returns NULL, or the reason of the refusal. */
static const char *start_run(struct lab_server *server, const json_t *document)
{
	const char *task = json_string_value(json_object_get(document, "task"));
	const char *spec = json_string_value(json_object_get(document, "spec"));
	int64_t attempt = json_integer_value(json_object_get(document, "attempt"));
	struct lab_run *run;
	int cpu = spec_number(spec, "cpu=");

	if (find_run(server, task, attempt))
		return NULL;
	if (json_integer_value(json_object_get(document, "expiresMs")) < clock_ms(server))
		return "late";
	extend_lease(server, document);
	if (attempt <= highest_attempt(server, task))
		return "old";
	if (used_cpu(server) + cpu > server->cpu)
		return "room";
	run = g_new0(struct lab_run, 1);
	run->task = g_strdup(task);
	run->attempt = attempt;
	run->cpu = cpu;
	run->started_us = timer_clock_us();
	run->ends_us = run->started_us + (int64_t)spec_number(spec, "ms=") * LAB_US_PER_MS;
	g_ptr_array_add(server->runs, run);
	server->starts++;
	g_hash_table_add(server->lab->started_jobs, g_strndup(task, strcspn(task, ".")));
	lab_note(server->lab, "server %s: run %s/%lld starts", server->id, task,
		 (long long)attempt);
	check_overlap(server->lab, task);
	return NULL;
}

static void handle_start(struct lab_server *server, struct http_request *request,
			 const json_t *document)
{
	const char *reason = start_run(server, document);

	if (reason)
		refuse(request, server, reason);
	else
		respond_json(request, CODE_OK, common_fields(server));
}

static void handle_stop(struct lab_server *server, struct http_request *request,
			const json_t *document)
{
	const char *task = json_string_value(json_object_get(document, "task"));
	int64_t attempt = json_integer_value(json_object_get(document, "attempt"));
	struct lab_run *run = find_run(server, task, attempt);

	if (run && run->stopped_us == 0)
		run->stopped_us = timer_clock_us() + (int64_t)server->stop_ms * LAB_US_PER_MS;
	raise_highest(server, task, attempt);
	respond_json(request, CODE_OK, common_fields(server));
}

static void respond_lists(struct lab_server *server, struct http_request *request)
{
	json_t *document = common_fields(server);
	json_t *running = json_array();

	for (guint i = 0; i < server->runs->len; i++) {
		const struct lab_run *run = server->runs->pdata[i];
		int64_t percent = 100 * (timer_clock_us() - run->started_us) /
				  MAX(run->ends_us - run->started_us, 1);

		json_array_append_new(running,
				      json_pack("[s,I,s,I,i]", run->task, (json_int_t)run->attempt,
						"", (json_int_t)percent, run->cpu));
	}
	json_object_set_new(document, "running", running);
	json_object_set(document, "finished", server->finished);
	respond_json(request, CODE_OK, document);
}

static void handle_hold(struct lab_server *server, struct http_request *request,
			const json_t *document)
{
	int64_t wait_ms = json_integer_value(json_object_get(document, "waitMs"));
	int64_t cursor = json_integer_value(json_object_get(document, "ackCursor"));
	const struct pending_hold hold = {.request = request,
					  .until_us = timer_clock_us() + wait_ms * LAB_US_PER_MS};

	if (json_object_get(document, "expiresMs"))
		extend_lease(server, document);
	while (json_array_size(server->finished) > 0 &&
	       json_integer_value(json_array_get(json_array_get(server->finished, 0), 0)) <= cursor)
		json_array_remove(server->finished, 0);
	if (wait_ms > 0 && json_array_size(server->finished) == 0)
		g_array_append_val(server->pending_holds, hold);
	else
		respond_lists(server, request);
}

static void on_order(void *context, struct http_request *request)
{
	struct lab_server *server = context;
	const char *path = http_request_path(request);
	const char *expected = http_request_header(request, "X-Greengagefront-Expect-Instance");
	json_t *document = read_json(request);
	int64_t fence = json_integer_value(json_object_get(document, "fence"));

	end_due_runs(server);
	if (!document) {
		http_respond(request, 400, NULL, "{}");
	} else if (expected && strcmp(expected, server->id) != 0) {
		respond_json(request, CODE_MISDIRECTED, common_fields(server));
	} else if (fence < server->fence) {
		refuse(request, server, "fence");
	} else {
		server->fence = fence;
		if (g_str_has_suffix(path, "/run-start"))
			handle_start(server, request, document);
		else if (g_str_has_suffix(path, "/run-stop"))
			handle_stop(server, request, document);
		else if (g_str_has_suffix(path, "/hold"))
			handle_hold(server, request, document);
		else
			http_respond(request, 404, NULL, "{}");
	}
	json_decref(document);
}

static void on_order_disconnected(void *context, struct http_request *request)
{
	struct lab_server *server = context;

	for (guint i = server->pending_holds->len; i-- > 0;) {
		if (g_array_index(server->pending_holds, struct pending_hold, i).request == request)
			g_array_remove_index_fast(server->pending_holds, i);
	}
}

static const struct http_server_callbacks order_callbacks = {
	.on_request = on_order,
	.on_disconnected = on_order_disconnected,
};

static void respond_to_due_holds(struct lab_server *server)
{
	for (guint i = server->pending_holds->len; i-- > 0;) {
		struct pending_hold hold =
			g_array_index(server->pending_holds, struct pending_hold, i);

		if (json_array_size(server->finished) == 0 && timer_clock_us() < hold.until_us)
			continue;
		g_array_remove_index_fast(server->pending_holds, i);
		respond_lists(server, hold.request);
	}
}

static void on_heartbeat_answered(void *context, const struct http_response *response)
{
}

static void send_heartbeat(void *context, int64_t now_us)
{
	struct lab_server *server = context;
	char *path, *body;

	if (!server->up || server->cut)
		return;
	path = g_strdup_printf("/greengagefront/instances/%s/heartbeat", server->id);
	body = g_strdup_printf(
		"{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,"
		"\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":%d,\"memMb\":%d,"
		"\"gpu\":0},\"labels\":[\"a\",\"r1\"],\"clockMs\":%lld,\"seq\":%lld,\"born\":%lld}",
		server->service, server->app_address, server->cpu, MEMORY_MB,
		(long long)clock_ms(server), (long long)++server->sequence,
		(long long)server->born_ms);
	http_client_call(server->control, &(struct http_call){
						  .method = "POST",
						  .path = path,
						  .body = body,
						  .length = strlen(body),
						  .timeout_ms = HEARTBEAT_TIMEOUT_MS,
						  .callback = on_heartbeat_answered,
					  });
	g_free(path);
	g_free(body);
}

static void listen_for_orders(struct lab_server *server)
{
	struct error err;

	if (http_server_listen(&server->lab->loop, server->app_address, &server_options,
			       &order_callbacks, server, &server->http, &err) != STATUS_OK)
		lab_abort(server->lab, err.message);
}

void lab_cut_server(struct lab_server *server, bool cut)
{
	server->cut = cut;
	lab_note(server->lab, "server %s: %s, %u runs", server->id, cut ? "cut off" : "back",
		 server->runs->len);
	if (!cut) {
		listen_for_orders(server);
		send_heartbeat(server, 0);
		return;
	}
	http_server_close(server->http);
	server->http = NULL;
	g_array_set_size(server->pending_holds, 0);
}

void lab_boot_server(struct lab_server *server)
{

	server->born_ms = timer_wall_ms();
	server->born_us = timer_clock_us();
	server->sequence = 0;
	server->fence = 0;
	server->last_end = 0;
	server->lease_until_us = 0;
	g_hash_table_remove_all(server->highest);
	json_array_clear(server->finished);
	listen_for_orders(server);
	server->up = true;
	lab_note(server->lab, "server %s: born %lld", server->id, (long long)server->born_ms);
	send_heartbeat(server, 0);
}

void lab_crash_server(struct lab_server *server)
{
	lab_note(server->lab, "server %s: crashes with %u runs", server->id, server->runs->len);
	server->up = false;
	http_server_close(server->http);
	server->http = NULL;
	for (guint i = 0; i < server->runs->len; i++)
		free_run(server->runs->pdata[i]);
	g_ptr_array_set_size(server->runs, 0);
	g_array_set_size(server->pending_holds, 0);
}

struct lab_server *lab_add_server(struct lab *lab, const char *service, int cpu)
{
	struct lab_server *server = g_new0(struct lab_server, 1);

	server->lab = lab;
	server->app_address = g_strdup_printf("127.0.0.1:%d", lab_free_port());
	server->control_address = g_strdup_printf("127.0.0.1:%d", lab_free_port());
	g_snprintf(server->id, sizeof(server->id), "i-%u", lab->servers->len + 1);
	g_strlcpy(server->service, service, sizeof(server->service));
	server->cpu = cpu;
	server->stop_ms = LAB_STOP_MS / 2;
	server->runs = g_ptr_array_new();
	server->highest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	server->finished = json_array();
	server->pending_holds = g_array_new(FALSE, FALSE, sizeof(struct pending_hold));
	server->control =
		http_client_new(&lab->loop, &(struct http_client_options){
						    .address = server->control_address,
						    .max_connections = 1,
						    .idle_limit_ms = IDLE_LIMIT_MS,
						    .response_max_bytes = HEADER_MAX_BYTES,
					    });
	g_ptr_array_add(lab->servers, server);
	lab_boot_server(server);
	timer_subscribe(&lab->loop.timers, lab->loop.now_us, HEARTBEAT_MS * LAB_US_PER_MS,
			send_heartbeat, server);
	return server;
}

/* ---- daemons ---- */

void lab_start_daemon(struct lab_daemon *daemon)
{
	struct lab *lab = daemon->lab;
	char *file = g_strdup_printf("%s/%s.json", lab->directory, daemon->name);
	char *log = g_strdup_printf("%s/%s.log", lab->directory, daemon->name);
	char *argv[] = {lab->program, "--settings", file, NULL};
	posix_spawn_file_actions_t actions;

	if (!g_file_set_contents(file, daemon->settings, -1, NULL))
		lab_abort(lab, "the settings cannot be written");
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
	posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log,
					 O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
	if (posix_spawn(&daemon->pid, lab->program, &actions, NULL, argv, environ) != 0)
		lab_abort(lab, "a daemon cannot be started");
	posix_spawn_file_actions_destroy(&actions);
	lab_note(lab, "%s: started", daemon->name);
	g_free(file);
	g_free(log);
}

static struct lab_daemon *add_daemon(struct lab *lab, const char *name, char *settings)
{
	struct lab_daemon *daemon = g_new0(struct lab_daemon, 1);

	daemon->lab = lab;
	g_strlcpy(daemon->name, name, sizeof(daemon->name));
	daemon->settings = settings;
	g_ptr_array_add(lab->daemons, daemon);
	lab_start_daemon(daemon);
	return daemon;
}

static char *limits(void)
{
	return g_strdup_printf("\"limits\":{\"lease_ms\":%d,\"stop_ms\":%d,\"resend_ms\":%d,"
			       "\"grace_s\":%d,\"config_apply_ms\":%d}",
			       LAB_HOLD_MAX_MS, LAB_STOP_MS, LAB_RESEND_MS, LAB_GRACE_S,
			       LAB_CONFIG_APPLY_MS);
}

struct lab_daemon *lab_add_entry(struct lab *lab, const char *name, const char *ip,
				 const char *advertised_ip, int client_port, int readiness_port)
{
	char *bounds = limits();
	char *text;

	if (!lab->seed_ip)
		lab->seed_ip = advertised_ip;
	text = g_strdup_printf(
		"{\"mode\":\"platform\",\"role\":\"entry\",\"name\":\"%s\",\"zone\":\"a\","
		"\"listen\":{\"clients\":\"%s:%d\",\"readiness\":\"%s:%d\"},"
		"\"peers\":{\"ip\":\"%s\",\"advertised_ip\":\"%s\",\"port\":%d,\"seeds\":[\"%s:1\"]"
		"},"
		"\"store\":{\"address\":\"127.0.0.1:%d\"},%s}",
		name, ip, client_port, ip, readiness_port, ip, advertised_ip, lab->peer_port,
		lab->seed_ip, lab->store_port, bounds);

	g_free(bounds);
	return add_daemon(lab, name, text);
}

struct lab_daemon *lab_add_agent(struct lab *lab, const char *name, struct lab_server *server,
				 const char *seed_ip)
{
	char *bounds = limits();
	char *text = g_strdup_printf(
		"{\"mode\":\"platform\",\"role\":\"agent\",\"name\":\"%s\",\"zone\":\"a\","
		"\"listen\":{\"control\":\"%s\"},"
		"\"peers\":{\"ip\":\"127.0.0.1\",\"port\":%d,\"seeds\":[\"%s:1\"]},"
		"\"server\":{\"address\":\"%s\"},"
		"\"store\":{\"address\":\"127.0.0.1:%d\"},%s}",
		name, server->control_address, lab->peer_port, seed_ip, server->app_address,
		lab->store_port, bounds);

	g_free(bounds);
	return add_daemon(lab, name, text);
}

void lab_signal(struct lab_daemon *daemon, int signal_number)
{
	int status;

	if (daemon->pid == 0)
		return;
	kill(daemon->pid, signal_number);
	lab_note(daemon->lab, "%s: signal %s", daemon->name, strsignal(signal_number));
	if (signal_number != SIGKILL)
		return;
	waitpid(daemon->pid, &status, 0);
	daemon->pid = 0;
}

/* Notes the daemons that have ended by themselves. */
static void reap_daemons(struct lab *lab)
{
	for (guint i = 0; i < lab->daemons->len; i++) {
		struct lab_daemon *daemon = lab->daemons->pdata[i];
		int status;

		if (daemon->pid == 0 || waitpid(daemon->pid, &status, WNOHANG) != daemon->pid)
			continue;
		lab_note(lab, "%s: ended, wait status %d", daemon->name, status);
		daemon->pid = 0;
	}
}

/* ---- links ---- */

/* One side of a channel. */
struct lab_side {
	struct lab_channel *channel;
	struct net_conn *conn; /* NULL once closed */
	GByteArray *held;      /* received from this side and not forwarded yet */
	bool closed;
};

struct lab_channel {
	struct lab_link *link;
	struct lab_side caller;
	struct lab_side target;
	int64_t held_until_us; /* bytes from the caller are held until then */
};

static struct lab_side *other_side(struct lab_side *side)
{
	struct lab_channel *channel = side->channel;

	if (side == &channel->caller)
		return &channel->target;
	return &channel->caller;
}

/* Forwards what is held from SIDE, and its end, as far as the link lets them pass. */
static void forward_side(struct lab_side *side)
{
	struct lab_side *other = other_side(side);
	const struct lab_channel *channel = side->channel;

	if (channel->link->cut ||
	    (side == &channel->caller && timer_clock_us() < channel->held_until_us))
		return;
	if (other->conn && side->held->len > 0)
		net_conn_send(other->conn, side->held->data, side->held->len);
	g_byte_array_set_size(side->held, 0);
	if (side->closed && other->conn) {
		net_conn_close_after_send(other->conn);
		other->conn = NULL;
		other->closed = true;
	}
}

static void on_side_data(void *context, const char *bytes, size_t length)
{
	struct lab_side *side = context;

	g_byte_array_append(side->held, (const guint8 *)bytes, (guint)length);
	forward_side(side);
}

static void on_side_closed(void *context, const char *reason)
{
	struct lab_side *side = context;

	side->conn = NULL;
	side->closed = true;
	/* Bytes that are held up are lost when their sender is gone. */
	g_byte_array_set_size(side->held, 0);
	forward_side(side);
}

static const struct net_conn_callbacks side_callbacks = {
	.on_data = on_side_data,
	.on_closed = on_side_closed,
};

static void on_channel(void *context, struct net_conn *conn)
{
	struct lab_link *link = context;
	struct lab_channel *channel = g_new0(struct lab_channel, 1);
	struct error err;

	channel->link = link;
	channel->caller =
		(struct lab_side){.channel = channel, .conn = conn, .held = g_byte_array_new()};
	channel->target = (struct lab_side){.channel = channel, .held = g_byte_array_new()};
	net_conn_set_callbacks(conn, &side_callbacks, &channel->caller);
	g_ptr_array_add(link->channels, channel);
	/* During a cut nothing answers; the caller gives the attempt up. */
	if (link->cut)
		return;
	if (link->lost_first_ms > 0) {
		channel->held_until_us =
			timer_clock_us() + (int64_t)link->lost_first_ms * LAB_US_PER_MS;
		lab_note(link->lab,
			 "link: the first packet of a channel to %s is lost, and sent "
			 "again after %d ms",
			 link->target, link->lost_first_ms);
		link->lost_first_ms = 0;
	}
	channel->target.conn = net_connect(&link->lab->loop, link->target, &side_callbacks,
					   &channel->target, &err);
	channel->target.closed = !channel->target.conn;
}

struct lab_link *lab_add_link(struct lab *lab, const char *listen, const char *target)
{
	struct lab_link *link = g_new0(struct lab_link, 1);
	struct net_listener *listener;
	struct error err;

	link->lab = lab;
	link->target = g_strdup(target);
	link->channels = g_ptr_array_new();
	if (net_listen(&lab->loop, listen, on_channel, link, &listener, &err) != STATUS_OK)
		lab_abort(lab, err.message);
	g_ptr_array_add(lab->links, link);
	return link;
}

static void forward_link(struct lab_link *link)
{
	for (guint i = 0; i < link->channels->len; i++) {
		struct lab_channel *channel = link->channels->pdata[i];

		forward_side(&channel->caller);
		forward_side(&channel->target);
	}
}

void lab_cut(struct lab_link *link, bool cut, int lost_first_ms)
{
	link->cut = cut;
	link->lost_first_ms = lost_first_ms;
	lab_note(link->lab, "link to %s: %s", link->target, cut ? "cut" : "whole again");
	forward_link(link);
}

/* ---- clients ---- */

static void on_answer(void *context, const struct http_response *response)
{
	struct lab_request *request = context;
	json_t *document = NULL;
	const char *state;

	request->answered_us = timer_clock_us();
	if (response->status != STATUS_OK) {
		lab_note(request->lab, "client: %s %s: no answer (%s)", request->name, request->id,
			 response->reason);
		return;
	}
	request->code = response->code;
	document = json_loadb(response->body, response->length, 0, NULL);
	state = json_string_value(json_object_get(document, "state"));
	g_strlcpy(request->state, state ? state : "", sizeof(request->state));
	lab_note(request->lab, "client: %s %s: %d %s", request->name, request->id, response->code,
		 response->body);
	json_decref(document);
}

void lab_send(struct lab_request *request, const char *method, const char *path, const char *body,
	      int wait_ms)
{
	char *header = g_strdup_printf("X-Greengagefront-Deadline-Ms: %d\r\n", wait_ms);

	request->sent_us = timer_clock_us();
	request->answered_us = 0;
	request->code = 0;
	lab_note(request->lab, "client: %s %s: %s %s %s", request->name, request->id, method, path,
		 body ? body : "");
	http_client_call(request->client, &(struct http_call){
						  .method = method,
						  .path = path,
						  .extra_headers = header,
						  .body = body,
						  .length = body ? strlen(body) : 0,
						  .timeout_ms = wait_ms,
						  .callback = on_answer,
						  .context = request,
					  });
	g_free(header);
}

char *lab_job(int count, int cpu, int run_ms, int estimate_ms)
{
	return g_strdup_printf("{\"spec\":\"cpu=%d ms=%d\",\"bestEffort\":true,\"phases\":[{"
			       "\"count\":%d,\"cpu\":%d,\"memMb\":64,\"estMs\":%d}]}",
			       cpu, run_ms, count, cpu, estimate_ms);
}

/* ---- the laboratory ---- */

/* Daemons to end when the script is stopped. */
static pid_t daemon_pids[LAB_MAX_DAEMONS];

static void on_stop_signal(int signal_number)
{
	for (int i = 0; i < LAB_MAX_DAEMONS; i++) {
		if (daemon_pids[i] > 0)
			kill(daemon_pids[i], SIGKILL);
	}
	_exit(LAB_EXIT_NOT_RUN);
}

/* Copies the ids of the daemons that run for on_stop_signal. */
static void publish_pids(struct lab *lab)
{
	for (guint i = 0; i < lab->daemons->len && i < LAB_MAX_DAEMONS; i++)
		daemon_pids[i] = ((const struct lab_daemon *)lab->daemons->pdata[i])->pid;
}

static void on_tick(void *context, int64_t now_us)
{
	struct lab *lab = context;

	for (guint i = 0; i < lab->servers->len; i++) {
		struct lab_server *server = lab->servers->pdata[i];

		if (!server->up)
			continue;
		end_due_runs(server);
		if (!server->cut)
			respond_to_due_holds(server);
	}
	for (guint i = 0; i < lab->links->len; i++)
		forward_link(lab->links->pdata[i]);
	respond_to_due_reads(lab);
	reap_daemons(lab);
	publish_pids(lab);
}

struct lab *lab_new(void)
{
	struct lab *lab = g_new0(struct lab, 1);
	const char *record = g_getenv("RECORD");
	const char *program = g_getenv("PROGRAM");
	struct http_server *store;
	struct error err;
	char *address;

	lab->record = record ? fopen(record, "w") : NULL;
	lab->directory = g_dir_make_tmp("review-XXXXXX", NULL);
	if (!lab->record || !program || !lab->directory) {
		fprintf(stderr, "RECORD and PROGRAM must name files\n");
		exit(LAB_EXIT_NOT_RUN);
	}
	lab->program = g_strdup(program);
	signal(SIGTERM, on_stop_signal);
	signal(SIGINT, on_stop_signal);
	lab->started_us = timer_clock_us();
	lab->trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
	lab->store_port = lab_free_port();
	lab->peer_port = lab_free_port();
	lab->topics = g_hash_table_new(g_str_hash, g_str_equal);
	lab->pending_reads = g_array_new(FALSE, FALSE, sizeof(struct pending_read));
	lab->started_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	lab->servers = g_ptr_array_new();
	lab->daemons = g_ptr_array_new();
	lab->links = g_ptr_array_new();
	net_loop_init(&lab->loop);
	address = g_strdup_printf("127.0.0.1:%d", lab->store_port);
	if (http_server_listen(&lab->loop, address, &server_options, &store_callbacks, lab, &store,
			       &err) != STATUS_OK)
		lab_abort(lab, err.message);
	g_free(address);
	timer_subscribe(&lab->loop.timers, lab->loop.now_us, TICK_MS * LAB_US_PER_MS, on_tick, lab);
	lab_note(lab, "disruption: %s", lab->trouble ? "on" : "off");
	return lab;
}

static void on_pause_over(void *context, int64_t now_us)
{
	struct lab *lab = context;

	uv_stop(&lab->loop.uv);
}

void lab_run_for(struct lab *lab, int ms)
{
	timer_subscribe(&lab->loop.timers, timer_clock_us() + (int64_t)ms * LAB_US_PER_MS, 0,
			on_pause_over, lab);
	net_loop_run(&lab->loop);
}

static void on_probe_answered(void *context, const struct http_response *response)
{
	int *code = context;

	*code = response->status == STATUS_OK ? response->code : 0;
}

bool lab_wait_ready(struct lab *lab, const char *address, int limit_ms)
{
	struct http_client *client =
		http_client_new(&lab->loop, &(struct http_client_options){
						    .address = address,
						    .max_connections = 1,
						    .idle_limit_ms = IDLE_LIMIT_MS,
						    .response_max_bytes = HEADER_MAX_BYTES,
					    });
	int64_t until_ms = lab_now_ms(lab) + limit_ms;
	int code = 0;

	while (code != CODE_OK && lab_now_ms(lab) < until_ms) {
		http_client_call(client, &(struct http_call){
						 .method = "GET",
						 .path = "/greengagefront/readyz",
						 .timeout_ms = PROBE_TIMEOUT_MS,
						 .callback = on_probe_answered,
						 .context = &code,
					 });
		lab_run_for(lab, PROBE_INTERVAL_MS);
	}
	http_client_free(client);
	return code == CODE_OK;
}

/* Ends the daemons that still run. */
static void end_daemons(struct lab *lab)
{
	for (guint i = 0; i < lab->daemons->len; i++) {
		struct lab_daemon *daemon = lab->daemons->pdata[i];

		if (daemon->pid != 0)
			lab_signal(daemon, SIGKILL);
	}
	if (!g_getenv("KEEP")) {
		for (guint i = 0; i < lab->daemons->len; i++) {
			const struct lab_daemon *daemon = lab->daemons->pdata[i];
			char *file = g_strdup_printf("%s/%s.json", lab->directory, daemon->name);
			char *log = g_strdup_printf("%s/%s.log", lab->directory, daemon->name);

			unlink(file);
			unlink(log);
			g_free(file);
			g_free(log);
		}
		rmdir(lab->directory);
	}
}

void lab_finish(struct lab *lab, bool broken, const char *verdict)
{
	end_daemons(lab);
	lab_note(lab, "%s: %s", broken ? "BROKEN" : "held", verdict);
	fclose(lab->record);
	exit(broken ? LAB_EXIT_BROKEN : LAB_EXIT_HELD);
}

void lab_abort(struct lab *lab, const char *reason)
{
	end_daemons(lab);
	lab_note(lab, "not run: %s", reason);
	fclose(lab->record);
	exit(LAB_EXIT_NOT_RUN);
}
