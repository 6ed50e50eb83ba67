/* Structured logging of numbered events through GLib. */
#ifndef GG_EVENT_H
#define GG_EVENT_H

#include <stddef.h>
#include <stdint.h>

#include "event_defs.h"
#include "status.h"

enum event_field_type {
	EVENT_FIELD_INT,
	EVENT_FIELD_STRING,
};

/* A named value of an event. Names are in lower case, with words separated by underscores. */
struct event_field {
	const char *name;
	enum event_field_type type;
	int64_t int_value;
	const char *string_value; /* NULL is written as an empty string */
};

/* Initializers of an event_field: EV_I for an integer, EV_S for a string. */
#define EV_I(field_name, value)                                                                    \
	{                                                                                          \
		.name = (field_name), .type = EVENT_FIELD_INT, .int_value = (int64_t)(value)       \
	}
#define EV_S(field_name, value)                                                                    \
	{                                                                                          \
		.name = (field_name), .type = EVENT_FIELD_STRING, .string_value = (value)          \
	}

/* Logs an event with at least one field, for example
 * event_log(EVENT_X, EV_I("port", port), EV_S("host", host)). */
#define event_log(event, ...)                                                                      \
	event_log_fields((event), (const struct event_field[]){__VA_ARGS__},                       \
			 sizeof((const struct event_field[]){__VA_ARGS__}) /                       \
				 sizeof(struct event_field))

/* Logs EVENT with COUNT fields. May be called from any thread. */
void event_log_fields(enum event event, const struct event_field *fields, size_t count);

/* Logs EVENT with the fields "status" and "reason", which are the status and message of ERR. */
void event_log_error(enum event event, const struct error *err);

/*
 * Sets up logging to standard output: human-readable lines if it is a terminal, JSON lines
 * otherwise. Logging never blocks. Debug and info lines beyond 600 per second (with bursts of up to
 * 1200) are dropped, and so is every line that does not fit into the buffer because the reader is
 * too slow. The next line that is not dropped is normally followed by a LOG_DROPPED event with the
 * number of dropped lines. Each line contains PROCESS, which must stay valid. Events below LEVEL
 * ("debug", "info", "warning", "error") are not logged; any other LEVEL leaves the level unchanged,
 * which is "info" at first.
 */
void event_init(const char *process, const char *level);

/* Returns the number of lines dropped so far because of the rate limit or a full buffer. */
int64_t event_dropped_lines(void);

/* Writes the buffered lines. Gives up when standard output accepts no data for 100 ms. Call before
 * the process ends. */
void event_flush(void);

/* Return the number, the name of the constant, the name of the level and the message of EVENT. */
int event_number(enum event event);
const char *event_constant_name(enum event event);
const char *event_level_name(enum event event);
const char *event_message(enum event event);

#endif
