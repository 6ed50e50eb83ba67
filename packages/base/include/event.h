/* Structured log of numbered events through GLib's logging. */
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

/* A named value of an event. Names are lower case with underscores. */
struct event_field {
	const char *name;
	enum event_field_type type;
	int64_t number;
	const char *text; /* NULL is written as an empty string */
};

#define EV_I(field_name, value)                                                                    \
	{                                                                                          \
		.name = (field_name), .type = EVENT_FIELD_INT, .number = (int64_t)(value)          \
	}
#define EV_S(field_name, value)                                                                    \
	{                                                                                          \
		.name = (field_name), .type = EVENT_FIELD_STRING, .text = (value)                  \
	}

/* event_log(EVENT_X, EV_I("port", port), EV_S("host", host)): logs an event with at least one
 * field. */
#define event_log(event, ...)                                                                      \
	event_log_fields((event), (const struct event_field[]){__VA_ARGS__},                       \
			 sizeof((const struct event_field[]){__VA_ARGS__}) /                       \
				 sizeof(struct event_field))

/* Logs EVENT with COUNT fields. May be called from any thread. */
void event_log_fields(enum event event, const struct event_field *fields, size_t count);

/* Logs EVENT with the status and message of ERR. */
void event_log_error(enum event event, const struct error *err);

/*
 * Installs the writer: human-readable lines when standard output is a terminal, JSON lines
 * otherwise. Writing never blocks: above 600 lines a second, or while the reader does not keep up,
 * lines are dropped, and a later line tells how many; warnings and errors are dropped last. PROCESS
 * is named in each line. Events below LEVEL ("debug", "info", "warning", "error") are dropped.
 */
void event_init(const char *process, const char *level);

/* Returns the number of lines dropped so far. */
int64_t event_dropped_lines(void);

/* Writes lines still in memory, waiting a tenth of a second at most. Call before the process ends.
 */
void event_flush(void);

/* Return the number, the constant's name, the level's name and the message of EVENT. */
int event_number(enum event event);
const char *event_constant_name(enum event event);
const char *event_level_name(enum event event);
const char *event_message(enum event event);

#endif
