/*
 * Stand-in for the users' platform: a store with a log of keyed topics, and backend servers that
 * send heartbeats to their agents and execute orders under leases.
 *
 * usage: standin_platform STORE_ADDRESS[,STORE_ADDRESS]
 *        [SERVER_ADDRESS=AGENT_CONTROL_ADDRESS[=ZONE] ...]
 *
 * Servers are in zone a unless another one is given.
 *
 * At the store's addresses, POST /control changes settings, POST /control/config publishes a
 * configuration, POST /control/operator?key=K any other record of the operator, with its body as
 * value, or deletes it if that is empty, GET /control returns counters, GET /control/started
 * returns the ids of the started jobs, and GET /control/servers what the servers' next heartbeats
 * will state. POST /control/item?topic=T adds its body, JSON text that need not be valid, to the
 * items of T's newest records, and POST /control/record?topic=T adds its body, in base64 the bytes
 * after a record's length, to T's log. The settings are page_items (items in a page of newest
 * records; 0: all), lists_lost, starts_lost, run_ms, store_down, store_silent, refused_address, cpu
 * (capacity of each server, which it does not enforce), cut_server (its connections are closed and
 * new ones refused; it runs on), restore_server, suspend_server and resume_server (its host is
 * suspended: its clock and its runs stand still), lists_garbled, deadly_job (id of a job whose
 * tasks crash each server that starts them), away_ms (how long a crashed server is away),
 * watch_zone (whose starts are counted from now on), and drain, stay and silent, whose value is the
 * index of a server.
 */
#include <arpa/inet.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "http_client.h"
#include "http_server.h"

enum {
	SAME_AGENT_EPOCHS = 1000, /* an agent process raises its epoch by less */
	US_PER_MS = 1000,
	MAX_SERVERS = 32,
	HEARTBEAT_MS = 200,
	HEARTBEAT_TIMEOUT_MS = 500,
	LEASE_MAX_MS = 1000,
	TICK_MS = 5,
	SERVER_CPU = 16000,
	DEADLY_DELAY_MS = 10, /* from the start of a task to the crash */
	BODY_MAX_BYTES = 4 << 20,
	HEADER_MAX_BYTES = 16384,
	CONNECTION_TIMEOUT_MS = 60000 /* for receiving a request and for idle connections */
};

struct standin;

struct run {
	char *task;
	int64_t attempt;
	int64_t cpu;
	int64_t ends_us;
	int64_t started_us;
};

/* A hold request that waits until a run ends or its wait time is over. */
struct pending_hold {
	struct http_request *request;
	int64_t until_us;
};

struct server {
	struct standin *standin;
	unsigned index;
	char *address;
	char *agent_address;
	char *zone;
	char id[32];
	struct http_server *http;
	struct http_client *agent;
	GPtrArray *runs;
	GHashTable *highest_attempt; /* task -> highest attempt that was stopped or has ended */
	json_t *finished;	     /* unacknowledged runs: [cursor, task, attempt, outcome, ""] */
	int64_t last_cursor;	     /* cursor of the run that ended last */
	GArray *pending_holds;
	int64_t epoch;	       /* highest "fence" received; orders with a lower one are refused */
	int64_t listed_epoch;  /* highest of the holds that were accepted */
	uint32_t blind_leases; /* with an epoch that is far higher than that */
	uint32_t epochs_refused;
	int64_t lease_until_us;	    /* on its own clock */
	int64_t suspended_since_us; /* 0: its host is not suspended */
	int64_t suspended_us;	    /* in total before */
	int64_t started_ms;
	int64_t sequence;
	bool draining;
	bool silent;	       /* sends no heartbeats */
	int64_t crash_due_us;  /* 0: none */
	int64_t return_due_us; /* 0: not crashed */
	uint32_t crashes;
	int64_t drained_us;
	uint32_t starts_after_drain;
};

struct topic {
	GPtrArray *keys;   /* char *; NULL for a raw record */
	GPtrArray *values; /* GBytes *; for a raw record, all of its bytes after the length */
	GPtrArray *items;  /* char *, raw items of the newest records */
	GArray *places;	   /* guint, for each raw item the index of the key that it comes before */
};

struct pending_read {
	struct http_request *request;
	char *topic;
	size_t from;
	int64_t until_us;
};

