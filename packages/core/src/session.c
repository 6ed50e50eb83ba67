#include "session.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "digest_map.h"

enum {
	SERIAL_DIGITS = 16,
	CLEANUP_STEPS_PER_CALL = 4, /* cleanup of closed sessions for each new key or session */
};

/* A key used under a session. Its row is keyed by the digest of the session's handle and the key.
 */
struct session_key {
	struct digest_row row;
	uint32_t next; /* row of the next key of the session; 0 for none */
	uint32_t previous;
	struct handle job;
	struct ident body_digest;
};

/* A key takes up at most 64 bytes, including its bucket. */
_Static_assert(sizeof(struct session_key) + sizeof(uint32_t) <= 64, "session key too large");

struct session {
	uint64_t serial;
	int64_t opened_us;
	uint32_t first_key;
	struct session *next; /* in order of opening while open, in order of closing afterwards */
	struct session *previous;
	struct handle handle;
};

struct session_list {
	struct session *first;
	struct session *last;
};

struct session_store {
	struct session_limits limits;
	struct ident incarnation;
	struct table sessions;
	struct digest_map keys;
	GHashTable *sessions_by_serial; /* keyed by serial; the keys point into the sessions */
	struct session_list open;
	struct session_list closed; /* not freed yet */
};

static void list_append(struct session_list *list, struct session *session)
{
	session->next = NULL;
	session->previous = list->last;
	if (list->last)
		list->last->next = session;
	else
		list->first = session;
	list->last = session;
}

static void list_remove(struct session_list *list, struct session *session)
{
	if (session->previous)
		session->previous->next = session->next;
	else
		list->first = session->next;
	if (session->next)
		session->next->previous = session->previous;
	else
		list->last = session->previous;
}

char *session_format_token(const struct session_token *token, char text[SESSION_TOKEN_BYTES])
{
	char hex[IDENT_HEX_BYTES];

	g_snprintf(text, SESSION_TOKEN_BYTES, "%s-%016" G_GINT64_MODIFIER "x",
		   ident_format(&token->incarnation, hex), token->serial);
	return text;
}

static bool parse_serial(const char *text, uint64_t *serial)
{
	for (int i = 0; i < SERIAL_DIGITS; i++) {
		if (!g_ascii_isxdigit(text[i]))
			return false;
	}
	*serial = strtoull(text, NULL, 16);
	return true;
}

enum status session_parse_token(const char *text, struct session_token *token, struct error *err)
{
	const char *serial = text + IDENT_HEX_BYTES;

	if (strnlen(text, SESSION_TOKEN_BYTES) != SESSION_TOKEN_BYTES - 1 ||
	    !ident_parse(text, &token->incarnation) || serial[-1] != '-' ||
	    !parse_serial(serial, &token->serial))
		return error_set(err, STATUS_INVALID_SESSION,
				 "a session token is 32 hex digits, a dash and 16 hex digits");
	return STATUS_OK;
}

struct session_store *session_store_new(const struct session_limits *limits,
					const struct ident *incarnation)
{
	struct session_store *store = g_new0(struct session_store, 1);

	store->limits = *limits;
	store->incarnation = *incarnation;
	table_init(&store->sessions, sizeof(struct session));
	digest_map_init(&store->keys, sizeof(struct session_key));
	store->sessions_by_serial = g_hash_table_new(g_int64_hash, g_int64_equal);
	return store;
}

void session_store_free(struct session_store *store)
{
	if (!store)
		return;
	g_hash_table_destroy(store->sessions_by_serial);
	digest_map_free(&store->keys);
	table_free(&store->sessions);
	g_free(store);
}

/* Makes a session and its keys unreachable. Their memory is freed later by free_one_step. */
static void unlink_session(struct session_store *store, struct session *session)
{
	g_hash_table_remove(store->sessions_by_serial, &session->serial);
	list_remove(&store->open, session);
	list_append(&store->closed, session);
}

/* Frees one key of the first closed session, or the session itself when it has no keys left.
 * Returns false when there are no closed sessions. */
