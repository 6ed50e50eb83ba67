/* Settings in JSON, checked against a declared list of fields before use. */
#ifndef GG_SETTINGS_H
#define GG_SETTINGS_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"

enum settings_type {
	SETTINGS_INT,	      /* int64_t, between min and max */
	SETTINGS_NUMBER,      /* double, between min and max */
	SETTINGS_BOOL,	      /* bool */
	SETTINGS_STRING,      /* char *, at most max bytes, at least min */
	SETTINGS_ENUM,	      /* char *, one of choices */
	SETTINGS_STRING_LIST, /* char ** ending in NULL, at most max items */
	SETTINGS_MAP,	      /* json_t *, an object whose values are strings */
};

/* One accepted field. PATH names nested objects with dots, for example "http.port". */
struct settings_field {
	const char *path;
	enum settings_type type;
	size_t offset; /* of the value in the structure that is filled */
	int64_t min;
	int64_t max;
	int64_t default_number;
	const char *default_text; /* NULL for a string, enum or list that has no value unless set */
	const char *const *choices;
	bool required;
};

/*
 * Reads the JSON file at FILE into TARGET, checking it against COUNT FIELDS. Strings and lists are
 * allocated and owned by TARGET; settings_free releases them. On STATUS_INVALID_SETTINGS the
 * message names the file, the path in it and what is accepted there; STATUS_NOT_FOUND when the file
 * cannot be read.
 */
enum status settings_load(const char *file, const struct settings_field *fields, size_t count,
			  void *target, struct error *err);

/* As settings_load, for a document already parsed; FILE is used in messages only. */
enum status settings_apply(const char *file, const json_t *document,
			   const struct settings_field *fields, size_t count, void *target,
			   struct error *err);

/* Frees what settings_load allocated in TARGET. */
void settings_free(const struct settings_field *fields, size_t count, void *target);

#endif
