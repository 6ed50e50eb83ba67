/*
 * Stand-in for one backend server, in a process of its own: it sends heartbeats to its agent and
 * runs each task for a fixed time, under leases. Its steady clock does not count the time for which
 * its machine was suspended: from a SIGSTOP to the next SIGCONT.
 *
 * usage: backend_server ADDRESS AGENT_CONTROL_ADDRESS ID RUN_MS RECORD_FILE
 */
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "http_client.h"
#include "http_server.h"

enum {
	US_PER_MS = 1000,
	TICK_MS = 5,
	HEARTBEAT_MS = 1500,
	HEARTBEAT_TIMEOUT_MS = 1000,
	LEASE_MAX_MS = 1000, /* holdMaxMs */
	STOP_MS = 20,	     /* stopMs allows 50 */
	CPU = 32000,
	MEMORY_MB = 131072,
	TASK_CPU = 3100,
	MAX_LISTED_ENDS = 500,
	BODY_MAX_BYTES = 4 << 20,
	HEADER_MAX_BYTES = 16384,
	CONNECTION_TIMEOUT_MS = 60000
};

struct run {
	char *task;
	int64_t attempt;
	int64_t started_us; /* on the steady clock, as all times here */
	int64_t ends_us;
	int64_t stops_us; /* 0: no stop was requested */
};

struct pending_hold {
	struct http_request *request;
	int64_t until_us;
};

struct server {
	struct net_loop loop;
	struct http_server *http;
	struct http_client *agent;
	const char *address;
	const char *id;
	int64_t run_us;
	int record;
	GPtrArray *runs;
	GHashTable *highest_attempt; /* task -> highest attempt that was stopped or has ended */
	json_t *finished;
	int64_t last_end;
	GArray *holds;
	int64_t epoch;
	int64_t lease_until_us;
	int64_t started_ms;
	int64_t sequence;
	int64_t suspended_us; /* total time that the steady clock leaves out */
	int64_t alive_us;     /* when the process last ran, on the machine's monotonic clock */
	int64_t alive_wall_us;
};

static volatile sig_atomic_t resumed;

static void on_continue(int number)
{
	resumed = 1;
}

static int64_t wall_us(void)
{
	return g_get_real_time();
}

static int64_t steady_us(const struct server *server)
{
	return timer_clock_us() - server->suspended_us;
}

static void record(const struct server *server, int64_t at_us, const char *event, const char *task,
		   int64_t attempt)
{
	char *line = g_strdup_printf("%lld %s %s %s %lld\n", (long long)at_us, server->id, event,
				     task, (long long)attempt);

	if (write(server->record, line, strlen(line)) < 0)
		perror("backend_server: record");
	g_free(line);
}

/* Leaves the time of a suspension out of the steady clock. To be called before anything else is
 * done after a pause. */
static void account_suspension(struct server *server)
{
	if (resumed) {
		resumed = 0;
		server->suspended_us += timer_clock_us() - server->alive_us;
		record(server, server->alive_wall_us, "suspended", "-", 0);
		record(server, wall_us(), "resumed", "-", 0);
	}
	server->alive_us = timer_clock_us();
	server->alive_wall_us = wall_us();
}

