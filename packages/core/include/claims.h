/* Claims on job keys. Entries append claim records to an ordered log stream; the entry whose record
 * is the first to contain a key owns that key. */
#ifndef GG_CLAIMS_H
#define GG_CLAIMS_H

#include <stdbool.h>
#include <stdint.h>

#include "ident.h"
#include "status.h"

enum {
	CLAIM_FUTURE_LIMIT_MS = 300000, /* how far a key's time may be ahead of the clock */
	CLAIM_BATCH_MAX_KEYS = 1000,	/* maximum number of keys in one record */
};

/*
 * Checks that KEY is a UUIDv7 whose time is less than WINDOW_MS before WALL_MS and at most
 * CLAIM_FUTURE_LIMIT_MS after it. Returns STATUS_INVALID_KEY (outcome "not run") when the key is
 * malformed or too far in the future, STATUS_KEY_EXPIRED (outcome "unknown") when it is too old.
 */
enum status claims_check_key(const char *key, int64_t wall_ms, int64_t window_ms,
			     struct error *err);

/* Returns the digest under which KEY is claimed. It is computed from the key in lower case, since a
 * UUID may be written in either case. */
struct ident claims_key_digest(const char *key);

/* CLAIM_UNSTARTED follows from a refusal of the job or from an abandoned request whose record
 * appeared after all; claims_resume changes the state to CLAIM_OWNED. */
enum claim_state {
	CLAIM_NONE,	      /* no record read so far contains the key */
	CLAIM_PENDING,	      /* this entry requested the claim and has not read its record yet */
	CLAIM_OWNED,	      /* this entry owns the key */
	CLAIM_OWNED_BY_OTHER, /* another entry incarnation owns the key */
	CLAIM_ABANDONED,      /* this entry stopped waiting; the record may still appear */
	CLAIM_UNSTARTED,      /* this entry owns the key, but no task of its job was started */
};

struct claims; /* opaque */

/* Creates an empty table for the entry INCARNATION. WINDOW_MS is the same as for claims_check_key;
 * claims are retained for longer than the window, so that a claim never expires before its key. */
struct claims *claims_new(const struct ident *incarnation, int64_t window_ms);
void claims_free(struct claims *claims);

/* Returns the state of the claim on KEY_DIGEST. For CLAIM_OWNED_BY_OTHER, the incarnation of the
 * owner is stored in OWNER, which may be NULL. */
enum claim_state claims_find(const struct claims *claims, const struct ident *key_digest,
			     struct ident *owner);

/* Adds KEY_DIGEST to the batch for the next record. Returns false and changes nothing when a claim
 * on it exists already. */
bool claims_request(struct claims *claims, const struct ident *key_digest);

/* Removes up to CLAIM_BATCH_MAX_KEYS keys from the batch and returns them as a JSON record for the
 * log, or NULL when there are none. The caller frees the record with free(). Keys beyond the limit
 * remain for the next call. */
char *claims_take_batch(struct claims *claims);

/* Called for each pending key whose owner was decided by a record. When WON is set, this entry owns
 * the key and may start its job; otherwise OWNER owns the key. */
typedef void (*claims_decided_callback)(void *context, const struct ident *key_digest, bool won,
					const struct ident *owner);

/*
 * Applies the record at OFFSET of the stream, appended at RECORD_MS by the log's clock. DECIDED may
 * be NULL. A record whose offset is not above the last one applied is skipped with STATUS_OK.
 * Otherwise, returns STATUS_INVALID_MESSAGE for a malformed record or one of an unknown version;
 * every reader ignores such a record as a whole, and it counts as applied.
 */
enum status claims_apply_record(struct claims *claims, uint64_t offset, const char *record,
				size_t length, int64_t record_ms, claims_decided_callback decided,
				void *context, struct error *err);

/* Stops waiting for a pending key, which becomes CLAIM_ABANDONED. If a record decides the key
 * later, it becomes CLAIM_UNSTARTED or CLAIM_OWNED_BY_OTHER. A key that was not yet returned by
 * claims_take_batch is removed at once. */
void claims_abandon(struct claims *claims, const struct ident *key_digest);

/* Changes a claim from CLAIM_OWNED to CLAIM_UNSTARTED after its job was refused before any of its
 * tasks started. */
void claims_set_unstarted(struct claims *claims, const struct ident *key_digest);

/*
 * Resumes a claim of this entry when its key is submitted again, and returns the resulting state. A
 * claim in CLAIM_UNSTARTED becomes CLAIM_OWNED; a claim in CLAIM_ABANDONED becomes CLAIM_PENDING
 * and is added to the batch again; any other claim is left as it is. STARTABLE is set only for a
 * claim that was unstarted: the caller, and nobody else, may then start the job.
 */
enum claim_state claims_resume(struct claims *claims, const struct ident *key_digest,
			       bool *startable);

/* Removes claims that were recorded, or requested and then abandoned, so long before WALL_MS that
 * their keys have expired. Pending claims are kept. The number of claims examined by one call is
 * bounded. */
void claims_expire(struct claims *claims, int64_t wall_ms);

/* Returns the number of claims in any state other than CLAIM_NONE. */
uint32_t claims_count(const struct claims *claims);

#endif
