/* Sessions: the right of one entry incarnation to run a client's jobs, and the keys used under each
 * session. */
#ifndef GG_SESSION_H
#define GG_SESSION_H

#include <stdbool.h>
#include <stdint.h>

#include "ident.h"
#include "status.h"
#include "table.h"

enum {
	SESSION_TOKEN_BYTES = 50,
	KEY_MAX_BYTES = 128
};

/* A session token taken apart. */
struct session_token {
	struct ident incarnation;
	uint64_t serial;
};

struct session_limits {
	int64_t lifetime_us; /* for submitting jobs */
	int64_t retain_us;   /* keys are kept this long after the lifetime, for resubmissions */
	uint32_t max_sessions;
	uint32_t max_keys; /* over all sessions */
};

/* Writes "<32 hex>-<16 hex>" to TEXT and returns TEXT. */
char *session_format_token(const struct session_token *token, char text[SESSION_TOKEN_BYTES]);
/* Reads a token. STATUS_INVALID_SESSION when it is malformed. */
enum status session_parse_token(const char *text, struct session_token *token, struct error *err);

struct session_store; /* opaque */

struct session_store *session_store_new(const struct session_limits *limits,
					const struct ident *incarnation);
void session_store_free(struct session_store *store);

/* Opens a session with the random SERIAL. STATUS_TOO_MANY_REQUESTS at the limit; STATUS_INTERNAL
 * when the serial is in use, in which case another one is drawn. */
enum status session_open(struct session_store *store, uint64_t serial, int64_t now_us,
			 struct session_token *token, struct error *err);
/*
 * Closes a session for good, at constant cost: its keys are out of reach at once and their memory
 * is freed by session_expire and by later claims. STATUS_SESSION_GONE when there is none.
 */
enum status session_close(struct session_store *store, uint64_t serial, struct error *err);

/* What a key stands for. */
enum session_key_state {
	SESSION_KEY_NEW,   /* not used before; it is recorded now */
	SESSION_KEY_KNOWN, /* same key and body as before: JOB is the job */
};

/*
 * Looks up KEY under the session and records it when new. STATUS_KEY_CONFLICT: used with another
 * body. STATUS_SESSION_GONE (unknown outcome): closed, expired or never opened here; for a new key
 * after the lifetime but within the retention the outcome is "not run", since every key used is
 * still known. STATUS_INVALID_KEY: empty or too long. STATUS_TOO_MANY_REQUESTS: no room for another
 * key. *JOB is the caller's slot for the job handle;
 * it stays valid until the next call.
 */
enum status session_register_key(struct session_store *store, uint64_t serial, const char *key,
				 const struct ident *body_digest, int64_t now_us,
				 enum session_key_state *state, struct handle **job,
				 struct error *err);

/* Finds the job of KEY without recording anything. STATUS_NOT_FOUND, STATUS_SESSION_GONE. */
enum status session_find_key(struct session_store *store, uint64_t serial, const char *key,
			     int64_t now_us, struct handle *job, struct error *err);

/* Forgets KEY of a job that was refused before it was admitted, so that it may be submitted again.
 */
void session_remove_key(struct session_store *store, uint64_t serial, const char *key);

/* Returns whether the session has passed half its lifetime, so that a fresh one should be offered.
 */
bool session_needs_renewal(const struct session_store *store, uint64_t serial, int64_t now_us);

/* Drops what has outlived its retention, at most LIMIT keys and sessions together a call. */
void session_expire(struct session_store *store, int64_t now_us, uint32_t limit);

/* Returns the number of open sessions. */
uint32_t session_count(const struct session_store *store);

/* Returns the number of keys in memory, those of closed sessions that are not freed yet included.
 */
uint32_t session_key_count(const struct session_store *store);

#endif
