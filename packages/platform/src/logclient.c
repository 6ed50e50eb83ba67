#include "logclient.h"

#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <string.h>

#include "transfer.h"

enum {
	READ_MAX_RECORDS = 1000,
	READ_MARGIN_MS = 2000, /* time to transfer an answer, beyond the time to connect and the
				  service's delay */
	MAX_CONCURRENT_APPENDS = 64,
	IDLE_WAIT_MS = 60000,
	MAX_BACKOFF_DOUBLINGS = 4 /* the longest pause is 2^4 times the first, +-25% */
};

/* A followed stream. Used by the client's thread only. */
struct reader {
	char *stream;
	uint64_t next;
	bool caught_up;
	bool last_read_failed;
	int64_t max_records;
	unsigned consecutive_failures;
	int64_t resume_us;	   /* earliest time of the next read */
	struct transfer *transfer; /* read in progress, or NULL */
};

/* An append from its request to its callback. */
struct append {
	char *stream;
	char *data;
	size_t length;
	uint64_t request;
	int64_t deadline_us;
	struct transfer *transfer;
};

/* A request of another thread to the client's thread. Exactly one of the fields is not NULL. */
struct command {
	struct append *append;
	char *follow_stream;
};

struct log_client {
	char *url;
	struct log_limits limits;
	struct log_callbacks callbacks;
	CURLM *multi;
	pthread_t thread;
	pthread_mutex_t lock; /* protects the next two fields */
	GQueue commands;
	bool stopping;
	/* The following fields are used by the client's thread only. */
	GPtrArray *readers;
	GQueue waiting_appends; /* appends beyond MAX_CONCURRENT_APPENDS */
	GPtrArray *running_appends;
	int available; /* 1 or 0 as last reported; -1 before the first report */
};

static int64_t now_us(void)
{
	return g_get_monotonic_time();
}

static void update_availability(struct log_client *client)
{
	int available = 1;

	for (guint i = 0; i < client->readers->len; i++) {
		const struct reader *reader = g_ptr_array_index(client->readers, i);

		if (reader->last_read_failed)
			available = 0;
	}
	if (client->available == available)
		return;
	client->available = available;
	client->callbacks.on_availability_changed(client->callbacks.context, available);
}

/* Pauses a reader after a failure. The pause doubles with each failure, and a random variation of
 * up to 25% prevents all clients from retrying at the same time after an outage. */
static void back_off(struct log_client *client, struct reader *reader)
{
	unsigned doublings = MIN(reader->consecutive_failures, MAX_BACKOFF_DOUBLINGS);
	int64_t pause_us = (client->limits.retry_ms * 1000) << doublings;

	pause_us = (int64_t)((double)pause_us * g_random_double_range(0.75, 1.25));
	reader->resume_us = now_us() + pause_us;
	reader->consecutive_failures++;
	reader->last_read_failed = true;
	reader->caught_up = false;
	update_availability(client);
}

static void start_read(struct log_client *client, struct reader *reader)
{
	/* Until the end of the stream is reached, the service must answer immediately, so that
	 * on_caught_up is not delayed. */
	int64_t wait_ms = reader->caught_up ? client->limits.poll_ms : 0;
	char *url = g_strdup_printf("%s/streams/%s/records?from=%llu&max=%lld&wait_ms=%lld",
				    client->url, reader->stream, (unsigned long long)reader->next,
				    (long long)reader->max_records, (long long)wait_ms);

	reader->transfer = transfer_new(url, reader);
	transfer_set_timeouts(reader->transfer, client->limits.connect_ms,
			      client->limits.connect_ms + wait_ms + READ_MARGIN_MS);
	/* An existing connection may be dead although a new one would work. */
	if (reader->last_read_failed)
		transfer_use_new_connection(reader->transfer);
	transfer_start(reader->transfer, client->multi);
	g_free(url);
}

static bool get_integer(const json_t *object, const char *key, int64_t *number)
{
	const json_t *value = json_object_get(object, key);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return false;
	*number = json_integer_value(value);
	return true;
}

