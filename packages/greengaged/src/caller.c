#include "caller.h"

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core_defs.h"
#include "timer.h"

enum {
	MAX_POLL_MS = 60000,	    /* a message in a mailbox ends the wait earlier */
	KEEP_ALIVE_MARGIN_MS = 500, /* for a request's transit and the server's timer error */
	MS_PER_SECOND = 1000,
	HEADER_LINE_BYTES = 80,
	INITIAL_RESULT_CAPACITY = 256,
};

enum command_kind {
	COMMAND_SET_SERVER,
	COMMAND_STOP,
};

/* A command to the thread, sent through a mailbox separate from that of the tasks. */
struct command {
	struct mailbox_node node; /* must be the first member */
	enum command_kind kind;
	char *url;
	struct caller_server server;
};

/* A libcurl easy handle and the task that it executes. Finished calls are kept for reuse. */
struct call {
	CURL *easy;
	struct curl_slist *headers;
	struct caller *caller;
	struct caller_task *task;
	unsigned send_count; /* how often libcurl was about to send the request */
	bool result_too_large;
	size_t result_capacity;
	int64_t start_us;
	struct call *next;
};

struct caller {
	struct caller_limits limits;
	struct mailbox *results;
	struct mailbox submitted_tasks;
	struct mailbox commands;
	pthread_t thread;

	/* Until the thread has ended, only the thread uses the following fields. */
	CURLM *multi;
	char *url;
	struct caller_server server;
	struct call *idle_calls;
	GPtrArray *all_calls; /* idle and active */
	GQueue queued_tasks;
	uint32_t active_calls;
	bool stopping;
};

void caller_task_free(struct caller_task *task)
{
	if (!task)
		return;
	free(task->body);
	free(task->result);
	free(task);
}

static void complete_task(struct caller *caller, struct caller_task *task, enum status status,
			  bool not_started, const char *reason)
{
	task->status = status;
	task->not_started = not_started;
	g_strlcpy(task->reason, reason, sizeof(task->reason));
	if (status != STATUS_OK) {
		g_clear_pointer(&task->result, free);
		task->result_bytes = 0;
	}
	mailbox_send(caller->results, &task->node);
}

/*
 * Prevents libcurl from sending a request twice. libcurl calls this function whenever it is about
 * to send a request, and does so again after a reused connection has ended before the first byte of
 * the response. The server may already have executed the first request.
 */
static int on_before_send(void *context, char *peer, char *local, int peer_port, int local_port)
{
	struct call *call = context;

	return ++call->send_count > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static size_t on_response_body(char *data, size_t size, size_t count, void *context)
{
	struct call *call = context;
	struct caller_task *task = call->task;
	size_t bytes = size * count;
	size_t needed = task->result_bytes + bytes;

	if (needed > (size_t)call->caller->limits.max_result_bytes) {
		call->result_too_large = true;
		return 0;
	}
	if (needed > call->result_capacity) {
		call->result_capacity =
			MAX(needed, MAX(INITIAL_RESULT_CAPACITY, call->result_capacity * 2));
		task->result = g_realloc(task->result, call->result_capacity);
	}
	memcpy(task->result + task->result_bytes, data, bytes);
	task->result_bytes = needed;
	return bytes;
}

static struct call *call_new(struct caller *caller)
{
	struct call *call = g_new0(struct call, 1);

	call->caller = caller;
	call->easy = curl_easy_init();
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(call->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(call->easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(call->easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(call->easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(call->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)caller->limits.connect_ms);
	curl_easy_setopt(call->easy, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(call->easy, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_response_body);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	g_ptr_array_add(caller->all_calls, call);
	return call;
}

static void call_free(void *item)
{
	struct call *call = item;

	if (call->task)
		curl_multi_remove_handle(call->caller->multi, call->easy);
	caller_task_free(call->task);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	g_free(call);
}

static void set_headers(struct call *call)
{
	char job[IDENT_HEX_BYTES];
	char line[HEADER_LINE_BYTES];

	curl_slist_free_all(call->headers);
	call->headers = curl_slist_append(NULL, "Content-Type: application/json");
	/* libcurl would otherwise wait for "100 Continue" before it sends a large body. */
	call->headers = curl_slist_append(call->headers, "Expect:");
	snprintf(line, sizeof(line), "Greengage-Job: %s", ident_format(&call->task->job, job));
	call->headers = curl_slist_append(call->headers, line);
	snprintf(line, sizeof(line), "Greengage-Task: %u", call->task->task_index);
	call->headers = curl_slist_append(call->headers, line);
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
}

/*
 * Prevents the reuse of an idle connection that the server may be closing. CURLOPT_MAXAGE_CONN
 * counts whole seconds: with N, libcurl drops a connection only after it was idle for N + 1
 * seconds. N is therefore one second less than the usable time. */
static void limit_connection_reuse(struct call *call)
{
	long usable_ms = (long)call->caller->server.keep_alive_ms - KEEP_ALIVE_MARGIN_MS;
	long seconds = usable_ms / MS_PER_SECOND - 1;

	curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, seconds < 0 ? 1L : 0L);
	curl_easy_setopt(call->easy, CURLOPT_MAXAGE_CONN, MAX(seconds, 0));
}

static void call_start(struct caller *caller, struct caller_task *task)
{
	struct call *call = caller->idle_calls;

	if (call)
		caller->idle_calls = call->next;
	else
		call = call_new(caller);
	call->task = task;
	call->send_count = 0;
	call->result_too_large = false;
	call->result_capacity = 0;
	call->start_us = timer_clock_us();
	set_headers(call);
	limit_connection_reuse(call);
	curl_easy_setopt(call->easy, CURLOPT_URL, caller->url);
	curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, (long)task->timeout_ms);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, task->body);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)task->body_bytes);
	caller->active_calls++;
	curl_multi_add_handle(caller->multi, call->easy);
}

