/*
 * The configuration: one versioned JSON document. Each replica builds it by applying the records
 * of a log stream, patches and snapshots, in order. A snapshot holds the state that results from
 * all records below its offset; it may be appended to the log at a later position.
 */
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
	CONFIG_RECENT_IDS = 512, /* record ids kept so that a repeated append is applied once */
	/* Limit on the size of records buffered while waiting for a snapshot. */
	CONFIG_BUFFER_MAX_BYTES = 64 << 20
};

/* One patch in the history, accepted or rejected. */
struct config_change {
	uint64_t version;      /* version after this patch; a rejected patch leaves it unchanged */
	uint64_t base_version; /* version that the patch was made for */
	uint64_t offset;       /* offset of the patch record in the log stream */
	int64_t time_ms;       /* wall clock, ms since 1970 */
	char id[IDENT_HEX_BYTES];
	char author[64];
	bool accepted;
	enum status status;
};

/*
 * A replica of the configuration (opaque). It holds up to two states: the stream state, which is
 * built from the log stream alone, and the fallback state, which is the state with the highest
 * version received from a peer, or the last effective state before records expired unread. The
 * state with the higher version is the effective state; when the versions are equal, the stream
 * state is.
 */
struct config_replica;

struct config_replica *config_replica_new(void);
void config_replica_free(struct config_replica *replica);

/*
 * Validates a whole document. Returns STATUS_INVALID_CONFIG with the path and the accepted values
 * in ERR. The result depends on the document alone, so that all replicas accept the same patches.
 */
enum status config_validate(const json_t *document, struct error *err);

/*
 * Checks that the time zones of a valid document are installed on this host. Returns
 * STATUS_INVALID_CONFIG when a time zone is not installed. Call this function before appending a
 * patch and never while applying a patch, because the result may differ between hosts.
 */
enum status config_check_time_zones(const json_t *document, struct error *err);

/* Returns a new document: the JSON merge patch PATCH (RFC 7396) applied to TARGET. TARGET is not
 * modified. */
json_t *config_merge(const json_t *target, const json_t *patch);

/* Returns a new patch record as JSON text, to be freed with free(). */
char *config_format_patch(const struct ident *id, uint64_t base, const json_t *patch,
			  const char *author, int64_t time_ms);
/* Returns a new snapshot record of the stream state as JSON text, to be freed with free(), or
 * NULL while the replica is not synced. */
char *config_format_snapshot(const struct config_replica *replica, int64_t time_ms);

/* What applying a record did to the replica. */
enum config_effect {
	CONFIG_EFFECT_NONE,    /* no change: the record was buffered or repeated, is malformed or of
				  unknown type, or is a snapshot that cannot be used */
	CONFIG_EFFECT_APPLIED, /* patch accepted; config_version() rises unless the fallback state
				  already had that version or a higher one */
	CONFIG_EFFECT_REJECTED, /* base version or resulting document not accepted */
	CONFIG_EFFECT_SNAPSHOT, /* usable snapshot read; a replica that was not synced has loaded it
				   and applied the buffered records */
};

/*
 * Applies the record at OFFSET. ID receives the id of a patch record, or zeros when the record has
 * none or OFFSET was read before. ERR is set only with CONFIG_EFFECT_REJECTED. If OFFSET is beyond
 * config_next_offset(), the records in between are treated as expired, as by
 * config_replica_expire_below(). The effective version never decreases. After
 * CONFIG_EFFECT_SNAPSHOT, the outcome of buffered patches can be looked up with
 * config_find_change().
 */
enum config_effect config_replica_apply(struct config_replica *replica, uint64_t offset,
					const char *record, size_t length, struct ident *id,
					struct error *err);

/*
 * Reports that records below FIRST_OFFSET have expired from the log. A replica that has not read
 * all of them waits for a snapshot whose offset is FIRST_OFFSET or higher; until then the
 * effective state is kept.
 */
void config_replica_expire_below(struct config_replica *replica, uint64_t first_offset);

/* Adopts a state received from a peer when its version is higher and its document is valid. Returns
 * whether it was adopted; ERR receives the reason otherwise. */
bool config_replica_adopt(struct config_replica *replica, uint64_t version, const char *document,
			  struct error *err);

/* Returns the version of the effective state. */
uint64_t config_version(const struct config_replica *replica);
/* Returns the effective document. It is owned by the replica and immutable: each new version is a
 * new document. */
const json_t *config_document(const struct config_replica *replica);
/* Returns whether the replica has a stream state (false while it waits for a snapshot). */
bool config_is_synced(const struct config_replica *replica);
/* Returns the offset of the newest usable snapshot read, and stores in EXISTS whether there was
 * one. A replica that loads this snapshot needs the records from that offset on. */
uint64_t config_last_snapshot_offset(const struct config_replica *replica, bool *exists);
/* Returns the offset of the next record to be read. */
uint64_t config_next_offset(const struct config_replica *replica);
/* Copies at most CAPACITY changes, newest first, to OUT and returns their number. */
uint32_t config_history(const struct config_replica *replica, struct config_change *out,
			uint32_t capacity);
/* Copies the change with record id ID to OUT. Returns false when it is not in the history. */
bool config_find_change(const struct config_replica *replica, const struct ident *id,
			struct config_change *out);

/* The properties of an agent that capacity and drain rules match. */
struct config_agent {
	const char *server;
	const char *host;
	const char *zone;
	const json_t *labels; /* object with string values, or NULL */
};

/*
 * Returns how many of the SLOTS of AGENT may be used at wall-clock time WALL_MS (ms since 1970):
 * SLOTS, or the lowest limit among the matching capacity rules when that is lower; 0 when the
 * calendar of a matching rule is off or AGENT is drained. DRAINED, which may be NULL, receives
 * whether a drain names AGENT.
 */
uint32_t config_capacity(const json_t *document, const struct config_agent *agent, uint32_t slots,
			 int64_t wall_ms, bool *drained);

#endif
