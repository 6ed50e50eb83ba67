/* Validators of JSON values, whose errors name the path of the value. Internal to config and
 * calendar. All return STATUS_OK or STATUS_INVALID_CONFIG. */
#ifndef GG_CONFIG_CHECK_H
#define GG_CONFIG_CHECK_H

#include <jansson.h>

#include "status.h"

enum {
	CHECK_PATH_BYTES = 160
};

/* A key that an object may have, and the validator of its value. */
struct check_key {
	const char *name;
	enum status (*check)(const json_t *value, const char *path, struct error *err);
	bool required;
};

/* Writes PARENT.KEY to PATH. A long key is truncated to leave room in the error message for the
 * rest of it. */
void check_join_path(char path[CHECK_PATH_BYTES], const char *parent, const char *key);

/* Sets ERR for an invalid value at PATH; ACCEPTED describes the valid values. Returns
 * STATUS_INVALID_CONFIG. */
enum status check_report_invalid(const char *path, const char *accepted, struct error *err);

/* Validates an object whose keys are listed in KEYS. The list ends with an entry whose name is
 * NULL.
 */
enum status check_object(const json_t *value, const char *path, const struct check_key *keys,
			 struct error *err);

/* Validates an object that maps arbitrary names to values, each validated by CHECK. */
enum status check_map(const json_t *value, const char *path,
		      enum status (*check)(const json_t *value, const char *path,
					   struct error *err),
		      struct error *err);

/* Validates an array of at most MAX items, each validated by CHECK. */
enum status check_list(const json_t *value, const char *path, size_t max,
		       enum status (*check)(const json_t *value, const char *path,
					    struct error *err),
		       struct error *err);

/* Validates an integer from MIN to MAX. */
enum status check_integer(const json_t *value, const char *path, int64_t min, int64_t max,
			  struct error *err);
/* Validates an integer or real number from MIN to MAX. */
enum status check_number(const json_t *value, const char *path, double min, double max,
			 struct error *err);
/* Validates a string of 1 to NAME_BYTES - 1 bytes without control characters. */
enum status check_name(const json_t *value, const char *path, struct error *err);

#endif
