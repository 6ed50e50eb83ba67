#include "entry_log.h"

#include <string.h>

#include "entry_claims.h"
#include "entry_config.h"
#include "event.h"

enum log_notice_kind {
	NOTICE_RECORD,
	NOTICE_TRUNCATED,
	NOTICE_APPEND_RESULT,
	NOTICE_CAUGHT_UP,
	NOTICE_AVAILABILITY,
};

enum log_stream {
	STREAM_CONFIG,
	STREAM_CLAIMS,
};

static const char *const stream_names[] = {"config", "claims"};

/* The arguments of a callback, with a copy of the record's data. */
struct log_notice {
	struct command command;
	enum log_notice_kind kind;
	enum log_stream stream;
	struct log_record record;
	uint64_t number; /* first retained offset of a truncation, or number of an append */
	bool available;
	struct error err;
	char data[];
};

static void set_availability(struct board *board, bool available)
{
	if (board->log_available == available)
		return;
	board->log_available = available;
	if (!available && !board->claims_stale_since_us)
		board->claims_stale_since_us = board->now_us;
	event_log(available ? EVENT_LOG_AVAILABLE : EVENT_LOG_UNAVAILABLE,
		  EV_S("url", board->settings->log_url));
}

static void handle_truncation(struct board *board, const struct log_notice *notice)
{
	if (notice->stream == STREAM_CONFIG)
		entry_config_handle_truncation(board, notice->number);
	event_log(EVENT_LOG_TRUNCATED, EV_S("stream", stream_names[notice->stream]),
		  EV_I("first", notice->number));
}

static void handle_log_notice(struct board *board, struct command *command)
{
	struct log_notice *notice = (struct log_notice *)command;

	switch (notice->kind) {
	case NOTICE_RECORD:
		if (notice->stream == STREAM_CONFIG)
			entry_config_apply_record(board, &notice->record);
		else
			entry_claims_apply_record(board, &notice->record);
		break;
	case NOTICE_TRUNCATED:
		handle_truncation(board, notice);
		break;
	case NOTICE_APPEND_RESULT:
		if (!entry_config_handle_append_result(board, notice->number, &notice->err))
			entry_claims_handle_append_result(board, notice->number, &notice->err);
		break;
	case NOTICE_CAUGHT_UP:
		if (notice->stream == STREAM_CLAIMS) {
			board->claims_synced = true;
			board->claims_stale_since_us = 0;
		}
		break;
	case NOTICE_AVAILABILITY:
		set_availability(board, notice->available);
		break;
	}
	g_free(notice);
}

static struct log_notice *new_notice(enum log_notice_kind kind, const char *stream,
				     size_t data_bytes)
{
	struct log_notice *notice = g_malloc0(sizeof(*notice) + data_bytes);

	notice->command.run = handle_log_notice;
	notice->kind = kind;
	notice->stream = stream && strcmp(stream, stream_names[STREAM_CLAIMS]) == 0 ? STREAM_CLAIMS
										    : STREAM_CONFIG;
	return notice;
}

static void send_to_dispatcher(struct board *board, struct log_notice *notice)
{
	mailbox_send(&board->mailbox, &notice->command.node);
}

static void on_record(void *context, const char *stream, const struct log_record *record)
{
	struct log_notice *notice = new_notice(NOTICE_RECORD, stream, record->length + 1);

	notice->record = *record;
	memcpy(notice->data, record->data, record->length);
	notice->record.data = notice->data;
	send_to_dispatcher(context, notice);
}

static void on_truncated(void *context, const char *stream, uint64_t first)
{
	struct log_notice *notice = new_notice(NOTICE_TRUNCATED, stream, 0);

	notice->number = first;
	send_to_dispatcher(context, notice);
}

static void on_appended(void *context, uint64_t request, uint64_t offset, const struct error *err)
{
	struct log_notice *notice = new_notice(NOTICE_APPEND_RESULT, NULL, 0);

	notice->number = request;
	if (err)
		notice->err = *err;
	send_to_dispatcher(context, notice);
}

static void on_caught_up(void *context, const char *stream, uint64_t next)
{
	send_to_dispatcher(context, new_notice(NOTICE_CAUGHT_UP, stream, 0));
}

static void on_availability_changed(void *context, bool available)
{
	struct log_notice *notice = new_notice(NOTICE_AVAILABILITY, NULL, 0);

	notice->available = available;
	send_to_dispatcher(context, notice);
}

enum status entry_log_start(struct board *board, struct error *err)
{
	const struct daemon_settings *settings = board->settings;
	const struct log_limits limits = {
		.connect_ms = settings->log_connect_ms,
		.append_ms = settings->log_append_ms,
		.poll_ms = settings->log_poll_ms,
		.retry_ms = settings->log_retry_ms,
	};
	const struct log_callbacks callbacks = {
		.context = board,
		.on_record = on_record,
		.on_truncated = on_truncated,
		.on_appended = on_appended,
		.on_caught_up = on_caught_up,
		.on_availability_changed = on_availability_changed,
	};

	if (!settings->log_url)
		return STATUS_OK;
	if (logclient_new(settings->log_url, &limits, &callbacks, &board->log, err) != STATUS_OK)
		return STATUS_RESOURCE;
	for (size_t i = 0; i < G_N_ELEMENTS(stream_names); i++)
		logclient_follow(board->log, stream_names[i]);
	return STATUS_OK;
}

void entry_log_stop(struct board *board)
{
	if (board->log)
		logclient_free(board->log);
	board->log = NULL;
}
