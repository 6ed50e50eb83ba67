/* The body of a job: checked JSON, kept as received with the place of each task in it. */
#ifndef GG_ENTRY_BODY_H
#define GG_ENTRY_BODY_H

#include <stddef.h>
#include <stdint.h>

#include "core_defs.h"
#include "ident.h"
#include "status.h"

struct body_slice {
	uint32_t offset;
	uint32_t length;
};

struct job_body {
	char *text; /* as received */
	size_t length;
	struct ident digest; /* of the text as received */
	char class_name[NAME_BYTES];
	char team[NAME_BYTES];
	int64_t run_ms;	     /* 0 when not declared */
	int64_t deadline_ms; /* 0 when there is none */
	uint32_t task_count;
	struct body_slice *tasks;
};

/*
 * Checks LENGTH bytes at TEXT, which were allocated with malloc and are taken over in any case, and
 * stores the body at BODY. STATUS_INVALID_JSON, STATUS_INVALID_REQUEST (names the field),
 * STATUS_TOO_MANY_TASKS; all "not run".
 */
enum status entry_body_parse(char *text, size_t length, uint32_t max_tasks, struct job_body **body,
			     struct error *err);

/* Frees BODY, which may be NULL. */
void entry_body_free(struct job_body *body);

#endif
