#include "claims.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "digest_map.h"

enum {
	RECORD_VERSION = 1,
	MAX_EXPIRY_CHECKS = 10000, /* claims examined by one call of claims_expire */
	OWN_INDEX = 0,		   /* index of this entry in the array of owners */
	/* Retention beyond the window. A key may be claimed up to the future limit before its own
	 * time, and stays valid for the window after that time, which accounts for one future
	 * limit. The other covers the clock differences between two entries and the log. */
	EXTRA_RETENTION_MS = 2 * CLAIM_FUTURE_LIMIT_MS,
};

/* A key that is owned by an entry or that this entry has requested. */
struct claim {
	struct digest_row row;
	unsigned int owner : 24; /* index in the array of owners */
	unsigned int state : 6;	 /* enum claim_state */
	unsigned int in_batch : 1;
	unsigned int in_record : 1; /* claims_take_batch returned a record with the key */
	uint32_t next;		    /* next row in its list; 0 for none */
	uint32_t previous;
	int64_t time_ms; /* time of the request; once a record with the key was read, the latest
			    record time read up to then */
};

/* Doubly linked list of claims, ordered by time. The fields are row numbers, or 0 when the list is
 * empty. */
struct claim_list {
	uint32_t first;
	uint32_t last;
};

struct claims {
	struct digest_map map;
	struct claim_list recorded;  /* a record with the key was read */
	struct claim_list requested; /* no record with the key was read yet */
	GArray *owners;		     /* elements are struct ident */
	GHashTable *owner_indexes;   /* maps struct ident to its index in owners */
	GArray *batch;		     /* elements are struct ident */
	uint64_t next_offset;
	int64_t window_ms;
	int64_t latest_wall_ms;
	int64_t latest_record_ms;
};

static struct claim *claim_at(const struct claims *claims, uint32_t number)
{
	return digest_map_row(&claims->map, number);
}

static struct claim *find_claim(const struct claims *claims, const struct ident *key_digest)
{
	uint32_t number = digest_map_find(&claims->map, key_digest);

	return number ? claim_at(claims, number) : NULL;
}

static void list_append(struct claims *claims, struct claim_list *list, uint32_t number)
{
	struct claim *claim = claim_at(claims, number);

	claim->next = 0;
	claim->previous = list->last;
	if (list->last != 0)
		claim_at(claims, list->last)->next = number;
	else
		list->first = number;
	list->last = number;
}

static void list_remove(struct claims *claims, struct claim_list *list, uint32_t number)
{
	struct claim *claim = claim_at(claims, number);

	if (claim->previous != 0)
		claim_at(claims, claim->previous)->next = claim->next;
	else
		list->first = claim->next;
	if (claim->next != 0)
		claim_at(claims, claim->next)->previous = claim->previous;
	else
		list->last = claim->previous;
}

static void remove_claim(struct claims *claims, struct claim_list *list, uint32_t number)
{
	list_remove(claims, list, number);
	digest_map_remove(&claims->map, number);
}

static bool is_hex_digit(char c, const char *allowed)
{
	return g_ascii_isxdigit(c) && (!allowed || strchr(allowed, g_ascii_tolower(c)));
}

/* Reads the milliseconds since 1970 from a UUIDv7 in its text form of 36 characters. */
static bool parse_uuid7(const char *key, int64_t *time_ms)
{
	uint64_t value = 0;

	if (strnlen(key, 37) != 36)
		return false;
	for (int i = 0; i < 36; i++) {
		bool dash = i == 8 || i == 13 || i == 18 || i == 23;
		const char *allowed = i == 14 ? "7" : i == 19 ? "89ab" : NULL;

		if (dash ? key[i] != '-' : !is_hex_digit(key[i], allowed))
			return false;
		if (!dash && i < 13)
			value = value << 4 | (uint64_t)g_ascii_xdigit_value(key[i]);
	}
	*time_ms = (int64_t)value;
	return true;
}

