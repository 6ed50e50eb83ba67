/* The replicated state of the configuration, and its log records in JSON. Internal to config. */
#ifndef GG_CONFIG_STATE_H
#define GG_CONFIG_STATE_H

#include <glib.h>

#include "config.h"

/* The highest version. Many JSON implementations store numbers as doubles, which represent
 * integers exactly only up to 2^53. */
#define CONFIG_MAX_VERSION ((uint64_t)1 << 53)

/* The result of applying all records of the stream up to some offset. A snapshot carries all of it,
 * because applying later records depends on all of it. */
struct config_state {
	uint64_t version;
	json_t *document;
	struct config_change history[CONFIG_HISTORY_LENGTH]; /* ring buffer */
	uint32_t history_count;
	uint32_t newest_change_index;
	struct ident recent_ids[CONFIG_RECENT_IDS]; /* ring buffer of the ids of the last patch
						       records, accepted or rejected */
	uint32_t recent_id_count;
	uint32_t newest_id_index;
	GHashTable *recent_id_set; /* pointers into recent_ids */
};

enum config_record_kind {
	CONFIG_RECORD_INVALID,
	CONFIG_RECORD_PATCH,
	CONFIG_RECORD_SNAPSHOT,
};

/* A parsed record. PATCH and AUTHOR are owned by ROOT. */
struct config_record {
	enum config_record_kind kind;
	json_t *root;
	struct ident id; /* set in a patch, like base_version, patch and author */
	uint64_t base_version;
	const json_t *patch;
	const char *author;
	int64_t time_ms;
	uint64_t offset; /* set in a snapshot: the first offset that it does not include */
};

struct config_state *config_state_new(void);
void config_state_free(struct config_state *state);

/* Adds CHANGE to the history, overwriting the oldest change when the ring is full. */
void config_state_add_change(struct config_state *state, const struct config_change *change);
/* Returns the change AGE positions before the newest one. AGE must be below history_count. */
const struct config_change *config_state_change_at(const struct config_state *state, uint32_t age);

/* Adds ID to the recent ids, evicting the oldest when the ring is full. Returns false when ID is
 * among them already. */
bool config_state_add_id(struct config_state *state, const struct ident *id);

/* Parses a record. A malformed record or one of unknown type has kind CONFIG_RECORD_INVALID.
 * Release the result with config_record_clear(). */
struct config_record config_record_parse(const char *text, size_t length);
void config_record_clear(struct config_record *record);

/* Returns the stream state, or NULL while REPLICA is not synced. */
const struct config_state *config_stream_state(const struct config_replica *replica);

/* Returns a new state loaded from a snapshot record, or NULL when any part of it is not valid. */
struct config_state *config_state_load(const struct config_record *snapshot);

#endif