/* Delivers one record. Returns false when it is malformed or not the next one. */
static bool deliver_record(struct log_client *client, struct reader *reader, const json_t *item)
{
	const json_t *data = json_object_get(item, "data");
	struct log_record record = {0};
	int64_t offset;

	if (!get_integer(item, "offset", &offset) || (uint64_t)offset != reader->next ||
	    !get_integer(item, "time_ms", &record.time_ms) || !json_is_string(data))
		return false;
	record.offset = (uint64_t)offset;
	record.data = json_string_value(data);
	record.length = json_string_length(data);
	reader->next++;
	client->callbacks.on_record(client->callbacks.context, reader->stream, &record);
	return true;
}

/* Delivers the records of an answer. Returns false when the answer is invalid, or when the end of
 * the stream that it states is below reader->next. */
static bool process_answer(struct log_client *client, struct reader *reader, const json_t *answer)
{
	const json_t *records = json_object_get(answer, "records");
	int64_t first;
	int64_t next;
	size_t index;
	json_t *item;

	if (!get_integer(answer, "first", &first) || !get_integer(answer, "next", &next) ||
	    !json_is_array(records) || (uint64_t)next < reader->next)
		return false;
	if ((uint64_t)first > reader->next) {
		reader->next = (uint64_t)first;
		client->callbacks.on_truncated(client->callbacks.context, reader->stream,
					       (uint64_t)first);
	}
	json_array_foreach ((json_t *)records, index, item) {
		if (!deliver_record(client, reader, item))
			return false;
	}
	reader->last_read_failed = false;
	reader->consecutive_failures = 0;
	update_availability(client);
	if (!reader->caught_up && reader->next >= (uint64_t)next) {
		reader->caught_up = true;
		client->callbacks.on_caught_up(client->callbacks.context, reader->stream,
					       reader->next);
	}
	return true;
}

static void finish_read(struct log_client *client, struct reader *reader, CURLcode code)
{
	struct transfer *transfer = reader->transfer;
	json_t *answer = NULL;

	if (transfer_response_too_large(transfer) && reader->max_records > 1)
		reader->max_records /= 2;
	if (code == CURLE_OK && transfer_http_code(transfer) == 200)
		answer = json_loadb(transfer->body->str, transfer->body->len, JSON_ALLOW_NUL, NULL);
	reader->transfer = NULL;
	transfer_free(transfer, client->multi);
	if (!answer || !process_answer(client, reader, answer))
		back_off(client, reader);
	json_decref(answer);
}

static void free_append(struct append *append)
{
	g_free(append->stream);
	g_free(append->data);
	g_free(append);
}

static void complete_append(struct log_client *client, struct append *append, uint64_t offset,
			    const struct error *err)
{
	client->callbacks.on_appended(client->callbacks.context, append->request, offset, err);
	free_append(append);
}

static void fail_unsent_append(struct log_client *client, struct append *append, const char *reason)
{
	struct error err;

	error_set(&err, STATUS_LOG_UNAVAILABLE, "append to %s not sent: %s", append->stream,
		  reason);
	complete_append(client, append, 0, &err);
}

static void start_append(struct log_client *client, struct append *append)
{
	int64_t remaining_ms = (append->deadline_us - now_us()) / 1000;
	char *url;

	if (remaining_ms <= 0) {
		fail_unsent_append(client, append, "time limit reached");
		return;
	}
	url = g_strdup_printf("%s/streams/%s/records", client->url, append->stream);
	append->transfer = transfer_new(url, append);
	transfer_set_post(append->transfer, append->data, append->length);
	/* libcurl repeats a request when a reused connection is closed before any answer, but not
	 * on a new connection. As a further safeguard, the transfer aborts a repeated POST. */
	transfer_use_new_connection(append->transfer);
	transfer_set_timeouts(append->transfer, MIN(client->limits.connect_ms, remaining_ms),
			      remaining_ms);
	transfer_start(append->transfer, client->multi);
	g_ptr_array_add(client->running_appends, append);
	g_free(url);
}

