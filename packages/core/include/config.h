/* The configuration: one versioned JSON document folded from an ordered log stream of patches and
 * snapshots. */
#ifndef GG_CONFIG_H
#define GG_CONFIG_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "ident.h"
#include "status.h"

enum {
	CONFIG_HISTORY_LENGTH = 64,
	CONFIG_MAX_BYTES = 1 << 20,
	CONFIG_RECENT_IDS = 512, /* record ids remembered to replica a repeated append once */
	CONFIG_BUFFER_MAX_BYTES = 64 << 20 /* of records held until the first snapshot */
};

/* One entry of the history. */
struct config_change {
	uint64_t version; /* reached by it, or the current one when it was rejected */
	uint64_t base;
	uint64_t offset;
	int64_t time_ms;
	char id[IDENT_HEX_BYTES];
	char author[64];
	bool accepted;
	enum status status;
};

/*
 * Opaque. It holds two states: the one folded from the stream, which depends on the stream alone,
 * and the highest one adopted from a peer. The one with the higher version is in force.
 */
struct config_replica;

struct config_replica *config_replica_new(void);
void config_replica_free(struct config_replica *replica);

/*
 * Checks a whole document. STATUS_INVALID_CONFIG names the path and what is accepted there. The
 * result depends on the document alone, so that every reader folds alike.
 */
enum status config_validate(const json_t *document, struct error *err);

/*
 * Checks what depends on this host: that the time zones of a valid document are installed. For use
 * before a patch is appended, never in the replica. STATUS_INVALID_CONFIG.
 */
enum status config_check_time_zones(const json_t *document, struct error *err);

/* Returns a new document: PATCH (RFC 7396) applied to TARGET, which stays as it is. */
json_t *config_merge(const json_t *target, const json_t *patch);

/* Returns a new record (JSON text, freed with free()) for a patch. */
char *config_patch_record(const struct ident *id, uint64_t base, const json_t *patch,
			  const char *author, int64_t time_ms);
/* Returns a new snapshot record (freed with free()) of the state folded from the stream, or NULL
 * while the replica is not synced. */
char *config_snapshot_record(const struct config_replica *replica, int64_t time_ms);

enum config_effect {
	CONFIG_EFFECT_NONE,    /* buffered, repeated or not understood */
	CONFIG_EFFECT_APPLIED, /* accepted; the version rose unless a peer's state had it already */
	CONFIG_EFFECT_REJECTED, /* base or document not accepted */
	CONFIG_EFFECT_SNAPSHOT, /* a snapshot was read; buffered records may have been folded */
};

/*
 * Folds the record at OFFSET. The version in force never goes down. ID receives the record's id or
 * zeros; ERR the reason of a rejection. An offset beyond the next expected one counts as a
 * truncation. After CONFIG_EFFECT_SNAPSHOT, records that were buffered are found with
 * config_find_change.
 */
enum config_effect config_replica_apply(struct config_replica *replica, uint64_t offset,
					const char *record, size_t length, struct ident *id,
					struct error *err);

/*
 * Tells the replica that records below FIRST_OFFSET have expired. When it has not read them all it
 * waits for a snapshot that represents FIRST_OFFSET or later; the state in force stays in force.
 */
void config_replica_truncated(struct config_replica *replica, uint64_t first_offset);

/* Takes a state received from a peer when its version is higher. Returns whether it was taken;
 * STATUS in ERR otherwise. */
bool config_replica_adopt(struct config_replica *replica, uint64_t version, const char *document,
			  struct error *err);

uint64_t config_version(const struct config_replica *replica);
/* Returns the document, owned by the replica and immutable: a change of version makes a new one. */
const json_t *config_document(const struct config_replica *replica);
/* Returns whether the replica follows the stream (false while it waits for a first snapshot). */
bool config_is_synced(const struct config_replica *replica);
/* Returns the offset that the newest snapshot read represents (a reader that starts from it needs
 * the records from there on), and stores whether there was one. */
uint64_t config_last_snapshot_offset(const struct config_replica *replica, bool *exists);
/* Returns the offset of the next record to be read. */
uint64_t config_next_offset(const struct config_replica *replica);
/* Copies the history, newest first, to OUT and returns the number of entries. */
uint32_t config_history(const struct config_replica *replica, struct config_change *out,
			uint32_t capacity);
/* Finds the change with record id ID. Returns false when it is not in the history. */
bool config_find_change(const struct config_replica *replica, const struct ident *id,
			struct config_change *out);

/* An agent's identity for the rules on capacity. Labels is a JSON object with string values. */
struct config_agent {
	const char *server;
	const char *host;
	const char *zone;
	const json_t *labels;
};

/*
 * Returns how many of SLOTS may be used by SUBJECT at wall-clock time WALL_MS: the least of the
 * capacity rules that match, by calendar; 0 when drained. DRAINED, which may be NULL, receives
 * whether a drain names it.
 */
uint32_t config_capacity(const json_t *document, const struct config_agent *subject, uint32_t slots,
			 int64_t wall_ms, bool *drained);

#endif