enum status claims_check_key(const char *key, int64_t wall_ms, int64_t window_ms, struct error *err)
{
	int64_t time_ms;

	if (!parse_uuid7(key, &time_ms))
		return error_set(err, STATUS_INVALID_KEY, "the key is not a UUIDv7");
	if (time_ms - wall_ms > CLAIM_FUTURE_LIMIT_MS)
		return error_set(err, STATUS_INVALID_KEY,
				 "the key is %" G_GINT64_FORMAT
				 " ms in the future, the limit is %d ms",
				 time_ms - wall_ms, CLAIM_FUTURE_LIMIT_MS);
	if (wall_ms - time_ms >= window_ms)
		return error_set_unknown(err, STATUS_KEY_EXPIRED,
					 "the key is older than %" G_GINT64_FORMAT " ms",
					 window_ms);
	return STATUS_OK;
}

struct ident claims_key_digest(const char *key)
{
	char *lower = g_ascii_strdown(key, -1);
	struct ident digest = ident_digest(lower, strlen(lower));

	g_free(lower);
	return digest;
}

/* Returns the index of OWNER in the array of owners, adding it if it is missing. */
static uint32_t find_or_add_owner(struct claims *claims, const struct ident *owner)
{
	gpointer index;
	struct ident *key;

	if (g_hash_table_lookup_extended(claims->owner_indexes, owner, NULL, &index))
		return GPOINTER_TO_UINT(index);
	key = g_memdup2(owner, sizeof(*owner));
	g_hash_table_insert(claims->owner_indexes, key, GUINT_TO_POINTER(claims->owners->len));
	g_array_append_val(claims->owners, *owner);
	return claims->owners->len - 1;
}

struct claims *claims_new(const struct ident *incarnation, int64_t window_ms)
{
	struct claims *claims = g_new0(struct claims, 1);

	claims->window_ms = window_ms;
	claims->owners = g_array_new(FALSE, FALSE, sizeof(struct ident));
	claims->owner_indexes = g_hash_table_new_full(ident_hash, ident_equal_func, g_free, NULL);
	claims->batch = g_array_new(FALSE, FALSE, sizeof(struct ident));
	digest_map_init(&claims->map, sizeof(struct claim));
	find_or_add_owner(claims, incarnation);
	return claims;
}

void claims_free(struct claims *claims)
{
	if (!claims)
		return;
	digest_map_free(&claims->map);
	g_hash_table_destroy(claims->owner_indexes);
	g_array_free(claims->owners, TRUE);
	g_array_free(claims->batch, TRUE);
	g_free(claims);
}

enum claim_state claims_find(const struct claims *claims, const struct ident *key_digest,
			     struct ident *owner)
{
	const struct claim *claim = find_claim(claims, key_digest);

	if (!claim)
		return CLAIM_NONE;
	if (claim->state == CLAIM_OWNED_BY_OTHER && owner)
		*owner = g_array_index(claims->owners, struct ident, claim->owner);
	return (enum claim_state)claim->state;
}

static void add_to_batch(struct claims *claims, struct claim *claim)
{
	claim->state = CLAIM_PENDING;
	claim->in_batch = 1;
	g_array_append_val(claims->batch, claim->row.digest);
}

bool claims_request(struct claims *claims, const struct ident *key_digest)
{
	uint32_t number;

	if (digest_map_find(&claims->map, key_digest) != 0)
		return false;
	number = digest_map_add(&claims->map, key_digest);
	claim_at(claims, number)->time_ms = claims->latest_wall_ms;
	list_append(claims, &claims->requested, number);
	add_to_batch(claims, claim_at(claims, number));
	return true;
}

/* Moves up to CLAIM_BATCH_MAX_KEYS keys from the batch to a JSON array of hex digests. Keys that
 * were abandoned or decided in the meantime are left out. */
