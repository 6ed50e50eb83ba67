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
	CONFIG_MAX_BYTES = 1 << 20
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

struct config_fold; /* opaque: document, version, history, records buffered until the first snapshot
		     */

struct config_fold *config_fold_new(void);
void config_fold_free(struct config_fold *fold);

/* Checks a whole document. STATUS_INVALID_CONFIG names the path and what is accepted there. */
enum status config_validate(const json_t *document, struct error *err);

/* Returns a new record (JSON text, freed with free()) for a patch. */
char *config_patch_record(const struct ident *id, uint64_t base, const json_t *patch,
			  const char *author, int64_t time_ms);
/* Returns a new snapshot record (freed with free()) of the fold's state. */
char *config_snapshot_record(const struct config_fold *fold, int64_t time_ms);

enum config_effect {
	CONFIG_EFFECT_NONE,	/* buffered, repeated or not understood */
	CONFIG_EFFECT_APPLIED,	/* the version rose */
	CONFIG_EFFECT_REJECTED, /* base or document not accepted */
	CONFIG_EFFECT_SNAPSHOT, /* a snapshot was read */
};

/* Folds the record at OFFSET. The version never goes down. ID receives the record's id or zeros;
 * ERR the reason of a rejection. */
enum config_effect config_fold_record(struct config_fold *fold, uint64_t offset, const char *record,
				      size_t length, struct ident *id, struct error *err);

/* Tells the fold that records below FIRST_OFFSET have expired, so that without state it waits for a
 * snapshot. */
void config_fold_truncated(struct config_fold *fold, uint64_t first_offset);

/* Takes a state received from a peer when its version is higher. Returns whether it was taken;
 * STATUS in ERR otherwise. */
bool config_fold_adopt(struct config_fold *fold, uint64_t version, const char *document,
		       struct error *err);

uint64_t config_version(const struct config_fold *fold);
/* Returns the document, owned by the fold and immutable: a change of version makes a new one. */
const json_t *config_document(const struct config_fold *fold);
/* Returns whether the fold follows the stream (false while it waits for a first snapshot). */
bool config_is_synced(const struct config_fold *fold);
/* Returns the offset of the last snapshot read, and stores whether there was one. */
uint64_t config_last_snapshot(const struct config_fold *fold, bool *exists);
/* Copies the history, newest first, to OUT and returns the number of entries. */
uint32_t config_history(const struct config_fold *fold, struct config_change *out,
			uint32_t capacity);
/* Finds the change with record id ID. Returns false when it is not in the history. */
bool config_find_change(const struct config_fold *fold, const struct ident *id,
			struct config_change *out);

/* An agent's identity for the rules on capacity. Labels is a JSON object with string values. */
struct config_subject {
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
uint32_t config_capacity(const json_t *document, const struct config_subject *subject,
			 uint32_t slots, int64_t wall_ms, bool *drained);

#endif