struct standin {
	struct net_loop loop;
	GHashTable *topics;    /* name -> struct topic * */
	GArray *pending_reads; /* struct pending_read */
	struct server servers[MAX_SERVERS];
	unsigned server_count;
	GRand *rand;
	GHashTable *run_counts;	  /* task -> current number of runs, on all servers */
	GHashTable *started_jobs; /* set of the ids of jobs with at least one started task */
	double lists_lost;  /* probability that a hold request takes effect but gets no response */
	double starts_lost; /* probability that a start request is ignored and gets no response */
	int64_t run_ms;	    /* run time of every task */
	int64_t cpu;	    /* capacity that each server announces */
	int64_t cpu_changed_us;
	uint32_t pages;	   /* pages of newest records sent */
	size_t page_items; /* 0: all items of the newest records are in one page */
	bool store_down;
	bool store_silent;     /* leaves requests unanswered */
	char *refused_address; /* address of the store at which calls are refused, or NULL */
	char *deadly_job;      /* id, or NULL */
	int64_t away_ms;       /* how long a crashed server is away */
	bool lists_garbled;    /* responds to hold requests with truncated JSON */
	char *watched_zone;    /* or NULL */
	uint32_t zone_starts;  /* since the zone is watched */
	uint32_t starts;
	uint32_t overlaps; /* counts changes after which a task has more than one run */
	uint32_t heartbeats_refused;
	uint32_t acks_ahead;	       /* of ends that the process has not listed */
	uint32_t starts_over_capacity; /* once two heartbeats have announced the capacity */
};

static bool draw_fault(struct standin *standin, double probability)
{
	return probability > 0 && g_rand_double(standin->rand) < probability;
}

/* Sends no response and leaves the connection open. The request is freed when the client
 * disconnects. */