static json_t *take_batch_keys(struct claims *claims)
{
	json_t *keys = json_array();
	char hex[IDENT_HEX_BYTES];
	guint taken = 0;

	while (taken < claims->batch->len && json_array_size(keys) < CLAIM_BATCH_MAX_KEYS) {
		const struct ident *digest = &g_array_index(claims->batch, struct ident, taken++);
		struct claim *claim = find_claim(claims, digest);

		if (!claim || !claim->in_batch)
			continue;
		claim->in_batch = 0;
		claim->in_record = 1;
		json_array_append_new(keys, json_string(ident_format(digest, hex)));
	}
	g_array_remove_range(claims->batch, 0, taken);
	return keys;
}

char *claims_take_batch(struct claims *claims)
{
	const struct ident *own = &g_array_index(claims->owners, struct ident, OWN_INDEX);
	char hex[IDENT_HEX_BYTES];
	json_t *record;
	json_t *keys;
	char *text;

	if (claims->batch->len == 0)
		return NULL;
	keys = take_batch_keys(claims);
	if (json_array_size(keys) == 0) {
		json_decref(keys);
		return NULL;
	}
	record = json_pack("{s:i, s:s, s:o}", "version", RECORD_VERSION, "owner",
			   ident_format(own, hex), "keys", keys);
	text = json_dumps(record, JSON_COMPACT);
	json_decref(record);
	return text;
}

/* The content of a well-formed claim record. */
struct record {
	struct ident owner;
	struct ident *keys;
	size_t key_count;
};

static bool parse_ident(const json_t *value, struct ident *id)
{
	const char *text = json_string_value(value);

	return text && json_string_length(value) == IDENT_HEX_BYTES - 1 && ident_parse(text, id);
}

/* Fills RECORD from the JSON value ROOT. Returns false when ROOT is malformed or of an unknown
 * version. The caller frees the keys in either case. */
static bool parse_record(const json_t *root, struct record *record)
{
	const json_t *keys = json_object_get(root, "keys");
	const json_t *version = json_object_get(root, "version");
	const json_t *key;
	size_t i;

	*record = (struct record){.key_count = json_array_size(keys)};
	if (!json_is_integer(version) || json_integer_value(version) != RECORD_VERSION)
		return false;
	if (!json_is_array(keys) || !parse_ident(json_object_get(root, "owner"), &record->owner))
		return false;
	record->keys = g_new(struct ident, record->key_count);
	json_array_foreach (keys, i, key) {
		if (!parse_ident(key, &record->keys[i]))
			return false;
	}
	return true;
}

static void apply_key(struct claims *claims, const struct ident *digest, uint32_t owner,
		      claims_decided_callback decided, void *context)
{
	uint32_t number = digest_map_find(&claims->map, digest);
	struct claim *claim;
	bool pending;

	if (number == 0) {
		number = digest_map_add(&claims->map, digest);
		/* No request is waiting for this key. If this entry appended the record, the
		 * entry's claim has expired and was removed before the record was read.
		 * CLAIM_ABANDONED becomes CLAIM_UNSTARTED or CLAIM_OWNED_BY_OTHER below. */
		claim_at(claims, number)->state = CLAIM_ABANDONED;
	} else {
		claim = claim_at(claims, number);
		if (claim->state != CLAIM_PENDING && claim->state != CLAIM_ABANDONED)
			return;
		list_remove(claims, &claims->requested, number);
	}
	claim = claim_at(claims, number);
	pending = claim->state == CLAIM_PENDING;
	claim->owner = owner;
	claim->in_batch = 0;
	claim->time_ms = claims->latest_record_ms;
	if (owner != OWN_INDEX)
		claim->state = CLAIM_OWNED_BY_OTHER;
	else
		claim->state = pending ? CLAIM_OWNED : CLAIM_UNSTARTED;
	list_append(claims, &claims->recorded, number);
	if (pending && decided)
		decided(context, digest, owner == OWN_INDEX,
			&g_array_index(claims->owners, struct ident, owner));
}

