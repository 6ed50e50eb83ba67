/* The body of a submitted job: validated JSON text, kept as received, with the position of each
 * task in it. */
#ifndef GG_ENTRY_BODY_H
#define GG_ENTRY_BODY_H

#include <stddef.h>
#include <stdint.h>

#include "core_defs.h"
#include "ident.h"
#include "status.h"

/* Position of a part of the body text, in bytes. */
struct body_slice {
	uint32_t offset;
	uint32_t length;
};

struct job_body {
	char *text; /* as received, NUL-terminated */
	size_t length;
	struct ident digest; /* digest of text */
	char class_name[NAME_BYTES];
	char team[NAME_BYTES];
	int64_t run_ms;	     /* expected run time of one task, 0 if absent */
	int64_t deadline_ms; /* 0 if absent */
	uint32_t task_count;
	struct body_slice *tasks; /* task_count items, in the order of the array "tasks" */
};

/*
 * Parses and validates the LENGTH bytes at TEXT. On success, stores the result at BODY; free it
 * with entry_body_free. TEXT must have been allocated with malloc; the function takes ownership of
 * it, also on failure. Returns STATUS_INVALID_JSON, STATUS_INVALID_REQUEST (the message names the
 * field) or STATUS_TOO_MANY_TASKS, all with the outcome "not run".
 */
enum status entry_body_parse(char *text, size_t length, uint32_t max_tasks, struct job_body **body,
			     struct error *err);

/* Frees BODY, which may be NULL. */
void entry_body_free(struct job_body *body);

#endif