static void start_waiting_appends(struct log_client *client)
{
	while (client->running_appends->len < MAX_CONCURRENT_APPENDS &&
	       !g_queue_is_empty(&client->waiting_appends))
		start_append(client, g_queue_pop_head(&client->waiting_appends));
}

static enum status parse_append_answer(const struct transfer *transfer, CURLcode code,
				       uint64_t *offset, struct error *err)
{
	long http_code = transfer_http_code(transfer);
	json_t *answer;
	int64_t number;
	bool valid;

	if (code != CURLE_OK && !transfer_may_have_been_sent(transfer))
		return error_set(err, STATUS_LOG_UNAVAILABLE, "append not sent: %s",
				 curl_easy_strerror(code));
	if (code != CURLE_OK)
		return error_set_unknown(err, STATUS_LOG_UNAVAILABLE, "no answer to an append: %s",
					 curl_easy_strerror(code));
	if (http_code != 200 && http_code != 201)
		return error_set_unknown(err, STATUS_LOG_UNAVAILABLE,
					 "append failed with HTTP status %ld", http_code);
	answer = json_loadb(transfer->body->str, transfer->body->len, 0, NULL);
	valid = get_integer(answer, "offset", &number);
	json_decref(answer);
	if (!valid)
		return error_set_unknown(err, STATUS_LOG_UNAVAILABLE,
					 "answer to an append contains no offset");
	*offset = (uint64_t)number;
	return error_set(err, STATUS_OK, "appended");
}

static void finish_append(struct log_client *client, struct append *append, CURLcode code)
{
	uint64_t offset = 0;
	struct error err;

	parse_append_answer(append->transfer, code, &offset, &err);
	transfer_free(append->transfer, client->multi);
	g_ptr_array_remove_fast(client->running_appends, append);
	complete_append(client, append, offset, &err);
	start_waiting_appends(client);
}

static void finish_transfers(struct log_client *client)
{
	CURLMsg *message;
	int remaining;

	while ((message = curl_multi_info_read(client->multi, &remaining)) != NULL) {
		CURLcode code = message->data.result;
		struct transfer *transfer = transfer_from_handle(message->easy_handle);

		if (transfer_is_post(transfer))
			finish_append(client, transfer->owner, code);
		else
			finish_read(client, transfer->owner, code);
	}
}

/* Removes and returns the oldest command, or returns NULL. Sets *STOPPING to whether the client is
 * to stop. */
static struct command *pop_command(struct log_client *client, bool *stopping)
{
	struct command *command;

	pthread_mutex_lock(&client->lock);
	command = g_queue_pop_head(&client->commands);
	*stopping = client->stopping;
	pthread_mutex_unlock(&client->lock);
	return command;
}

/* Processes the commands of other threads. Returns whether the client is to stop. */
static bool process_commands(struct log_client *client)
{
	struct command *command;
	bool stopping;

	while ((command = pop_command(client, &stopping)) != NULL) {
		if (command->append) {
			g_queue_push_tail(&client->waiting_appends, command->append);
		} else {
			struct reader *reader = g_new0(struct reader, 1);

			reader->stream = command->follow_stream;
			reader->max_records = READ_MAX_RECORDS;
			g_ptr_array_add(client->readers, reader);
		}
		g_free(command);
	}
	return stopping;
}

/* Starts the reads that are due. Returns the time until the next one, in ms. */
static int start_reads(struct log_client *client)
{
	int64_t now = now_us();
	int64_t wait_us = (int64_t)IDLE_WAIT_MS * 1000;

	for (guint i = 0; i < client->readers->len; i++) {
		struct reader *reader = g_ptr_array_index(client->readers, i);

		if (reader->transfer)
			continue;
		if (reader->resume_us <= now)
			start_read(client, reader);
		else
			wait_us = MIN(wait_us, reader->resume_us - now);
	}
	return (int)(wait_us / 1000) + 1;
}

/* Cancels the reads, fails the appends that were not started yet, and waits for those in progress,
 * each of which has its own time limit. */
