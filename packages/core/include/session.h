/* Client sessions. A session gives one entry incarnation the right to run a client's jobs and
 * records the job keys used under it, so that a repeated submission is recognized. */
#ifndef GG_SESSION_H
#define GG_SESSION_H

#include <stdbool.h>
#include <stdint.h>

#include "ident.h"
#include "status.h"
#include "table.h"

enum {
	SESSION_TOKEN_BYTES = 50, /* including the terminating NUL */
	KEY_MAX_BYTES = 128
};

/* The parts of a session token. */
struct session_token {
	struct ident incarnation;
	uint64_t serial;
};

struct session_limits {
	int64_t lifetime_us;  /* period after opening in which new keys are accepted */
	int64_t retention_us; /* retention of keys after the lifetime, for resubmissions */
	uint32_t max_sessions;
	uint32_t max_keys; /* limit on the keys of all sessions together */
};

/* Writes "<32 hex>-<16 hex>" to TEXT and returns TEXT. */
char *session_format_token(const struct session_token *token, char text[SESSION_TOKEN_BYTES]);
/* Parses a token. Returns STATUS_INVALID_SESSION when TEXT is malformed. */
enum status session_parse_token(const char *text, struct session_token *token, struct error *err);

struct session_store; /* opaque */

/* Creates an empty store for sessions of the entry INCARNATION. */
struct session_store *session_store_new(const struct session_limits *limits,
					const struct ident *incarnation);
void session_store_free(struct session_store *store);

/* Opens a session with the random SERIAL and stores its token in TOKEN. Returns
 * STATUS_TOO_MANY_REQUESTS when the limit of sessions is reached, counting closed sessions that are
 * not freed yet, and STATUS_INTERNAL when the serial is in use; the caller can try again with
 * another serial. */
enum status session_open(struct session_store *store, uint64_t serial, int64_t now_us,
			 struct session_token *token, struct error *err);
/*
 * Closes a session permanently, in constant time. Its keys can no longer be found; their memory is
 * freed step by step by session_expire, session_open and session_register_key. Returns
 * STATUS_SESSION_GONE when the session does not exist.
 */
enum status session_close(struct session_store *store, uint64_t serial, struct error *err);

/* Result of session_register_key. */
enum session_key_state {
	SESSION_KEY_NEW,   /* the key was not used before and is now recorded */
	SESSION_KEY_KNOWN, /* the key was recorded before with the same body; *JOB is the job of the
			      key */
};

/*
 * Looks up KEY in the session and records it when it is new. With STATUS_OK, *JOB points to the
 * place where the caller keeps the handle of the key's job; the pointer is valid until the
 * next call that changes the store.
 *
 * STATUS_KEY_CONFLICT: the key was used with another body. STATUS_SESSION_GONE: the session is
 * closed, expired or was never opened here (outcome "unknown"), or the key is new and the session
 * is past its lifetime but within its retention (outcome "not run", since every key used is still
 * known). STATUS_INVALID_KEY: the key is empty or too long. STATUS_TOO_MANY_REQUESTS: the limit of
 * keys is reached.
 */
enum status session_register_key(struct session_store *store, uint64_t serial, const char *key,
				 const struct ident *body_digest, int64_t now_us,
				 enum session_key_state *state, struct handle **job,
				 struct error *err);

/* Finds the job of KEY without recording the key. Returns STATUS_NOT_FOUND when the session has no
 * such key, STATUS_SESSION_GONE when there is no such session. */
enum status session_find_key(struct session_store *store, uint64_t serial, const char *key,
			     int64_t now_us, struct handle *job, struct error *err);

/* Removes the KEY of a job that was refused admission, so that it may be submitted again. */
void session_remove_key(struct session_store *store, uint64_t serial, const char *key);

/* Returns whether the session is past half of its lifetime, so that the client should be offered a
 * new one. */
bool session_needs_renewal(const struct session_store *store, uint64_t serial, int64_t now_us);

/* Removes sessions past their retention and frees the memory of closed sessions. LIMIT bounds the
 * number of steps, each of which closes an expired session, frees a key or frees a session. */
void session_expire(struct session_store *store, int64_t now_us, uint32_t limit);

/* Returns the number of open sessions. */
uint32_t session_count(const struct session_store *store);

/* Returns the number of keys in memory, including keys of closed sessions that are not freed yet.
 */
uint32_t session_key_count(const struct session_store *store);

#endif