static bool free_one_step(struct session_store *store)
{
	struct session *session = store->closed.first;
	struct session_key *key;
	uint32_t number;

	if (!session)
		return false;
	number = session->first_key;
	if (number == 0) {
		list_remove(&store->closed, session);
		table_remove(&store->sessions, session->handle);
		return true;
	}
	key = digest_map_row(&store->keys, number);
	session->first_key = key->next;
	digest_map_remove(&store->keys, number);
	return true;
}

static int64_t retention_end_us(const struct session_store *store, const struct session *session)
{
	return session->opened_us + store->limits.lifetime_us + store->limits.retention_us;
}

/* Returns the session SERIAL, or NULL when it does not exist or is past its retention. */
static struct session *find_session(const struct session_store *store, uint64_t serial,
				    int64_t now_us)
{
	struct session *session = g_hash_table_lookup(store->sessions_by_serial, &serial);

	if (!session || now_us >= retention_end_us(store, session))
		return NULL;
	return session;
}

static enum status error_session_gone(struct error *err)
{
	return error_set_unknown(err, STATUS_SESSION_GONE,
				 "the session is closed, expired or unknown to this entry");
}

enum status session_open(struct session_store *store, uint64_t serial, int64_t now_us,
			 struct session_token *token, struct error *err)
{
	struct session *session;
	struct handle handle;

	session_expire(store, now_us, CLEANUP_STEPS_PER_CALL);
	if (g_hash_table_lookup(store->sessions_by_serial, &serial))
		return error_set(err, STATUS_INTERNAL, "the session serial is in use");
	if (table_count(&store->sessions) >= store->limits.max_sessions)
		return error_set(err, STATUS_TOO_MANY_REQUESTS,
				 "the session limit is reached: %u exist",
				 table_count(&store->sessions));
	session = table_add(&store->sessions, &handle);
	session->serial = serial;
	session->opened_us = now_us;
	session->handle = handle;
	list_append(&store->open, session);
	g_hash_table_insert(store->sessions_by_serial, &session->serial, session);
	*token = (struct session_token){.incarnation = store->incarnation, .serial = serial};
	return STATUS_OK;
}

enum status session_close(struct session_store *store, uint64_t serial, struct error *err)
{
	struct session *session = g_hash_table_lookup(store->sessions_by_serial, &serial);

	if (!session)
		return error_session_gone(err);
	unlink_session(store, session);
	return STATUS_OK;
}

/* Returns the digest of KEY in the session. It includes the session's handle, not the serial:
 * handles are never reused, so remaining keys of a closed session cannot be found through a new
 * session. */
static struct ident key_digest(const struct session *session, const char *key, size_t length)
{
	struct {
		struct handle session;
		char key[KEY_MAX_BYTES];
	} input = {.session = session->handle};

	memcpy(input.key, key, length);
	return ident_digest(&input, sizeof(input.session) + length);
}

/* Adds a key to the map and to the front of the session's list. Returns the number of its row. */
static uint32_t add_key(struct session_store *store, struct session *session,
			const struct ident *digest, const struct ident *body_digest)
{
	uint32_t number = digest_map_add(&store->keys, digest);
	struct session_key *key = digest_map_row(&store->keys, number);
	struct session_key *next;

	key->body_digest = *body_digest;
	key->next = session->first_key;
	if (key->next != 0) {
		next = digest_map_row(&store->keys, key->next);
		next->previous = number;
	}
	session->first_key = number;
	return number;
}

/* Returns an error when the session is past its lifetime or the key limit is reached. Before the
 * limit is checked, some memory of closed sessions is freed, so that their keys do not count
 * against the limit for long. */
static enum status make_room_for_key(struct session_store *store, const struct session *session,
				     int64_t now_us, struct error *err)
{
	if (now_us >= session->opened_us + store->limits.lifetime_us)
		return error_set(err, STATUS_SESSION_GONE,
				 "the session is past its lifetime and accepts no new jobs");
	for (int i = 0; i < CLEANUP_STEPS_PER_CALL && free_one_step(store); i++)
		;
	if (store->keys.count >= store->limits.max_keys)
		return error_set(err, STATUS_TOO_MANY_REQUESTS,
				 "the key limit is reached: %u are in use", store->keys.count);
	return STATUS_OK;
}

