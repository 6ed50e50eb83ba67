#include "status.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const struct {
	const char *name;
	int http;
} status_table[STATUS_COUNT] = {
#define STATUS_ROW(constant, text, code) [STATUS_##constant] = {.name = text, .http = code},
	STATUS_LIST(STATUS_ROW)
#undef STATUS_ROW
};

const char *status_name(enum status status)
{
	if ((unsigned)status >= STATUS_COUNT)
		return "internal";
	return status_table[status].name;
}

enum status status_from_name(const char *name)
{
	for (int i = 0; i < STATUS_COUNT; i++) {
		if (strcmp(status_table[i].name, name) == 0)
			return (enum status)i;
	}
	return STATUS_INTERNAL;
}

int status_http_code(enum status status)
{
	if ((unsigned)status >= STATUS_COUNT)
		return 500;
	return status_table[status].http;
}

const char *outcome_name(enum outcome outcome)
{
	return outcome == OUTCOME_NOT_RUN ? "not_run" : "unknown";
}

static void error_fill(struct error *err, enum status status, enum outcome outcome,
		       const char *format, va_list args)
{
	if (!err)
		return;
	err->status = status;
	err->outcome = outcome;
	vsnprintf(err->message, sizeof(err->message), format, args);
}

enum status error_set(struct error *err, enum status status, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	error_fill(err, status, OUTCOME_NOT_RUN, format, args);
	va_end(args);
	return status;
}

enum status error_set_unknown(struct error *err, enum status status, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	error_fill(err, status, OUTCOME_UNKNOWN, format, args);
	va_end(args);
	return status;
}
