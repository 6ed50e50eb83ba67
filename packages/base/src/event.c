#include "event.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "event_writer.h"
#include "timer.h"

enum level {
	LEVEL_DEBUG,
	LEVEL_INFO,
	LEVEL_WARNING,
	LEVEL_ERROR,
	LEVEL_COUNT,
};

enum {
	FLUSH_TIMEOUT_MS = 100 /* event_flush gives up when no data is accepted for this long */
};

static const char *const level_names[LEVEL_COUNT] = {"debug", "info", "warning", "error"};

static const struct {
	int number;
	const char *constant;
	enum level level;
	const char *message;
} event_table[EVENT_COUNT] = {
#define EVENT_ROW(id, name, severity, text)                                                        \
	[EVENT_##name] = {                                                                         \
		.number = id, .constant = #name, .level = LEVEL_##severity, .message = text},
	EVENT_LIST(EVENT_ROW)
#undef EVENT_ROW
};

static const char *process_name = "greengage";
static enum level min_level = LEVEL_INFO;
static bool human_readable;

int event_number(enum event event)
{
	return event_table[event].number;
}

const char *event_constant_name(enum event event)
{
	return event_table[event].constant;
}

const char *event_level_name(enum event event)
{
	return level_names[event_table[event].level];
}

const char *event_message(enum event event)
{
	return event_table[event].message;
}

/* G_LOG_LEVEL_ERROR aborts the process, so events of level "error" use G_LOG_LEVEL_CRITICAL. */
static GLogLevelFlags glib_level(enum level level)
{
	static const GLogLevelFlags flags[LEVEL_COUNT] = {
		[LEVEL_DEBUG] = G_LOG_LEVEL_DEBUG,
		[LEVEL_INFO] = G_LOG_LEVEL_INFO,
		[LEVEL_WARNING] = G_LOG_LEVEL_WARNING,
		[LEVEL_ERROR] = G_LOG_LEVEL_CRITICAL,
	};
	return flags[level];
}

static char *format_json(enum event event, const struct event_field *fields, size_t count)
{
	json_t *line = json_object();
	char *text;

	json_object_set_new(line, "time_ms", json_integer(timer_wall_ms()));
	json_object_set_new(line, "process", json_string(process_name));
	json_object_set_new(line, "event", json_integer(event_number(event)));
	json_object_set_new(line, "level", json_string(event_level_name(event)));
	json_object_set_new(line, "message", json_string(event_message(event)));
	for (size_t i = 0; i < count; i++) {
		const char *value = fields[i].string_value ? fields[i].string_value : "";
		json_t *item = fields[i].type == EVENT_FIELD_INT ? json_integer(fields[i].int_value)
								 : json_string(value);

		/* json_string returns NULL for text that is not valid UTF-8. */
		json_object_set_new(line, fields[i].name, item ? item : json_null());
	}
	text = json_dumps(line, JSON_COMPACT);
	json_decref(line);
	return text;
}

static char *format_human(enum event event, const struct event_field *fields, size_t count)
{
	GString *line = g_string_new(NULL);
	GDateTime *now = g_date_time_new_now_local();
	char *timestamp = g_date_time_format(now, "%H:%M:%S.%f");

	g_string_printf(line, "%s %s %-7s %d %s", timestamp, process_name, event_level_name(event),
			event_number(event), event_message(event));
	for (size_t i = 0; i < count; i++) {
		if (fields[i].type == EVENT_FIELD_INT)
			g_string_append_printf(line, " %s=%lld", fields[i].name,
					       (long long)fields[i].int_value);
		else
			g_string_append_printf(line, " %s=\"%s\"", fields[i].name,
					       fields[i].string_value ? fields[i].string_value
								      : "");
	}
	g_free(timestamp);
	g_date_time_unref(now);
	return g_string_free(line, FALSE);
}

/* Queues LINE and, if lines were dropped before it, a LOG_DROPPED event with their number. */
static void queue_line(const char *line, bool bypass_rate_limit)
{
	int64_t now_us = timer_clock_us();
	int64_t dropped = event_writer_put(line, bypass_rate_limit, now_us);
	const struct event_field fields[] = {EV_I("lines", dropped)};
	char *notice;

	if (dropped <= 0)
		return;
	notice = human_readable ? format_human(EVENT_LOG_DROPPED, fields, G_N_ELEMENTS(fields))
				: format_json(EVENT_LOG_DROPPED, fields, G_N_ELEMENTS(fields));
	event_writer_put(notice, true, now_us);
	g_free(notice);
}

static GLogWriterOutput write_log_record(GLogLevelFlags flags, const GLogField *fields, gsize count,
					 gpointer data)
{
	bool bypass_rate_limit = (flags & (G_LOG_LEVEL_WARNING | G_LOG_LEVEL_CRITICAL)) != 0;

	for (gsize i = 0; i < count; i++) {
		if (strcmp(fields[i].key, "MESSAGE") == 0)
			queue_line(fields[i].value, bypass_rate_limit);
	}
	return G_LOG_WRITER_HANDLED;
}

int64_t event_dropped_lines(void)
{
	return event_writer_dropped_lines();
}

void event_flush(void)
{
	event_writer_flush(FLUSH_TIMEOUT_MS);
}

void event_init(const char *process, const char *level)
{
	process_name = process;
	human_readable = isatty(STDOUT_FILENO);
	for (int i = 0; i < LEVEL_COUNT; i++) {
		if (strcmp(level, level_names[i]) == 0)
			min_level = (enum level)i;
	}
	g_log_set_writer_func(write_log_record, NULL, NULL);
}

void event_log_fields(enum event event, const struct event_field *fields, size_t count)
{
	enum level level = event_table[event].level;
	char *line;

	if (level < min_level)
		return;
	if (human_readable)
		line = format_human(event, fields, count);
	else
		line = format_json(event, fields, count);
	GLogField glib_fields[] = {
		{.key = "MESSAGE", .value = line, .length = -1},
		{.key = "GLIB_DOMAIN", .value = G_LOG_DOMAIN, .length = -1},
	};
	g_log_structured_array(glib_level(level), glib_fields, G_N_ELEMENTS(glib_fields));
	g_free(line);
}

void event_log_error(enum event event, const struct error *err)
{
	event_log(event, EV_S("status", status_name(err->status)), EV_S("reason", err->message));
}