static void on_iteration(void *context, int64_t now_us)
{
	account_suspension(context);
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

static void note_attempt(struct server *server, const char *task, int64_t attempt)
{
	if (GPOINTER_TO_INT(g_hash_table_lookup(server->highest_attempt, task)) < attempt)
		g_hash_table_replace(server->highest_attempt, g_strdup(task),
				     GINT_TO_POINTER((int)attempt));
}

static void end_run(struct server *server, struct run *run, const char *outcome)
{
	json_array_append_new(server->finished,
			      json_pack("[I,s,I,s,s]", (json_int_t)++server->last_end, run->task,
					(json_int_t)run->attempt, outcome, ""));
	record(server, wall_us(), outcome, run->task, run->attempt);
	note_attempt(server, run->task, run->attempt);
	g_ptr_array_remove_fast(server->runs, run);
	g_free(run->task);
	g_free(run);
}

static void end_due_runs(struct server *server)
{
	int64_t now_us = steady_us(server);

	for (guint i = server->runs->len; i-- > 0;) {
		struct run *run = server->runs->pdata[i];

		if (run->ends_us <= now_us)
			end_run(server, run, "done");
		else if (server->lease_until_us < now_us)
			end_run(server, run, "lapsed");
		else if (run->stops_us != 0 && run->stops_us <= now_us)
			end_run(server, run, "stopped");
	}
}

static json_t *clock_to_json(const struct server *server)
{
	return json_pack("{s:I, s:I}", "clockMs", (json_int_t)(steady_us(server) / US_PER_MS),
			 "born", (json_int_t)server->started_ms);
}

static void respond(struct http_request *request, int code, json_t *document)
{
	char *text = json_dumps(document, JSON_COMPACT);

	http_respond(request, code, NULL, text);
	free(text);
	json_decref(document);
}

static void refuse(const struct server *server, struct http_request *request, const char *reason)
{
	json_t *document = clock_to_json(server);

	json_object_set_new(document, "reason", json_string(reason));
	respond(request, 409, document);
}

static void extend_lease(struct server *server, const json_t *document)
{
	int64_t expires_us = json_integer_value(json_object_get(document, "expiresMs")) * US_PER_MS;
	int64_t latest_us = steady_us(server) + LEASE_MAX_MS * US_PER_MS;

	server->lease_until_us = MAX(server->lease_until_us, MIN(expires_us, latest_us));
}

/* Starts a run unless it is there already. Returns the reason of a refusal, or NULL. */
static const char *start_run(struct server *server, const json_t *document)
{
	const char *task = json_string_value(json_object_get(document, "task"));
	int64_t attempt = json_integer_value(json_object_get(document, "attempt"));
	int64_t expires_ms = json_integer_value(json_object_get(document, "expiresMs"));
	int64_t now_us = steady_us(server);
	struct run *run = find_run(server, task);

	if (run && run->attempt == attempt)
		return NULL;
	if (run || GPOINTER_TO_INT(g_hash_table_lookup(server->highest_attempt, task)) >= attempt) {
		extend_lease(server, document);
		return "old";
	}
	if (expires_ms * US_PER_MS < now_us)
		return "late";
	extend_lease(server, document);
	if ((server->runs->len + 1) * TASK_CPU > CPU)
		return "room";
	run = g_new0(struct run, 1);
	run->task = g_strdup(task);
	run->attempt = attempt;
	run->started_us = now_us;
	run->ends_us = now_us + server->run_us;
	g_ptr_array_add(server->runs, run);
	record(server, wall_us(), "start", task, attempt);
	return NULL;
}

static void stop_run(struct server *server, const json_t *document)
{
	const char *task = json_string_value(json_object_get(document, "task"));
	int64_t attempt = json_integer_value(json_object_get(document, "attempt"));
	struct run *run = find_run(server, task);

	if (run && run->attempt <= attempt && run->stops_us == 0)
		run->stops_us = steady_us(server) + (int64_t)STOP_MS * US_PER_MS;
	if (!run)
		note_attempt(server, task, attempt);
}

static void respond_lists(struct server *server, struct http_request *request)
{
	json_t *document = clock_to_json(server);
	json_t *running = json_array();
	json_t *finished = json_array();
	size_t i;
	json_t *row;

	for (guint j = 0; j < server->runs->len; j++) {
		const struct run *run = server->runs->pdata[j];
		int64_t percent = 100 * (steady_us(server) - run->started_us) /
				  MAX(run->ends_us - run->started_us, 1);

		json_array_append_new(running,
				      json_pack("[s,I,s,I,i]", run->task, (json_int_t)run->attempt,
						"", (json_int_t)percent, TASK_CPU));
	}
	json_array_foreach (server->finished, i, row) {
		if (i < MAX_LISTED_ENDS)
			json_array_append(finished, row);
	}
	json_object_set_new(document, "running", running);
	json_object_set_new(document, "finished", finished);
	respond(request, 200, document);
}

static void handle_hold(struct server *server, struct http_request *request, const json_t *document)
{
	int64_t wait_ms = json_integer_value(json_object_get(document, "waitMs"));
	int64_t acknowledged = json_integer_value(json_object_get(document, "ackCursor"));
	const struct pending_hold hold = {.request = request,
					  .until_us = steady_us(server) + wait_ms * US_PER_MS};

	if (json_object_get(document, "expiresMs"))
		extend_lease(server, document);
	while (json_array_size(server->finished) > 0 &&
	       json_integer_value(json_array_get(json_array_get(server->finished, 0), 0)) <=
		       acknowledged)
		json_array_remove(server->finished, 0);
	if (wait_ms > 0 && json_array_size(server->finished) == 0)
		g_array_append_val(server->holds, hold);
	else
		respond_lists(server, request);
}

static void respond_to_due_holds(struct server *server)
{
	for (guint i = server->holds->len; i-- > 0;) {
		struct pending_hold hold = g_array_index(server->holds, struct pending_hold, i);

		if (json_array_size(server->finished) == 0 && steady_us(server) < hold.until_us)
			continue;
		g_array_remove_index_fast(server->holds, i);
		respond_lists(server, hold.request);
	}
}

static void on_request(void *context, struct http_request *request)
{
	struct server *server = context;
	const char *path = http_request_path(request);
	const char *id = http_request_header(request, "X-Greengagefront-Expect-Instance");
	size_t length;
	const char *body = http_request_body(request, &length);
	json_t *document = json_loadb(body, length, 0, NULL);
	int64_t epoch = json_integer_value(json_object_get(document, "fence"));
	const char *reason = NULL;

	account_suspension(server);
	end_due_runs(server);
	if (!document) {
		http_respond(request, 400, NULL, "{}");
	} else if (id && strcmp(id, server->id) != 0) {
		respond(request, 421, clock_to_json(server));
	} else if (epoch < server->epoch) {
		refuse(server, request, "fence");
	} else if (g_str_has_suffix(path, "/hold")) {
		server->epoch = epoch;
		handle_hold(server, request, document);
	} else {
		server->epoch = epoch;
		if (g_str_has_suffix(path, "/run-start"))
			reason = start_run(server, document);
		else
			stop_run(server, document);
		if (reason)
			refuse(server, request, reason);
		else
			respond(request, 200, clock_to_json(server));
	}
	json_decref(document);
}

static void on_disconnected(void *context, struct http_request *request)
{
	struct server *server = context;

	for (guint i = server->holds->len; i-- > 0;) {
		if (g_array_index(server->holds, struct pending_hold, i).request == request)
			g_array_remove_index_fast(server->holds, i);
	}
}

static const struct http_server_callbacks callbacks = {
	.on_request = on_request,
	.on_disconnected = on_disconnected,
};

static void on_heartbeat_answered(void *context, const struct http_response *response)
{
}

static void send_heartbeat(void *context, int64_t now_us)
{
	struct server *server = context;
	char *path = g_strdup_printf("/greengagefront/instances/%s/heartbeat", server->id);
	json_t *document = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s,s], s:I}", "service",
		"svc", "addr", server->address, "zone", "a", "version", "v1", "slots", 8, "state",
		"ready", "coldLeftMs", 0, "capacity", "cpu", CPU, "memMb", MEMORY_MB, "gpu", 0,
		"labels", "a", "r1-1", "seq", (json_int_t)++server->sequence);
	json_t *clock = clock_to_json(server);
	char *body;

	account_suspension(server);
	json_object_update(document, clock);
	body = json_dumps(document, JSON_COMPACT);
	http_client_call(server->agent, &(struct http_call){
						.method = "POST",
						.path = path,
						.body = body,
						.length = strlen(body),
						.timeout_ms = HEARTBEAT_TIMEOUT_MS,
						.callback = on_heartbeat_answered,
						.context = server,
					});
	json_decref(clock);
	json_decref(document);
	free(body);
	g_free(path);
}