static bool result_is_json(const struct caller_task *task)
{
	json_t *value = json_loadb(task->result ? task->result : "", task->result_bytes,
				   JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);

	json_decref(value);
	return value != NULL;
}

/* Completes the task of a transfer that failed. */
static void complete_failed_transfer(struct call *call, CURLcode code)
{
	struct caller_task *task = call->task;

	if (call->send_count == 0)
		complete_task(call->caller, task, STATUS_SERVER_UNREACHABLE, true,
			      curl_easy_strerror(code));
	else if (call->send_count > 1)
		complete_task(call->caller, task, STATUS_TASK_FAILED, false,
			      "connection closed before the answer");
	else if (call->result_too_large)
		complete_task(call->caller, task, STATUS_RESULT_TOO_LARGE, false,
			      "answer above the size limit");
	else if (code == CURLE_OPERATION_TIMEDOUT)
		complete_task(call->caller, task, STATUS_TIMEOUT, false,
			      "no answer within the limit");
	else
		complete_task(call->caller, task, STATUS_TASK_FAILED, false,
			      curl_easy_strerror(code));
}

/* Completes the task of a transfer that received a complete response. */
static void complete_response(struct call *call)
{
	struct caller_task *task = call->task;
	char reason[CALLER_REASON_BYTES];
	struct curl_header *header;
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status == 503 &&
	    curl_easy_header(call->easy, "Greengage-Not-Run", 0, CURLH_HEADER, -1, &header) ==
		    CURLHE_OK &&
	    strcmp(header->value, "1") == 0) {
		complete_task(call->caller, task, STATUS_SERVER_REFUSED, true,
			      "refused by the server");
		return;
	}
	if (status < 200 || status > 299) {
		snprintf(reason, sizeof(reason), "status %ld", status);
		complete_task(call->caller, task, STATUS_TASK_FAILED, false, reason);
		return;
	}
	if (!result_is_json(task)) {
		complete_task(call->caller, task, STATUS_INVALID_RESULT, false,
			      "answer is not JSON");
		return;
	}
	complete_task(call->caller, task, STATUS_OK, false, "");
}

static void call_finish(struct call *call, CURLcode code)
{
	struct caller *caller = call->caller;

	call->task->run_us = timer_clock_us() - call->start_us;
	curl_multi_remove_handle(caller->multi, call->easy);
	if (code == CURLE_OK)
		complete_response(call);
	else
		complete_failed_transfer(call, code);
	call->task = NULL;
	call->next = caller->idle_calls;
	caller->idle_calls = call;
	caller->active_calls--;
}

static void process_finished_transfers(struct caller *caller)
{
	CURLMsg *message;
	int remaining;

	while ((message = curl_multi_info_read(caller->multi, &remaining))) {
		struct call *call = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		call_finish(call, message->data.result);
	}
}

static void apply_server_settings(struct caller *caller, struct command *command)
{
	long connections = MAX(command->server.connections, 1);

	g_free(caller->url);
	caller->url = g_steal_pointer(&command->url);
	caller->server = command->server;
	caller->server.url = caller->url;
	curl_multi_setopt(caller->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, connections);
	curl_multi_setopt(caller->multi, CURLMOPT_MAXCONNECTS, connections);
}

