/* The state that the configuration's replica reaches, and its records in JSON. Internal to config.
 */
#ifndef GG_CONFIG_STATE_H
#define GG_CONFIG_STATE_H

#include <glib.h>

#include "config.h"

/* Versions are JSON integers that every JSON implementation holds exactly. */
#define CONFIG_MAX_VERSION ((uint64_t)1 << 53)

/* What the records of the stream up to some offset amount to. A snapshot carries all of it, since
 * the replica of later records depends on all of it. */
struct config_state {
	uint64_t version;
	json_t *document;
	struct config_change history[CONFIG_HISTORY_LENGTH]; /* ring */
	uint32_t history_count;
	uint32_t history_newest;
	struct ident recent[CONFIG_RECENT_IDS]; /* ring of the record ids folded last */
	uint32_t recent_count;
	uint32_t recent_newest;
	GHashTable *recent_set; /* pointers into recent */
};

enum config_record_kind {
	CONFIG_RECORD_INVALID,
	CONFIG_RECORD_PATCH,
	CONFIG_RECORD_SNAPSHOT,
};

/* A parsed record. The JSON values are borrowed from ROOT. */
struct config_record {
	enum config_record_kind kind;
	json_t *root;
	struct ident id; /* patch */
	uint64_t base;
	const json_t *patch;
	const char *author;
	int64_t time_ms;
	uint64_t offset; /* snapshot: the first offset that it does not include */
};

struct config_state *config_state_new(void);
void config_state_free(struct config_state *state);

/* Adds CHANGE to the history, dropping the oldest when it is full. */
void config_state_add_change(struct config_state *state, const struct config_change *change);
/* Returns the change AGE steps before the newest one; AGE is below history_count. */
const struct config_change *config_state_change(const struct config_state *state, uint32_t age);

/* Remembers ID, forgetting the oldest when the ring is full. Returns false when it is known. */
bool config_state_add_id(struct config_state *state, const struct ident *id);

/* Parses a record. What is not understood becomes CONFIG_RECORD_INVALID. */
struct config_record config_record_parse(const char *text, size_t length);
void config_record_clear(struct config_record *record);

/* Returns the state folded from the stream, or NULL while REPLICA is not synced. */
const struct config_state *config_stream_state(const struct config_replica *replica);

/* Returns the state that a snapshot record holds, or NULL when any part of it is not valid. */
struct config_state *config_state_load(const struct config_record *snapshot);

#endif