static void on_tick(void *context, int64_t now_us)
{
	struct server *server = context;

	account_suspension(server);
	end_due_runs(server);
	respond_to_due_holds(server);
}

int main(int argc, char **argv)
{
	static struct server server;
	const struct http_server_options options = {
		.header_max_bytes = HEADER_MAX_BYTES,
		.body_max_bytes = BODY_MAX_BYTES,
		.request_limit_ms = CONNECTION_TIMEOUT_MS,
		.idle_limit_ms = CONNECTION_TIMEOUT_MS,
	};
	struct sigaction action = {.sa_handler = on_continue};
	struct error err;

	if (argc != 6) {
		fprintf(stderr, "usage: backend_server ADDRESS CONTROL ID RUN_MS RECORD\n");
		return 2;
	}
	server.address = argv[1];
	server.id = argv[3];
	server.run_us = g_ascii_strtoll(argv[4], NULL, 10) * US_PER_MS;
	server.record = open(argv[5], O_WRONLY | O_APPEND | O_CREAT, 0644);
	server.started_ms = timer_wall_ms();
	server.runs = g_ptr_array_new();
	server.highest_attempt = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	server.finished = json_array();
	server.holds = g_array_new(FALSE, FALSE, sizeof(struct pending_hold));
	sigaction(SIGCONT, &action, NULL);
	(void)signal(SIGPIPE, SIG_IGN);
	net_loop_init(&server.loop);
	server.loop.on_iteration = on_iteration;
	server.loop.iteration_context = &server;
	account_suspension(&server);
	server.agent = http_client_new(
		&server.loop,
		&(struct http_client_options){.address = argv[2],
					      .max_connections = 1,
					      .idle_limit_ms = CONNECTION_TIMEOUT_MS,
					      .response_max_bytes = HEADER_MAX_BYTES});
	if (http_server_listen(&server.loop, argv[1], &options, &callbacks, &server, &server.http,
			       &err) != STATUS_OK) {
		fprintf(stderr, "backend_server: %s\n", err.message);
		return 1;
	}
	timer_subscribe(&server.loop.timers, server.loop.now_us, HEARTBEAT_MS * US_PER_MS,
			send_heartbeat, &server);
	timer_subscribe(&server.loop.timers, server.loop.now_us, TICK_MS * US_PER_MS, on_tick,
			&server);
	net_loop_run(&server.loop);
	return 0;
}
