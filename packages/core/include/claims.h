/* Claims on job keys through an ordered log stream: the first record that holds a key owns it. */
#ifndef GG_CLAIMS_H
#define GG_CLAIMS_H

#include <stdbool.h>
#include <stdint.h>

#include "ident.h"
#include "status.h"

enum {
	CLAIM_FUTURE_LIMIT_MS = 300000,
	CLAIM_BATCH_KEYS = 1000, /* most keys in one record */
};

/* Checks that KEY is a UUIDv7 within the window. STATUS_INVALID_KEY (not run); STATUS_KEY_EXPIRED
 * (unknown). */
enum status claims_check_key(const char *key, int64_t wall_ms, int64_t window_ms,
			     struct error *err);

/* Returns the digest under which KEY is claimed: that of its lower-case form, since a UUID may be
 * written in either case. */
struct ident claims_key_digest(const char *key);

enum claim_state {
	CLAIM_NONE,	      /* nobody holds it, as far as the stream was read */
	CLAIM_PENDING,	      /* this entry is appending it and has not read it back */
	CLAIM_OWNED,	      /* this entry holds it */
	CLAIM_OWNED_BY_OTHER, /* another entry incarnation holds it */
	CLAIM_ABANDONED,      /* this entry gave up waiting; the record may still appear */
	CLAIM_UNSTARTED,      /* this entry holds it, and no task of its job was started */
};

struct claims; /* opaque */

/* WINDOW_MS is that of claims_check_key. Claims are kept longer, so that no valid key is forgotten.
 */
struct claims *claims_new(const struct ident *incarnation, int64_t window_ms);
void claims_free(struct claims *claims);

/* Returns who holds KEY_DIGEST; OWNER receives the incarnation for CLAIM_OWNED_BY_OTHER. */
enum claim_state claims_find(const struct claims *claims, const struct ident *key_digest,
			     struct ident *owner);

/* Adds KEY_DIGEST to the batch to be appended next. Returns false when it is not CLAIM_NONE. */
bool claims_request(struct claims *claims, const struct ident *key_digest);

/* Takes up to CLAIM_BATCH_KEYS keys of the batch as a JSON record for the log, or NULL when it is
 * empty. The caller frees it with free(). Further keys go into the next batch. */
char *claims_take_batch(struct claims *claims);

/* Called for each pending key that a record settled: held by this entry, which may start its job
 * now, or lost to OWNER. */
typedef void (*claims_settled_callback)(void *context, const struct ident *key_digest, bool won,
					const struct ident *owner);

/*
 * Folds a record of the stream. A malformed record and one of an unknown version are ignored, alike
 * by all readers. STATUS_INVALID_MESSAGE says so. An offset that was folded before is passed over.
 */
enum status claims_apply_record(struct claims *claims, uint64_t offset, const char *record,
				size_t length, int64_t record_ms, claims_settled_callback settled,
				void *context, struct error *err);

/* Gives up waiting for a pending key: if its record appears later it becomes CLAIM_UNSTARTED. A key
 * that was never part of a record is forgotten at once. */
void claims_abandon(struct claims *claims, const struct ident *key_digest);

/* Records that the job of an own claim was refused before any of its tasks started: the claim
 * becomes CLAIM_UNSTARTED. */
void claims_set_unstarted(struct claims *claims, const struct ident *key_digest);

/*
 * Takes up a claim of this entry when its key is submitted again. An unstarted claim becomes
 * CLAIM_OWNED and its job may be started at once, by this call's caller only; an abandoned one
 * becomes CLAIM_PENDING and is put into the batch again. Returns the new state, or for any other
 * claim the state that it has, in which case nothing may be started; STARTABLE tells these apart.
 */
enum claim_state claims_resume(struct claims *claims, const struct ident *key_digest,
			       bool *startable);

/* Drops claims recorded so long before WALL_MS that their keys are invalid, a bounded number a
 * call. */
void claims_expire(struct claims *claims, int64_t wall_ms);

uint32_t claims_count(const struct claims *claims);

#endif
