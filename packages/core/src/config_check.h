/* Checks of JSON values with messages that name the path. Internal to config and calendar. */
#ifndef GG_CONFIG_CHECK_H
#define GG_CONFIG_CHECK_H

#include <jansson.h>

#include "status.h"

enum {
	CHECK_PATH_BYTES = 160
};

/* A key that an object may have, and the check of its value. */
struct check_key {
	const char *name;
	enum status (*check)(const json_t *value, const char *path, struct error *err);
	bool required;
};

/* Writes PARENT.KEY to PATH; a long key is cut, so that the message keeps room for the rest. */
void check_join(char path[CHECK_PATH_BYTES], const char *parent, const char *key);

/* Reports that the value at PATH is not ACCEPTED. Returns STATUS_INVALID_CONFIG. */
enum status check_refuse(const char *path, const char *accepted, struct error *err);

/* Checks an object whose keys are listed in KEYS, which ends with a NULL name. */
enum status check_object(const json_t *value, const char *path, const struct check_key *keys,
			 struct error *err);

/* Checks an object with free names as keys and one check for all values. */
enum status check_map(const json_t *value, const char *path,
		      enum status (*check)(const json_t *value, const char *path,
					   struct error *err),
		      struct error *err);

/* Checks an array of at most MAX items. */
enum status check_list(const json_t *value, const char *path, size_t max,
		       enum status (*check)(const json_t *value, const char *path,
					    struct error *err),
		       struct error *err);

enum status check_integer(const json_t *value, const char *path, int64_t min, int64_t max,
			  struct error *err);
enum status check_number(const json_t *value, const char *path, double min, double max,
			 struct error *err);
/* A name: 1 to NAME_BYTES - 1 bytes without control characters. */
enum status check_name(const json_t *value, const char *path, struct error *err);

#endif
