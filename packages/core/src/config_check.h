/* Validators of JSON values, whose errors name the path of the value. Internal to config and
 * calendar. Every validator returns STATUS_OK, or STATUS_INVALID_CONFIG with the reason in ERR. */
#ifndef GG_CONFIG_CHECK_H
#define GG_CONFIG_CHECK_H

#include <jansson.h>

#include "status.h"

enum {
	VALUE_PATH_BYTES = 160
};

/* A key that an object may have, and the validator of its value. */
struct object_key {
	const char *name;
	enum status (*validate)(const json_t *value, const char *path, struct error *err);
	bool required;
};

/* Writes PARENT.KEY to PATH. A long key is truncated, so that the rest of the error message fits
 * into its buffer. */
void path_append_key(char path[VALUE_PATH_BYTES], const char *parent, const char *key);

/* Sets ERR for an invalid value at PATH; ACCEPTED describes the valid values. Returns
 * STATUS_INVALID_CONFIG. */
enum status report_invalid_value(const char *path, const char *accepted, struct error *err);

/* Validates an object whose keys are listed in KEYS. The list ends with an entry whose name is
 * NULL.
 */
enum status validate_object(const json_t *value, const char *path, const struct object_key *keys,
			    struct error *err);

/* Validates an object whose keys are names (1 to NAME_BYTES - 1 bytes without control
 * characters) and whose values are each validated by VALIDATE. */
enum status validate_map(const json_t *value, const char *path,
			 enum status (*validate)(const json_t *value, const char *path,
						 struct error *err),
			 struct error *err);

/* Validates an array of at most MAX items, each validated by VALIDATE. */
enum status validate_list(const json_t *value, const char *path, size_t max,
			  enum status (*validate)(const json_t *value, const char *path,
						  struct error *err),
			  struct error *err);

/* Validates an integer from MIN to MAX. */
enum status validate_integer(const json_t *value, const char *path, int64_t min, int64_t max,
			     struct error *err);
/* Validates an integer or real number from MIN to MAX. */
enum status validate_number(const json_t *value, const char *path, double min, double max,
			    struct error *err);
/* Validates a string of 1 to NAME_BYTES - 1 bytes without control characters. */
enum status validate_name(const json_t *value, const char *path, struct error *err);

#endif
