#include "config.h"

#include <string.h>

#include "config_state.h"

/* A record read while the replica waits for a snapshot. */
struct buffered_record {
	uint64_t offset;
	size_t length;
	char text[];
};

struct config_replica {
	struct config_state *stream_state; /* NULL while waiting for a snapshot */
	uint64_t next_offset;		   /* offset of the next record to read */
	/* Every record from this offset up to next_offset is included in the stream state or was
	 * buffered. */
	uint64_t first_offset;
	/* The state with the highest version received from a peer, or the effective state kept when
	 * records expired unread. */
	uint64_t fallback_version;
	json_t *fallback_document; /* NULL when there is none */
	GQueue buffer;		   /* queue of struct buffered_record, lowest offset first */
	size_t buffer_bytes;
	bool has_snapshot;
	uint64_t snapshot_offset; /* offset of the newest usable snapshot read */
};

struct config_replica *config_replica_new(void)
{
	struct config_replica *replica = g_new0(struct config_replica, 1);

	replica->stream_state = config_state_new();
	g_queue_init(&replica->buffer);
	return replica;
}

static void clear_buffer(struct config_replica *replica)
{
	g_queue_clear_full(&replica->buffer, g_free);
	replica->buffer_bytes = 0;
}

void config_replica_free(struct config_replica *replica)
{
	if (!replica)
		return;
	clear_buffer(replica);
	config_state_free(replica->stream_state);
	json_decref(replica->fallback_document);
	g_free(replica);
}

static bool stream_state_is_effective(const struct config_replica *replica)
{
	return replica->stream_state &&
	       (!replica->fallback_document ||
		replica->stream_state->version >= replica->fallback_version);
}

uint64_t config_version(const struct config_replica *replica)
{
	return stream_state_is_effective(replica) ? replica->stream_state->version
						  : replica->fallback_version;
}

const json_t *config_document(const struct config_replica *replica)
{
	return stream_state_is_effective(replica) ? replica->stream_state->document
						  : replica->fallback_document;
}

bool config_is_synced(const struct config_replica *replica)
{
	return replica->stream_state != NULL;
}

uint64_t config_last_snapshot_offset(const struct config_replica *replica, bool *exists)
{
	*exists = replica->has_snapshot;
	return replica->snapshot_offset;
}

uint64_t config_next_offset(const struct config_replica *replica)
{
	return replica->next_offset;
}

const struct config_state *config_stream_state(const struct config_replica *replica)
{
	return replica->stream_state;
}

uint32_t config_history(const struct config_replica *replica, struct config_change *out,
			uint32_t capacity)
{
	uint32_t count =
		replica->stream_state ? MIN(replica->stream_state->history_count, capacity) : 0;

	for (uint32_t age = 0; age < count; age++)
		out[age] = *config_state_change_at(replica->stream_state, age);
	return count;
}

bool config_find_change(const struct config_replica *replica, const struct ident *id,
			struct config_change *out)
{
	uint32_t count = replica->stream_state ? replica->stream_state->history_count : 0;
	char hex[IDENT_HEX_BYTES];

	ident_format(id, hex);
	for (uint32_t age = 0; age < count; age++) {
		const struct config_change *change =
			config_state_change_at(replica->stream_state, age);

		if (strcmp(change->id, hex) != 0)
			continue;
		*out = *change;
		return true;
	}
	return false;
}

json_t *config_merge(const json_t *target, const json_t *patch)
{
	json_t *result;
	const char *key;
	json_t *value;

	if (!json_is_object(patch))
		return json_incref((json_t *)patch);
	/* The copy is shallow: unchanged members are shared between versions. */
	result = json_is_object(target) ? json_copy((json_t *)target) : json_object();
	json_object_foreach ((json_t *)patch, key, value) {
		if (json_is_null(value))
			json_object_del(result, key);
		else
			json_object_set_new(result, key,
					    config_merge(json_object_get(target, key), value));
	}
	return result;
}

static enum status try_patch(const struct config_state *state, const struct config_record *record,
			     json_t **document, struct error *err)
{
	enum status status;

	if (record->base_version != state->version || state->version >= CONFIG_MAX_VERSION)
		return error_set(err, STATUS_VERSION_CONFLICT,
				 "base %llu is not the current version %llu",
				 (unsigned long long)record->base_version,
				 (unsigned long long)state->version);
	*document = config_merge(state->document, record->patch);
	status = config_validate(*document, err);
	if (status != STATUS_OK)
		json_decref(*document);
	return status;
}

/* Copies AUTHOR to CHANGE, truncated at a UTF-8 character boundary and with control characters
 * replaced by "?". */
static void copy_author(struct config_change *change, const char *author)
{
	const char *end;

	if (!author)
		return;
	g_strlcpy(change->author, author, sizeof(change->author));
	if (!g_utf8_validate(change->author, -1, &end))
		change->author[end - change->author] = '\0';
	for (char *c = change->author; *c; c++) {
		if ((unsigned char)*c < ' ' || *c == '\x7f')
			*c = '?';
	}
}

static enum config_effect apply_patch(struct config_state *state, uint64_t offset,
				      const struct config_record *record, struct error *err)
{
	struct config_change change = {
		.base_version = record->base_version, .offset = offset, .time_ms = record->time_ms};
	json_t *document = NULL;

	if (!config_state_add_id(state, &record->id))
		return CONFIG_EFFECT_NONE;
	change.status = try_patch(state, record, &document, err);
	change.accepted = change.status == STATUS_OK;
	if (change.accepted) {
		json_decref(state->document);
		state->document = document;
		state->version++;
	}
	change.version = state->version;
	ident_format(&record->id, change.id);
	copy_author(&change, record->author);
	config_state_add_change(state, &change);
	return change.accepted ? CONFIG_EFFECT_APPLIED : CONFIG_EFFECT_REJECTED;
}