enum status claims_apply_record(struct claims *claims, uint64_t offset, const char *record,
				size_t length, int64_t record_ms, claims_decided_callback decided,
				void *context, struct error *err)
{
	struct record parsed = {0};
	uint32_t owner;
	json_t *root;

	if (offset < claims->next_offset)
		return STATUS_OK;
	claims->next_offset = offset + 1;
	claims->latest_record_ms = MAX(claims->latest_record_ms, record_ms);
	root = json_loadb(record, length, 0, NULL);
	if (!parse_record(root, &parsed)) {
		json_decref(root);
		g_free(parsed.keys);
		return error_set(err, STATUS_INVALID_MESSAGE,
				 "the claim record at offset %" G_GUINT64_FORMAT
				 " is malformed or of an unknown version",
				 offset);
	}
	json_decref(root);
	owner = find_or_add_owner(claims, &parsed.owner);
	for (size_t i = 0; i < parsed.key_count; i++)
		apply_key(claims, &parsed.keys[i], owner, decided, context);
	g_free(parsed.keys);
	return STATUS_OK;
}

void claims_abandon(struct claims *claims, const struct ident *key_digest)
{
	uint32_t number = digest_map_find(&claims->map, key_digest);
	struct claim *claim = number ? claim_at(claims, number) : NULL;

	if (!claim || claim->state != CLAIM_PENDING)
		return;
	if (!claim->in_record) {
		remove_claim(claims, &claims->requested, number);
		return;
	}
	claim->state = CLAIM_ABANDONED;
	claim->in_batch = 0;
}

void claims_set_unstarted(struct claims *claims, const struct ident *key_digest)
{
	struct claim *claim = find_claim(claims, key_digest);

	if (claim && claim->state == CLAIM_OWNED)
		claim->state = CLAIM_UNSTARTED;
}

enum claim_state claims_resume(struct claims *claims, const struct ident *key_digest,
			       bool *startable)
{
	struct claim *claim = find_claim(claims, key_digest);

	*startable = false;
	if (!claim)
		return CLAIM_NONE;
	if (claim->state == CLAIM_UNSTARTED) {
		claim->state = CLAIM_OWNED;
		*startable = true;
	} else if (claim->state == CLAIM_ABANDONED) {
		add_to_batch(claims, claim);
	}
	return (enum claim_state)claim->state;
}

/* Removes the claims of LIST whose time is before OLDEST_KEPT_MS. Pending claims are given the
 * current time and moved to the end instead. Examines at most COUNT claims and returns how many of
 * COUNT are left. */
static uint32_t expire_list(struct claims *claims, struct claim_list *list, int64_t oldest_kept_ms,
			    uint32_t count)
{
	while (count > 0 && list->first != 0) {
		uint32_t number = list->first;
		struct claim *claim = claim_at(claims, number);

		if (claim->time_ms >= oldest_kept_ms)
			return count;
		count--;
		if (claim->state != CLAIM_PENDING) {
			remove_claim(claims, list, number);
			continue;
		}
		/* A request is waiting for this claim. The time of the claim is 0 when the key was
		 * requested before the first call of claims_expire passed the wall clock. */
		list_remove(claims, list, number);
		claim->time_ms = claims->latest_wall_ms;
		list_append(claims, list, number);
	}
	return count;
}

void claims_expire(struct claims *claims, int64_t wall_ms)
{
	int64_t oldest_kept_ms = wall_ms - claims->window_ms - EXTRA_RETENTION_MS;
	uint32_t count = MAX_EXPIRY_CHECKS;

	claims->latest_wall_ms = MAX(claims->latest_wall_ms, wall_ms);
	count = expire_list(claims, &claims->requested, oldest_kept_ms, count);
	expire_list(claims, &claims->recorded, oldest_kept_ms, count);
}

uint32_t claims_count(const struct claims *claims)
{
	return claims->map.count;
}