static void shut_down(struct log_client *client)
{
	struct append *append;
	int running;

	for (guint i = 0; i < client->readers->len; i++) {
		struct reader *reader = g_ptr_array_index(client->readers, i);

		if (reader->transfer)
			transfer_free(reader->transfer, client->multi);
		g_free(reader->stream);
		g_free(reader);
	}
	g_ptr_array_set_size(client->readers, 0);
	while ((append = g_queue_pop_head(&client->waiting_appends)) != NULL)
		fail_unsent_append(client, append, "the client is stopping");
	while (client->running_appends->len > 0) {
		curl_multi_poll(client->multi, NULL, 0, IDLE_WAIT_MS, NULL);
		curl_multi_perform(client->multi, &running);
		finish_transfers(client);
	}
}

static void *client_thread(void *data)
{
	struct log_client *client = data;
	int running;

	while (!process_commands(client)) {
		int wait_ms;

		start_waiting_appends(client);
		curl_multi_perform(client->multi, &running);
		finish_transfers(client);
		/* Transfers added here make curl_multi_poll return at once. */
		wait_ms = start_reads(client);
		curl_multi_poll(client->multi, NULL, 0, wait_ms, NULL);
	}
	shut_down(client);
	return NULL;
}

static void free_client(struct log_client *client)
{
	curl_multi_cleanup(client->multi);
	pthread_mutex_destroy(&client->lock);
	g_ptr_array_free(client->readers, TRUE);
	g_ptr_array_free(client->running_appends, TRUE);
	g_free(client->url);
	g_free(client);
}

enum status logclient_new(const char *url, const struct log_limits *limits,
			  const struct log_callbacks *callbacks, struct log_client **client,
			  struct error *err)
{
	static gsize initialised;
	struct log_client *new_client;
	int rc = ENOMEM;

	if (g_once_init_enter(&initialised)) {
		curl_global_init(CURL_GLOBAL_DEFAULT);
		g_once_init_leave(&initialised, 1);
	}
	new_client = g_new0(struct log_client, 1);
	new_client->url = g_strdup(url);
	if (g_str_has_suffix(new_client->url, "/"))
		new_client->url[strlen(new_client->url) - 1] = '\0';
	new_client->limits = *limits;
	new_client->callbacks = *callbacks;
	new_client->available = -1;
	new_client->multi = curl_multi_init();
	pthread_mutex_init(&new_client->lock, NULL);
	g_queue_init(&new_client->commands);
	new_client->readers = g_ptr_array_new();
	new_client->running_appends = g_ptr_array_new();
	g_queue_init(&new_client->waiting_appends);
	if (new_client->multi)
		rc = pthread_create(&new_client->thread, NULL, client_thread, new_client);
	if (rc != 0) {
		free_client(new_client);
		return error_set(err, STATUS_RESOURCE, "cannot start the log client: %s",
				 g_strerror(rc));
	}
	*client = new_client;
	return STATUS_OK;
}

void logclient_free(struct log_client *client)
{
	pthread_mutex_lock(&client->lock);
	client->stopping = true;
	pthread_mutex_unlock(&client->lock);
	curl_multi_wakeup(client->multi);
	pthread_join(client->thread, NULL);
	free_client(client);
}

static void send_command(struct log_client *client, struct command command)
{
	pthread_mutex_lock(&client->lock);
	g_queue_push_tail(&client->commands, g_memdup2(&command, sizeof(command)));
	pthread_mutex_unlock(&client->lock);
	curl_multi_wakeup(client->multi);
}

void logclient_follow(struct log_client *client, const char *stream)
{
	send_command(client, (struct command){.follow_stream = g_strdup(stream)});
}

void logclient_append(struct log_client *client, const char *stream, const char *data,
		      size_t length, uint64_t request)
{
	struct append *append = g_new0(struct append, 1);

	append->stream = g_strdup(stream);
	append->data = g_memdup2(data, length);
	append->length = length;
	append->request = request;
	append->deadline_us = now_us() + client->limits.append_ms * 1000;
	send_command(client, (struct command){.append = append});
}