/* Keeps a record until a snapshot arrives. Beyond CONFIG_BUFFER_MAX_BYTES the oldest records are
 * dropped and treated as expired. */
static void buffer_record(struct config_replica *replica, uint64_t offset, const char *text,
			  size_t length)
{
	struct buffered_record *item = g_malloc(sizeof(*item) + length);

	item->offset = offset;
	item->length = length;
	memcpy(item->text, text, length);
	g_queue_push_tail(&replica->buffer, item);
	replica->buffer_bytes += length;
	while (replica->buffer_bytes > CONFIG_BUFFER_MAX_BYTES) {
		item = g_queue_pop_head(&replica->buffer);
		replica->first_offset = item->offset + 1;
		replica->buffer_bytes -= item->length;
		g_free(item);
	}
}

static void apply_buffer(struct config_replica *replica, uint64_t from)
{
	struct buffered_record *item;

	while ((item = g_queue_pop_head(&replica->buffer)) != NULL) {
		struct config_record record = config_record_parse(item->text, item->length);

		if (item->offset >= from && record.kind == CONFIG_RECORD_PATCH)
			apply_patch(replica->stream_state, item->offset, &record, NULL);
		config_record_clear(&record);
		g_free(item);
	}
	replica->buffer_bytes = 0;
}

/*
 * Reads a snapshot. A synced replica does not load the state in the snapshot, because it has
 * reached the same state by applying the records; it only checks that the snapshot can be loaded
 * and notes its offset. A replica without stream state loads it and then needs every record from
 * the offset of the snapshot on. That offset is lower than the position of the snapshot record in
 * the log when other records were appended after the snapshot was made and before it was appended.
 */
static enum config_effect apply_snapshot(struct config_replica *replica, uint64_t offset,
					 const struct config_record *record)
{
	struct config_state *state;

	if (record->offset > offset || record->offset < replica->first_offset)
		return CONFIG_EFFECT_NONE;
	state = config_state_load(record);
	if (!state)
		return CONFIG_EFFECT_NONE;
	if (replica->stream_state) {
		config_state_free(state);
	} else {
		replica->stream_state = state;
		apply_buffer(replica, record->offset);
	}
	replica->snapshot_offset = replica->has_snapshot
					   ? MAX(replica->snapshot_offset, record->offset)
					   : record->offset;
	replica->has_snapshot = true;
	return CONFIG_EFFECT_SNAPSHOT;
}

static enum config_effect apply_parsed(struct config_replica *replica, uint64_t offset,
				       const struct config_record *record, struct error *err)
{
	switch (record->kind) {
	case CONFIG_RECORD_PATCH:
		return apply_patch(replica->stream_state, offset, record, err);
	case CONFIG_RECORD_SNAPSHOT:
		return apply_snapshot(replica, offset, record);
	case CONFIG_RECORD_INVALID:
		break;
	}
	return CONFIG_EFFECT_NONE;
}

enum config_effect config_replica_apply(struct config_replica *replica, uint64_t offset,
					const char *record, size_t length, struct ident *id,
					struct error *err)
{
	enum config_effect effect = CONFIG_EFFECT_NONE;
	struct config_record parsed;

	*id = (struct ident){0};
	if (offset < replica->next_offset)
		return CONFIG_EFFECT_NONE;
	config_replica_expire_below(replica, offset);
	parsed = config_record_parse(record, length);
	*id = parsed.id;
	if (!replica->stream_state && parsed.kind == CONFIG_RECORD_PATCH)
		buffer_record(replica, offset, record, length);
	else
		effect = apply_parsed(replica, offset, &parsed, err);
	replica->next_offset = offset + 1;
	config_record_clear(&parsed);
	return effect;
}

static void set_fallback_state(struct config_replica *replica, uint64_t version, json_t *document)
{
	json_decref(replica->fallback_document);
	replica->fallback_version = version;
	replica->fallback_document = json_incref(document);
}

void config_replica_expire_below(struct config_replica *replica, uint64_t first_offset)
{
	if (first_offset <= replica->next_offset)
		return;
	/* The stream state can no longer be updated, but the effective state is kept. */
	if (stream_state_is_effective(replica))
		set_fallback_state(replica, replica->stream_state->version,
				   replica->stream_state->document);
	config_state_free(replica->stream_state);
	replica->stream_state = NULL;
	clear_buffer(replica);
	replica->has_snapshot = false;
	replica->first_offset = first_offset;
	replica->next_offset = first_offset;
}

bool config_replica_adopt(struct config_replica *replica, uint64_t version, const char *document,
			  struct error *err)
{
	json_t *parsed;
	bool valid;

	if (version <= config_version(replica) || version > CONFIG_MAX_VERSION) {
		error_set(err, STATUS_VERSION_CONFLICT,
			  "version %llu offered, accepted: above %llu", (unsigned long long)version,
			  (unsigned long long)config_version(replica));
		return false;
	}
	parsed = json_loads(document, JSON_REJECT_DUPLICATES, NULL);
	valid = config_validate(parsed, err) == STATUS_OK;
	if (valid)
		set_fallback_state(replica, version, parsed);
	json_decref(parsed);
	return valid;
}
