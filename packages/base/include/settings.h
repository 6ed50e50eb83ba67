/* Reads settings from JSON and validates them against a list of fields before use. */
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
	SETTINGS_STRING,      /* char *, from min to max bytes long */
	SETTINGS_ENUM,	      /* char *, one of choices */
	SETTINGS_STRING_LIST, /* char ** terminated by NULL, at most max items */
	SETTINGS_MAP,	      /* json_t *, an object whose values are strings */
};

/* An accepted field. PATH lists the keys from the top-level object down to the value, separated by
 * dots, as in "http.threads". An absent list or map becomes an empty one. */
struct settings_field {
	const char *path;
	enum settings_type type;
	size_t offset; /* of the value in the target structure */
	int64_t min;
	int64_t max;
	int64_t default_number;	    /* of an integer, number or bool, where 0 is false */
	const char *default_text;   /* of a string or enum, or NULL for no default */
	const char *const *choices; /* of SETTINGS_ENUM, terminated by NULL */
	bool required;
};

/*
 * Reads the JSON file at FILE into TARGET and validates it against COUNT FIELDS. TARGET must be
 * zeroed beforehand. It owns the strings, lists and maps allocated for it; release them with
 * settings_free, also after a failure. Returns STATUS_NOT_FOUND if FILE is not a regular file, or
 * STATUS_INVALID_SETTINGS with a message that names the file, the line or path of the error if
 * there is one and, if a value was rejected, what the field accepts.
 */
enum status settings_load(const char *file, const struct settings_field *fields, size_t count,
			  void *target, struct error *err);

/* Does the same as settings_load for a DOCUMENT that was already loaded. FILE appears in messages
 * only. */
enum status settings_parse(const char *file, const json_t *document,
			   const struct settings_field *fields, size_t count, void *target,
			   struct error *err);

/* Frees the strings, lists and maps in TARGET and sets their pointers to NULL. */
void settings_free(const struct settings_field *fields, size_t count, void *target);

#endif
