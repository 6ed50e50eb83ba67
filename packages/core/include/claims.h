/* Claims on job keys through an ordered log stream: the first record that holds a key owns it. */
#ifndef GG_CLAIMS_H
#define GG_CLAIMS_H

#include <stdbool.h>
#include <stdint.h>

#include "ident.h"
#include "status.h"

enum {
	CLAIM_FUTURE_LIMIT_MS = 300000
};

/* Checks that KEY is a UUIDv7 within the window. STATUS_INVALID_KEY (not run); STATUS_KEY_EXPIRED
 * (unknown). */
enum status claims_check_key(const char *key, int64_t wall_ms, int64_t window_ms,
			     struct error *err);

enum claim_state {
	CLAIM_NONE,	 /* nobody holds it, as far as the stream was read */
	CLAIM_PENDING,	 /* this entry is appending it and has not read it back */
	CLAIM_OWN,	 /* this entry holds it */
	CLAIM_OTHER,	 /* another entry incarnation holds it */
	CLAIM_ABANDONED, /* this entry gave up waiting; the record may still appear */
};

struct claims; /* opaque */

struct claims *claims_new(const struct ident *incarnation, int64_t window_ms);
void claims_free(struct claims *claims);

/* Returns who holds KEY_DIGEST; OWNER receives the incarnation for CLAIM_OTHER. */
enum claim_state claims_find(const struct claims *claims, const struct ident *key_digest,
			     struct ident *owner);

/* Adds KEY_DIGEST to the batch to be appended next. Returns false when it is not CLAIM_NONE. */
bool claims_request(struct claims *claims, const struct ident *key_digest);

/* Takes the batch as a JSON record for the log, or NULL when it is empty. The caller frees it with
 * free(). Further keys go into the next batch. */
char *claims_take_batch(struct claims *claims);

/* Called for each own key that a record settled: held by this entry, or lost to OWNER. */
typedef void (*claims_settled)(void *context, const struct ident *key_digest, bool won,
			       const struct ident *owner);

/* Folds a record of the stream. A malformed record is ignored, alike by all readers.
 * STATUS_INVALID_MESSAGE says so. */
enum status claims_fold(struct claims *claims, uint64_t offset, const char *record, size_t length,
			int64_t record_ms, claims_settled settled, void *context,
			struct error *err);

/* Gives up waiting for a pending key: if its record appears later it is held and not started. */
void claims_abandon(struct claims *claims, const struct ident *key_digest);

/* Drops claims recorded before WALL_MS less the window. */
void claims_expire(struct claims *claims, int64_t wall_ms);

uint32_t claims_count(const struct claims *claims);

#endif