static void apply_commands(struct caller *caller)
{
	struct command *command;

	while ((command = (struct command *)mailbox_take(&caller->commands))) {
		if (command->kind == COMMAND_STOP)
			caller->stopping = true;
		else
			apply_server_settings(caller, command);
		g_free(command->url);
		g_free(command);
	}
}

static void start_queued_tasks(struct caller *caller)
{
	struct caller_task *task;

	while ((task = (struct caller_task *)mailbox_take(&caller->submitted_tasks)))
		g_queue_push_tail(&caller->queued_tasks, task);
	while (caller->active_calls < MIN(caller->server.slots, caller->server.connections)) {
		task = g_queue_pop_head(&caller->queued_tasks);
		if (!task)
			return;
		call_start(caller, task);
	}
}

static void wait_for_events(struct caller *caller)
{
	struct curl_waitfd mailbox_fds[] = {
		{.fd = mailbox_fd(&caller->submitted_tasks), .events = CURL_WAIT_POLLIN},
		{.fd = mailbox_fd(&caller->commands), .events = CURL_WAIT_POLLIN},
	};
	bool tasks_empty = mailbox_arm(&caller->submitted_tasks);
	bool commands_empty = mailbox_arm(&caller->commands);

	if (tasks_empty && commands_empty)
		curl_multi_poll(caller->multi, mailbox_fds, G_N_ELEMENTS(mailbox_fds), MAX_POLL_MS,
				NULL);
	mailbox_disarm(&caller->submitted_tasks);
	mailbox_disarm(&caller->commands);
}

static void *caller_thread_run(void *context)
{
	struct caller *caller = context;
	int running;

	for (;;) {
		apply_commands(caller);
		if (caller->stopping)
			return NULL;
		start_queued_tasks(caller);
		curl_multi_perform(caller->multi, &running);
		process_finished_transfers(caller);
		/* A finished call may have freed a slot for a queued task. */
		if (caller->active_calls < MIN(caller->server.slots, caller->server.connections) &&
		    !g_queue_is_empty(&caller->queued_tasks))
			continue;
		wait_for_events(caller);
	}
}

static enum status start_thread(struct caller *caller, struct error *err)
{
	enum status status = mailbox_init(&caller->submitted_tasks, err);

	if (status != STATUS_OK)
		return status;
	status = mailbox_init(&caller->commands, err);
	if (status != STATUS_OK) {
		mailbox_free(&caller->submitted_tasks);
		return status;
	}
	if (pthread_create(&caller->thread, NULL, caller_thread_run, caller) == 0)
		return STATUS_OK;
	mailbox_free(&caller->submitted_tasks);
	mailbox_free(&caller->commands);
	return error_set(err, STATUS_RESOURCE,
			 "cannot create the thread that calls the backend server");
}

enum status caller_new(const struct caller_limits *limits, struct mailbox *results,
		       struct caller **caller, struct error *err)
{
	struct caller *self = g_new0(struct caller, 1);
	enum status status;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	self->limits = *limits;
	self->results = results;
	self->multi = curl_multi_init();
	self->all_calls = g_ptr_array_new_with_free_func(call_free);
	g_queue_init(&self->queued_tasks);
	status = start_thread(self, err);
	if (status == STATUS_OK) {
		*caller = self;
		return STATUS_OK;
	}
	g_ptr_array_free(self->all_calls, TRUE);
	curl_multi_cleanup(self->multi);
	g_free(self);
	return status;
}

void caller_free(struct caller *caller)
{
	struct command *stop = g_new0(struct command, 1);
	struct mailbox_node *node;

	stop->kind = COMMAND_STOP;
	mailbox_send(&caller->commands, &stop->node);
	pthread_join(caller->thread, NULL);
	g_ptr_array_free(caller->all_calls, TRUE);
	curl_multi_cleanup(caller->multi);
	while ((node = mailbox_take(&caller->submitted_tasks)))
		caller_task_free((struct caller_task *)node);
	while ((node = g_queue_pop_head(&caller->queued_tasks)))
		caller_task_free((struct caller_task *)node);
	mailbox_free(&caller->submitted_tasks);
	mailbox_free(&caller->commands);
	g_free(caller->url);
	g_free(caller);
}

void caller_set_server(struct caller *caller, const struct caller_server *server)
{
	struct command *command = g_new0(struct command, 1);

	command->kind = COMMAND_SET_SERVER;
	command->url = g_strdup(server->url);
	command->server = *server;
	mailbox_send(&caller->commands, &command->node);
}

void caller_submit(struct caller *caller, struct caller_task *task)
{
	mailbox_send(&caller->submitted_tasks, &task->node);
}