static void leave_unanswered(struct http_request *request)
{
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

/* ---- backend servers ---- */

/* The steady clock of a server stands still while its host is suspended. */
static int64_t clock_us(const struct server *server)
{
	int64_t now_us = server->suspended_since_us > 0 ? server->suspended_since_us
							: server->standin->loop.now_us;

	return now_us - server->suspended_us;
}

static int64_t clock_ms(const struct server *server)
{
	return clock_us(server) / US_PER_MS;
}

/* Adds CHANGE to the number of runs of TASK and counts an overlap if the task then has more than
 * one run. */
static void adjust_running_count(struct standin *standin, const char *task, int change)
{
	int now = GPOINTER_TO_INT(g_hash_table_lookup(standin->run_counts, task)) + change;

	g_hash_table_replace(standin->run_counts, g_strdup(task), GINT_TO_POINTER(now));
	standin->overlaps += now > 1;
}

static struct run *find_run(const struct server *server, const char *task)
{
	for (guint i = 0; i < server->runs->len; i++) {
		struct run *run = server->runs->pdata[i];

		if (strcmp(run->task, task) == 0)
			return run;
	}
	return NULL;
}

static void end_run(struct server *server, struct run *run, const char *outcome)
{
	json_array_append_new(server->finished,
			      json_pack("[I,s,I,s,s]", (json_int_t)++server->last_cursor, run->task,
					(json_int_t)run->attempt, outcome, ""));
	adjust_running_count(server->standin, run->task, -1);
	g_hash_table_replace(server->highest_attempt, g_strdup(run->task),
			     GINT_TO_POINTER((int)run->attempt));
	g_ptr_array_remove_fast(server->runs, run);
	g_free(run->task);
	g_free(run);
}

/* Ends the runs whose time is over, and all others if the lease has expired. */
static void end_due_runs(struct server *server)
{
	int64_t now_us = server->standin->loop.now_us;

	for (guint i = server->runs->len; i-- > 0 && server->suspended_since_us == 0;) {
		struct run *run = server->runs->pdata[i];

		if (run->ends_us <= now_us)
			end_run(server, run, "done");
		else if (server->lease_until_us < clock_us(server))
			end_run(server, run, "lapsed");
	}
}

static json_t *clock_to_json(const struct server *server)
{
	return json_pack("{s:I, s:I}", "clockMs", (json_int_t)clock_ms(server), "born",
			 (json_int_t)server->started_ms);
}

static void respond_refusal(struct http_request *request, const struct server *server,
			    const char *reason)
{
	json_t *document = clock_to_json(server);

	json_object_set_new(document, "reason", json_string(reason));
	respond_json(request, 409, document);
}

static void extend_lease(struct server *server, const json_t *document)
{
	int64_t expires_ms = json_integer_value(json_object_get(document, "expiresMs"));
	int64_t until_us = MIN(expires_ms, clock_ms(server) + LEASE_MAX_MS) * US_PER_MS;

	server->lease_until_us = MAX(server->lease_until_us, until_us);
}

static int64_t used_cpu(const struct server *server)
{
	return (int64_t)server->runs->len * 1000;
}

/* Starts a run, unless the same attempt already runs. Returns NULL on success, else the reason for
 * the refusal. */
static const char *start_run(struct server *server, const json_t *document)
{
	const char *task = json_string_value(json_object_get(document, "task"));
	int64_t attempt = json_integer_value(json_object_get(document, "attempt"));
	struct standin *standin = server->standin;
	gpointer highest_attempt = NULL;
	struct run *run = find_run(server, task);

	if (run)
		return run->attempt == attempt ? NULL : "old";
	if (g_hash_table_lookup_extended(server->highest_attempt, task, NULL, &highest_attempt) &&
	    GPOINTER_TO_INT(highest_attempt) >= attempt)
		return "old";
	if (json_integer_value(json_object_get(document, "expiresMs")) < clock_ms(server))
		return "late";
	extend_lease(server, document);
	if (used_cpu(server) + 1000 > SERVER_CPU)
		return "room";
	run = g_new0(struct run, 1);
	run->task = g_strdup(task);
	run->attempt = attempt;
	run->started_us = standin->loop.now_us;
	run->ends_us = standin->loop.now_us + standin->run_ms * US_PER_MS;
	g_ptr_array_add(server->runs, run);
	standin->starts++;
	standin->starts_over_capacity +=
		used_cpu(server) > standin->cpu &&
		standin->loop.now_us - standin->cpu_changed_us > 2 * HEARTBEAT_MS * US_PER_MS;
	g_hash_table_add(standin->started_jobs, g_strndup(task, strcspn(task, ".")));
	if (standin->deadly_job && g_str_has_prefix(task, standin->deadly_job) &&
	    server->crash_due_us == 0)
		server->crash_due_us = standin->loop.now_us + DEADLY_DELAY_MS * US_PER_MS;
	server->starts_after_drain += server->draining;
	standin->zone_starts += g_strcmp0(server->zone, standin->watched_zone) == 0;
	adjust_running_count(standin, task, 1);
	return NULL;
}

static void handle_start(struct server *server, struct http_request *request,
			 const json_t *document)
{
	const char *reason;

	if (draw_fault(server->standin, server->standin->starts_lost)) {
		leave_unanswered(request);
		return;
	}
	reason = start_run(server, document);
	if (reason)
		respond_refusal(request, server, reason);
	else
		respond_json(request, 200, clock_to_json(server));
}

static void handle_stop(struct server *server, struct http_request *request, const json_t *document)
{
	const char *task = json_string_value(json_object_get(document, "task"));
	int64_t attempt = json_integer_value(json_object_get(document, "attempt"));
	struct run *run = find_run(server, task);

	if (run && run->attempt <= attempt)
		end_run(server, run, "stopped");
	if (GPOINTER_TO_INT(g_hash_table_lookup(server->highest_attempt, task)) < attempt)
		g_hash_table_replace(server->highest_attempt, g_strdup(task),
				     GINT_TO_POINTER((int)attempt));
	respond_json(request, 200, clock_to_json(server));
}

static void respond_run_lists(struct server *server, struct http_request *request)
{
	json_t *document = clock_to_json(server);
	json_t *running = json_array();

	if (draw_fault(server->standin, server->standin->lists_lost)) {
		json_decref(document);
		json_decref(running);
		leave_unanswered(request);
		return;
	}
	for (guint i = 0; i < server->runs->len; i++) {
		const struct run *run = server->runs->pdata[i];
		int64_t percent = 100 * (server->standin->loop.now_us - run->started_us) /
				  MAX(run->ends_us - run->started_us, 1);

		json_array_append_new(running,
				      json_pack("[s,I,s,I,i]", run->task, (json_int_t)run->attempt,
						"", (json_int_t)percent, 1000));
	}
	json_object_set_new(document, "running", running);
	json_object_set(document, "finished", server->finished);
	if (server->standin->lists_garbled) {
		http_respond(request, 200, NULL, "{\"running\":");
		json_decref(document);
		return;
	}
	respond_json(request, 200, document);
}

static void handle_hold(struct server *server, struct http_request *request, const json_t *document)
{
	int64_t wait_ms = json_integer_value(json_object_get(document, "waitMs"));
	int64_t acked_cursor = json_integer_value(json_object_get(document, "ackCursor"));
	int64_t epoch = json_integer_value(json_object_get(document, "fence"));
	struct pending_hold hold = {.request = request,
				    .until_us = server->standin->loop.now_us + wait_ms * US_PER_MS};

	server->blind_leases += json_object_get(document, "expiresMs") != NULL &&
				epoch > server->listed_epoch + SAME_AGENT_EPOCHS;
	server->listed_epoch = epoch;
	extend_lease(server, document);
	server->standin->acks_ahead += acked_cursor > server->last_cursor;
	while (json_array_size(server->finished) > 0 &&
	       json_integer_value(json_array_get(json_array_get(server->finished, 0), 0)) <=
		       acked_cursor)
		json_array_remove(server->finished, 0);
	if (wait_ms > 0 && json_array_size(server->finished) == 0)
		g_array_append_val(server->pending_holds, hold);
	else
		respond_run_lists(server, request);
}

static void on_order(void *context, struct http_request *request)
{
	struct server *server = context;
	const char *path = http_request_path(request);
	json_t *document = read_json(request);
	int64_t epoch = json_integer_value(json_object_get(document, "fence"));

	end_due_runs(server);
	if (server->suspended_since_us > 0) {
		leave_unanswered(request);
	} else if (!document) {
		http_respond(request, 400, NULL, "{}");
	} else if (epoch < server->epoch) {
		server->epochs_refused++;
		respond_refusal(request, server, "fence");
	} else {
		server->epoch = epoch;
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
	struct server *server = context;

	for (guint i = server->pending_holds->len; i-- > 0;) {
		if (g_array_index(server->pending_holds, struct pending_hold, i).request == request)
			g_array_remove_index_fast(server->pending_holds, i);
	}
}

static const struct http_server_callbacks order_callbacks = {
	.on_request = on_order,
	.on_disconnected = on_order_disconnected,
};

static void respond_to_due_holds(struct server *server)
{
	int64_t now_us = server->standin->loop.now_us;

	for (guint i = server->pending_holds->len; i-- > 0 && server->suspended_since_us == 0;) {
		struct pending_hold hold =
			g_array_index(server->pending_holds, struct pending_hold, i);

		if (json_array_size(server->finished) == 0 && now_us < hold.until_us)
			continue;
		g_array_remove_index_fast(server->pending_holds, i);
		respond_run_lists(server, hold.request);
	}
}

static void on_heartbeat_response(void *context, const struct http_response *reply)
{
	struct server *server = context;

	if (reply->status == STATUS_OK && reply->code != 200)
		server->standin->heartbeats_refused++;
}

static void send_heartbeat(void *context, int64_t now_us)
{
	struct server *server = context;
	char *path = g_strdup_printf("/greengagefront/instances/%s/heartbeat", server->id);
	char *body = g_strdup_printf(
		"{\"service\":\"svc\",\"addr\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":"
		"8,"
		"\"state\":\"%s\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":%d,\"memMb\":65536,"
		"\"gpu\":0},\"labels\":[\"a\",\"r1\"],\"clockMs\":%lld,\"seq\":%lld,\"born\":%lld}",
		server->address, server->zone, server->draining ? "draining" : "ready",
		(int)server->standin->cpu, (long long)clock_ms(server),
		(long long)++server->sequence, (long long)server->started_ms);

	if (!server->silent && server->suspended_since_us == 0 && server->return_due_us == 0)
		http_client_call(server->agent, &(struct http_call){
							.method = "POST",
							.path = path,
							.body = body,
							.length = strlen(body),
							.timeout_ms = HEARTBEAT_TIMEOUT_MS,
							.callback = on_heartbeat_response,
							.context = server,
						});
	g_free(path);
	g_free(body);
}

/* ---- store ---- */

static struct topic *find_or_create_topic(struct standin *standin, const char *name)
{
	struct topic *topic = g_hash_table_lookup(standin->topics, name);

	if (!topic) {
		topic = g_new0(struct topic, 1);
		topic->keys = g_ptr_array_new_with_free_func(g_free);
		topic->values = g_ptr_array_new();
		topic->items = g_ptr_array_new_with_free_func(g_free);
		topic->places = g_array_new(FALSE, FALSE, sizeof(guint));
		g_hash_table_insert(standin->topics, g_strdup(name), topic);
	}
	return topic;
}

static void append_record(struct standin *standin, const char *name, const char *key,
			  const char *value, size_t length)
{
	struct topic *topic = find_or_create_topic(standin, name);

	g_ptr_array_add(topic->keys, g_strdup(key));
	g_ptr_array_add(topic->values, g_bytes_new(value, length));
}

static bool is_newest(const struct topic *topic, guint index)
{
	if (!topic->keys->pdata[index])
		return false;
	for (guint i = index + 1; i < topic->keys->len; i++) {
		if (g_strcmp0(topic->keys->pdata[index], topic->keys->pdata[i]) == 0)
			return false;
	}
	return true;
}

/* Adds the item of the newest record INDEX to ITEMS, and its key to KEYS. */
static void add_item(const struct topic *topic, guint index, GPtrArray *items, GPtrArray *keys)
{
	gsize length;
	const guchar *value = g_bytes_get_data(topic->values->pdata[index], &length);
	char *encoded = g_base64_encode(value, length);
	json_t *item = json_pack("{s:s, s:s, s:i}", "key", topic->keys->pdata[index], "value",
				 encoded, "offset", (int)index);
	char *text;

	/* A deleted key. */
	if (length == 0)
		json_object_del(item, "value");
	text = json_dumps(item, JSON_COMPACT);
	if (text) {
		g_ptr_array_add(items, g_strdup(text));
		g_ptr_array_add(keys, g_strdup(topic->keys->pdata[index]));
	}
	free(text);
	json_decref(item);
	g_free(encoded);
}

/* Returns the key of a raw item, which the caller frees, or NULL if it has none that can be read.
 */
static char *raw_item_key(const char *text)
{
	json_t *item = json_loads(text, 0, NULL);
	char *key = g_strdup(json_string_value(json_object_get(item, "key")));

	json_decref(item);
	return key;
}

/* Adds the raw items that come before the key INDEX, and their keys. */
static void add_raw_items(const struct topic *topic, guint index, GPtrArray *items, GPtrArray *keys)
{
	for (guint i = 0; i < topic->items->len; i++) {
		if (g_array_index(topic->places, guint, i) != index)
			continue;
		g_ptr_array_add(items, g_strdup(topic->items->pdata[i]));
		g_ptr_array_add(keys, raw_item_key(topic->items->pdata[i]));
	}
}

/* Responds with a page of the newest record of each key, from the one after AFTER_KEY on. */
static void respond_newest_records(struct standin *standin, struct http_request *request,
				   const char *name, const char *after_key)
{
	struct topic *topic = find_or_create_topic(standin, name);
	GPtrArray *items = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	GString *body = g_string_new("{\"items\":[");
	guint first = 0;
	guint end;

	standin->pages++;
	for (guint i = 0; i < topic->keys->len; i++) {
		add_raw_items(topic, i, items, keys);
		if (is_newest(topic, i))
			add_item(topic, i, items, keys);
	}
	add_raw_items(topic, topic->keys->len, items, keys);
	for (guint i = 0; after_key && i < keys->len; i++) {
		if (g_strcmp0(keys->pdata[i], after_key) == 0)
			first = i + 1;
	}
	end = standin->page_items > 0 ? MIN(items->len, first + (guint)standin->page_items)
				      : items->len;
	for (guint i = first; i < end; i++)
		g_string_append_printf(body, "%s%s", i > first ? "," : "", (char *)items->pdata[i]);
	g_string_append_printf(body, "],\"hasMore\":%s,\"endOffset\":%u}",
			       end < items->len ? "true" : "false", topic->keys->len);
	http_respond(request, 200, NULL, body->str);
	g_string_free(body, TRUE);
	g_ptr_array_free(keys, TRUE);
	g_ptr_array_free(items, TRUE);
}

static void respond_records(struct standin *standin, const struct pending_read *read)
{
	struct topic *topic = find_or_create_topic(standin, read->topic);
	GByteArray *body = g_byte_array_new();
	guint64 end = GUINT64_TO_BE((guint64)topic->keys->len);
	guint64 first = 0;

	g_byte_array_append(body, (const guint8 *)&end, sizeof(end));
	g_byte_array_append(body, (const guint8 *)&first, sizeof(first));
	for (size_t i = read->from; i < topic->keys->len; i++) {
		const char *key = topic->keys->pdata[i];
		gsize length;
		const guint8 *value = g_bytes_get_data(topic->values->pdata[i], &length);
		guint8 key_length = key ? (guint8)strlen(key) : 0;
		uint32_t size = htonl((uint32_t)((key ? 1 + key_length : 0) + length));

		g_byte_array_append(body, (const guint8 *)&size, sizeof(size));
		if (key) {
			g_byte_array_append(body, &key_length, 1);
			g_byte_array_append(body, (const guint8 *)key, key_length);
		}
		g_byte_array_append(body, value, (guint)length);
	}
	http_respond_bytes(read->request, 200, NULL, body->data, body->len);
	g_byte_array_free(body, TRUE);
}

static void handle_append(struct standin *standin, struct http_request *request, const char *name)
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
	append_record(standin, name, key, body + 5 + key_length, length - 5 - key_length);
	g_free(key);
	respond_json(request, 200, json_pack("{s:i, s:i}", "offset", 0, "endOffset", 1));
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

/* Returns whether calls at the store's address that REQUEST was sent to are to be refused. */
static bool is_refused(const struct standin *standin, const struct http_request *request)
{
	return standin->store_down ||
	       g_strcmp0(http_request_header(request, "Host"), standin->refused_address) == 0;
}

static void handle_log_request(struct standin *standin, struct http_request *request)
{
	const char *path = http_request_path(request);
	char *topic = query_value(http_request_query(request), "topic");
	char *from = query_value(http_request_query(request), "from");
	char *wait = query_value(http_request_query(request), "waitMs");
	char *after_key = query_value(http_request_query(request), "dependsOn");

	if (standin->store_silent) {
		leave_unanswered(request);
	} else if (is_refused(standin, request)) {
		http_respond(request, 503, NULL, "{}");
	} else if (!topic) {
		http_respond(request, 400, NULL, "{}");
	} else if (g_str_has_suffix(path, "/log-newest")) {
		respond_newest_records(standin, request, topic, after_key);
	} else if (g_str_has_suffix(path, "/log-append")) {
		handle_append(standin, request, topic);
	} else if (g_str_has_suffix(path, "/log-read")) {
		const struct pending_read read = {
			.request = request,
			.topic = g_strdup(topic),
			.from = from ? (size_t)atoll(from) : 0,
			.until_us = standin->loop.now_us + (wait ? atoll(wait) : 0) * US_PER_MS,
		};

		g_array_append_val(standin->pending_reads, read);
	} else {
		http_respond(request, 404, NULL, "{}");
	}
	g_free(topic);
	g_free(from);
	g_free(wait);
	g_free(after_key);
}

static void respond_to_due_reads(struct standin *standin)
{
	for (guint i = standin->pending_reads->len; i-- > 0;) {
		struct pending_read read =
			g_array_index(standin->pending_reads, struct pending_read, i);

		if (find_or_create_topic(standin, read.topic)->keys->len <= read.from &&
		    standin->loop.now_us < read.until_us && !is_refused(standin, read.request))
			continue;
		g_array_remove_index_fast(standin->pending_reads, i);
		if (is_refused(standin, read.request))
			http_respond(read.request, 503, NULL, "{}");
		else
			respond_records(standin, &read);
		g_free(read.topic);
	}
}

/* ---- requests to /control ---- */

static void cut_off(struct server *server);
static void listen_again(struct server *server);

static void suspend(struct server *server)
{
	end_due_runs(server);
	server->suspended_since_us = server->standin->loop.now_us;
}

/* The server goes on with its runs, whose leases last as long as before. */
static void resume(struct server *server)
{
	int64_t now_us = server->standin->loop.now_us;
	int64_t gap_us = now_us - server->suspended_since_us;

	if (server->suspended_since_us == 0)
		return;
	for (guint i = 0; i < server->runs->len; i++)
		((struct run *)server->runs->pdata[i])->ends_us += gap_us;
	server->suspended_us += gap_us;
	server->suspended_since_us = 0;
}

static void apply_server_settings(struct standin *standin, const json_t *document)
{
	json_t *drain = json_object_get(document, "drain");
	json_t *silent = json_object_get(document, "silent");
	json_t *undrain = json_object_get(document, "stay");
	json_t *cut = json_object_get(document, "cut_server");
	json_t *restore = json_object_get(document, "restore_server");
	json_t *suspended = json_object_get(document, "suspend_server");
	json_t *resumed = json_object_get(document, "resume_server");

	if (drain)
		standin->servers[json_integer_value(drain) % MAX_SERVERS].draining = true;
	if (undrain)
		standin->servers[json_integer_value(undrain) % MAX_SERVERS].draining = false;
	if (cut)
		cut_off(&standin->servers[json_integer_value(cut) % MAX_SERVERS]);
	if (restore)
		listen_again(&standin->servers[json_integer_value(restore) % MAX_SERVERS]);
	if (suspended)
		suspend(&standin->servers[json_integer_value(suspended) % MAX_SERVERS]);
	if (resumed)
		resume(&standin->servers[json_integer_value(resumed) % MAX_SERVERS]);
	if (silent)
		standin->servers[json_integer_value(silent) % MAX_SERVERS].silent = true;
}

static void handle_control_post(struct standin *standin, struct http_request *request)
{
	json_t *document = read_json(request);
	json_t *field;

	if ((field = json_object_get(document, "lists_lost")))
		standin->lists_lost = json_number_value(field);
	if ((field = json_object_get(document, "starts_lost")))
		standin->starts_lost = json_number_value(field);
	if ((field = json_object_get(document, "run_ms")))
		standin->run_ms = json_integer_value(field);
	if ((field = json_object_get(document, "cpu"))) {
		standin->cpu = json_integer_value(field);
		standin->cpu_changed_us = standin->loop.now_us;
	}
	if ((field = json_object_get(document, "page_items")))
		standin->page_items = (size_t)json_integer_value(field);
	if ((field = json_object_get(document, "store_down")))
		standin->store_down = json_is_true(field);
	if ((field = json_object_get(document, "store_silent")))
		standin->store_silent = json_is_true(field);
	if ((field = json_object_get(document, "refused_address"))) {
		g_free(standin->refused_address);
		standin->refused_address = g_strdup(json_string_value(field));
	}
	if ((field = json_object_get(document, "deadly_job"))) {
		g_free(standin->deadly_job);
		standin->deadly_job = g_strdup(json_string_value(field));
	}
	if ((field = json_object_get(document, "away_ms")))
		standin->away_ms = json_integer_value(field);
	if ((field = json_object_get(document, "lists_garbled")))
		standin->lists_garbled = json_is_true(field);
	if ((field = json_object_get(document, "watch_zone"))) {
		g_free(standin->watched_zone);
		standin->watched_zone = g_strdup(json_string_value(field));
		standin->zone_starts = 0;
	}
	if ((field = json_object_get(document, "epoch_ahead")))
		standin->servers[0].epoch += json_integer_value(field);
	apply_server_settings(standin, document);
	json_decref(document);
	http_respond(request, 200, NULL, "{}");
}

static void handle_control_get(struct standin *standin, struct http_request *request)
{
	uint32_t running = 0;
	uint32_t after_drain = 0;
	uint32_t crashes = 0;

	for (unsigned i = 0; i < standin->server_count; i++) {
		running += standin->servers[i].runs->len;
		after_drain += standin->servers[i].starts_after_drain;
		crashes += standin->servers[i].crashes;
	}
	respond_json(request, 200,
		     json_pack("{s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i}",
			       "pages", (int)standin->pages, "starts", (int)standin->starts,
			       "overlaps", (int)standin->overlaps, "running", (int)running,
			       "starts_after_drain", (int)after_drain, "heartbeats_refused",
			       (int)standin->heartbeats_refused, "starts_over_capacity",
			       (int)standin->starts_over_capacity, "acks_ahead",
			       (int)standin->acks_ahead, "crashes", (int)crashes, "epochs_refused",
			       (int)standin->servers[0].epochs_refused, "blind_leases",
			       (int)standin->servers[0].blind_leases, "zone_starts",
			       (int)standin->zone_starts));
}

static void respond_started_jobs(struct standin *standin, struct http_request *request)
{
	json_t *ids = json_array();
	GHashTableIter iter;
	gpointer id;

	g_hash_table_iter_init(&iter, standin->started_jobs);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		json_array_append_new(ids, json_string(id));
	respond_json(request, 200, json_pack("{s:o}", "jobs", ids));
}

/* Responds with what each server's next heartbeat will state. */
static void respond_servers(struct standin *standin, struct http_request *request)
{
	json_t *rows = json_array();

	for (unsigned i = 0; i < standin->server_count; i++) {
		const struct server *server = &standin->servers[i];
		json_t *row = clock_to_json(server);

		json_object_set_new(row, "id", json_string(server->id));
		json_object_set_new(row, "addr", json_string(server->address));
		json_object_set_new(row, "seq", json_integer(server->sequence + 1));
		json_array_append_new(rows, row);
	}
	respond_json(request, 200, json_pack("{s:o}", "servers", rows));
}

/* Adds the body as a raw item or a raw record. */
static void handle_raw(struct standin *standin, struct http_request *request, bool record)
{
	char *name = query_value(http_request_query(request), "topic");
	struct topic *topic = find_or_create_topic(standin, name);
	size_t length;
	const char *body = http_request_body(request, &length);

	if (record) {
		char *text = g_strndup(body, length);
		guchar *record_bytes = g_base64_decode(text, &length);

		g_ptr_array_add(topic->keys, NULL);
		g_ptr_array_add(topic->values, g_bytes_new_take(record_bytes, length));
		g_free(text);
	} else {
		g_ptr_array_add(topic->items, g_strndup(body, length));
		g_array_append_val(topic->places, topic->keys->len);
	}
	g_free(name);
	http_respond(request, 200, NULL, "{}");
}

static void on_store_request(void *context, struct http_request *request)
{
	struct standin *standin = context;
	const char *path = http_request_path(request);
	size_t length;
	const char *body = http_request_body(request, &length);

	if (strcmp(path, "/control/config") == 0) {
		append_record(standin, "keyed.op", "config", body, length);
		http_respond(request, 200, NULL, "{}");
	} else if (strcmp(path, "/control/operator") == 0) {
		char *key = query_value(http_request_query(request), "key");

		append_record(standin, "keyed.op", key, body, length);
		g_free(key);
		http_respond(request, 200, NULL, "{}");
	} else if (strcmp(path, "/control/servers") == 0) {
		respond_servers(standin, request);
	} else if (strcmp(path, "/control/item") == 0 || strcmp(path, "/control/record") == 0) {
		handle_raw(standin, request, strcmp(path, "/control/record") == 0);
	} else if (strcmp(path, "/control/started") == 0) {
		respond_started_jobs(standin, request);
	} else if (strcmp(path, "/control") == 0) {
		if (http_request_method(request) == HTTP_METHOD_POST)
			handle_control_post(standin, request);
		else
			handle_control_get(standin, request);
	} else {
		handle_log_request(standin, request);
	}
}

static void on_store_disconnected(void *context, struct http_request *request)
{
	struct standin *standin = context;

	for (guint i = standin->pending_reads->len; i-- > 0;) {
		struct pending_read *read =
			&g_array_index(standin->pending_reads, struct pending_read, i);

		if (read->request != request)
			continue;
		g_free(read->topic);
		g_array_remove_index_fast(standin->pending_reads, i);
	}
}

static const struct http_server_callbacks store_callbacks = {
	.on_request = on_store_request,
	.on_disconnected = on_store_disconnected,
};

static const struct http_server_options server_options = {
	.header_max_bytes = HEADER_MAX_BYTES,
	.body_max_bytes = BODY_MAX_BYTES,
	.request_limit_ms = CONNECTION_TIMEOUT_MS,
	.idle_limit_ms = CONNECTION_TIMEOUT_MS,
};

/* Each process of a server has an id of its own. */
static void set_id(struct server *server)
{
	g_snprintf(server->id, sizeof(server->id), "i-%08x",
		   (server->crashes << 8) + server->index + 1);
	server->started_ms = timer_wall_ms();
}

static enum status listen_for_orders(struct server *server, struct error *err)
{
	return http_server_listen(&server->standin->loop, server->address, &server_options,
				  &order_callbacks, server, &server->http, err);
}

static void cut_off(struct server *server)
{
	http_server_close(server->http);
	server->http = NULL;
}

static void listen_again(struct server *server)
{
	struct error err;

	if (listen_for_orders(server, &err) != STATUS_OK) {
		fprintf(stderr, "standin_platform: %s\n", err.message);
		abort();
	}
}

/* Closes the server's connections and forgets its runs and all that its agent has told it. */
static void crash(struct server *server)
{
	cut_off(server);
	for (guint i = 0; i < server->runs->len; i++) {
		struct run *run = server->runs->pdata[i];

		adjust_running_count(server->standin, run->task, -1);
		g_free(run->task);
		g_free(run);
	}
	g_ptr_array_set_size(server->runs, 0);
	g_hash_table_remove_all(server->highest_attempt);
	json_array_clear(server->finished);
	server->last_cursor = 0;
	server->epoch = 0;
	server->lease_until_us = 0;
	server->suspended_since_us = 0;
	server->sequence = 0;
	server->crashes++;
	server->crash_due_us = 0;
	server->return_due_us = server->standin->loop.now_us + server->standin->away_ms * US_PER_MS;
}

static void return_after_crash(struct server *server)
{
	set_id(server);
	server->return_due_us = 0;
	listen_again(server);
}

static void on_tick(void *context, int64_t now_us)
{
	struct standin *standin = context;

	for (unsigned i = 0; i < standin->server_count; i++) {
		struct server *server = &standin->servers[i];

		end_due_runs(server);
		respond_to_due_holds(server);
		if (server->crash_due_us != 0 && now_us >= server->crash_due_us)
			crash(server);
		else if (server->return_due_us != 0 && now_us >= server->return_due_us)
			return_after_crash(server);
	}
	respond_to_due_reads(standin);
}

static bool add_server(struct standin *standin, const char *text)
{
	struct server *server = &standin->servers[standin->server_count];
	char **parts = g_strsplit(text, "=", 3);
	struct error err;

	if (!parts[0] || !parts[1] || standin->server_count == MAX_SERVERS)
		return false;
	server->standin = standin;
	server->index = standin->server_count++;
	server->address = g_strdup(parts[0]);
	server->agent_address = g_strdup(parts[1]);
	server->zone = g_strdup(parts[2] ? parts[2] : "a");
	set_id(server);
	server->runs = g_ptr_array_new();
	server->highest_attempt = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	server->finished = json_array();
	server->pending_holds = g_array_new(FALSE, FALSE, sizeof(struct pending_hold));
	g_strfreev(parts);
	server->agent = http_client_new(
		&standin->loop,
		&(struct http_client_options){.address = server->agent_address,
					      .max_connections = 1,
					      .idle_limit_ms = CONNECTION_TIMEOUT_MS,
					      .response_max_bytes = HEADER_MAX_BYTES});
	if (listen_for_orders(server, &err) != STATUS_OK) {
		fprintf(stderr, "standin_platform: %s\n", err.message);
		return false;
	}
	timer_subscribe(&standin->loop.timers, standin->loop.now_us, HEARTBEAT_MS * US_PER_MS,
			send_heartbeat, server);
	return true;
}

/* Listens on the store's addresses, which are separated by commas. */
static bool start_store(struct standin *standin, const char *addresses)
{
	char **list = g_strsplit(addresses, ",", -1);
	struct http_server *server;
	struct error err = {.status = STATUS_OK};

	for (char **address = list; *address && err.status == STATUS_OK; address++)
		http_server_listen(&standin->loop, *address, &server_options, &store_callbacks,
				   standin, &server, &err);
	if (err.status != STATUS_OK)
		fprintf(stderr, "standin_platform: %s\n", err.message);
	g_strfreev(list);
	return err.status == STATUS_OK;
}

int main(int argc, char **argv)
{
	static struct standin standin;

	if (argc < 2) {
		fprintf(stderr,
			"usage: standin_platform STORE_ADDRESS [SERVER=CONTROL[=ZONE] ...]\n");
		return 2;
	}
	net_loop_init(&standin.loop);
	standin.topics = g_hash_table_new(g_str_hash, g_str_equal);
	standin.pending_reads = g_array_new(FALSE, FALSE, sizeof(struct pending_read));
	standin.run_counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	standin.started_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	standin.rand = g_rand_new_with_seed(1);
	standin.run_ms = 100;
	standin.cpu = SERVER_CPU;
	standin.away_ms = 1000;
	if (!start_store(&standin, argv[1]))
		return 1;
	for (int i = 2; i < argc; i++) {
		if (!add_server(&standin, argv[i]))
			return 1;
	}
	timer_subscribe(&standin.loop.timers, standin.loop.now_us, TICK_MS * US_PER_MS, on_tick,
			&standin);
	printf("ready\n");
	fflush(stdout);
	net_loop_run(&standin.loop);
	return 0;
}