enum status session_register_key(struct session_store *store, uint64_t serial, const char *key,
				 const struct ident *body_digest, int64_t now_us,
				 enum session_key_state *state, struct handle **job,
				 struct error *err)
{
	struct session *session = find_session(store, serial, now_us);
	size_t length = strnlen(key, KEY_MAX_BYTES + 1);
	struct session_key *row;
	struct ident digest;
	enum status status;
	uint32_t number;

	if (!session)
		return error_session_gone(err);
	if (length == 0 || length > KEY_MAX_BYTES)
		return error_set(err, STATUS_INVALID_KEY, "the key must have 1 to %d bytes",
				 KEY_MAX_BYTES);
	digest = key_digest(session, key, length);
	number = digest_map_find(&store->keys, &digest);
	*state = number ? SESSION_KEY_KNOWN : SESSION_KEY_NEW;
	if (number == 0) {
		status = make_room_for_key(store, session, now_us, err);
		if (status != STATUS_OK)
			return status;
		number = add_key(store, session, &digest, body_digest);
	}
	row = digest_map_row(&store->keys, number);
	if (!ident_equal(&row->body_digest, body_digest))
		return error_set_unknown(err, STATUS_KEY_CONFLICT,
					 "the key was used with another body");
	*job = &row->job;
	return STATUS_OK;
}

static uint32_t find_key(const struct session_store *store, const struct session *session,
			 const char *key)
{
	size_t length = strnlen(key, KEY_MAX_BYTES + 1);
	struct ident digest;

	if (length == 0 || length > KEY_MAX_BYTES)
		return 0;
	digest = key_digest(session, key, length);
	return digest_map_find(&store->keys, &digest);
}

enum status session_find_key(struct session_store *store, uint64_t serial, const char *key,
			     int64_t now_us, struct handle *job, struct error *err)
{
	struct session *session = find_session(store, serial, now_us);
	uint32_t number;

	if (!session)
		return error_session_gone(err);
	number = find_key(store, session, key);
	if (number == 0)
		return error_set(err, STATUS_NOT_FOUND, "the session has no job with this key");
	*job = ((struct session_key *)digest_map_row(&store->keys, number))->job;
	return STATUS_OK;
}

void session_remove_key(struct session_store *store, uint64_t serial, const char *key)
{
	struct session *session = g_hash_table_lookup(store->sessions_by_serial, &serial);
	uint32_t number = session ? find_key(store, session, key) : 0;
	struct session_key *row;
	struct session_key *other;

	if (number == 0)
		return;
	row = digest_map_row(&store->keys, number);
	if (row->next != 0) {
		other = digest_map_row(&store->keys, row->next);
		other->previous = row->previous;
	}
	if (row->previous != 0) {
		other = digest_map_row(&store->keys, row->previous);
		other->next = row->next;
	} else {
		session->first_key = row->next;
	}
	digest_map_remove(&store->keys, number);
}

bool session_needs_renewal(const struct session_store *store, uint64_t serial, int64_t now_us)
{
	const struct session *session = find_session(store, serial, now_us);

	return session && now_us >= session->opened_us + store->limits.lifetime_us / 2;
}

void session_expire(struct session_store *store, int64_t now_us, uint32_t limit)
{
	for (uint32_t done = 0; done < limit; done++) {
		struct session *oldest = store->open.first;

		if (free_one_step(store))
			continue;
		if (!oldest || now_us < retention_end_us(store, oldest))
			return;
		unlink_session(store, oldest);
	}
}

uint32_t session_count(const struct session_store *store)
{
	return g_hash_table_size(store->sessions_by_serial);
}

uint32_t session_key_count(const struct session_store *store)
{
	return store->keys.count;
}
