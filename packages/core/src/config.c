#include "config.h"

#include <string.h>

#include "config_state.h"

/* A record read while the fold waits for a snapshot. */
struct buffered {
	uint64_t offset;
	size_t length;
	char text[];
};

struct config_fold {
	struct config_state *stream; /* NULL while the fold waits for a snapshot */
	uint64_t next;		     /* offset of the next record to read */
	uint64_t first;		     /* every record from here to next is folded or buffered */
	uint64_t peer_version;
	json_t *peer_document; /* NULL when no peer's state was adopted */
	GQueue buffer;
	size_t buffer_bytes;
	bool has_snapshot;
	uint64_t snapshot_offset;
};

struct config_fold *config_fold_new(void)
{
	struct config_fold *fold = g_new0(struct config_fold, 1);

	fold->stream = config_state_new();
	g_queue_init(&fold->buffer);
	return fold;
}

static void clear_buffer(struct config_fold *fold)
{
	g_queue_clear_full(&fold->buffer, g_free);
	fold->buffer_bytes = 0;
}

void config_fold_free(struct config_fold *fold)
{
	if (!fold)
		return;
	clear_buffer(fold);
	config_state_free(fold->stream);
	json_decref(fold->peer_document);
	g_free(fold);
}

static bool stream_in_force(const struct config_fold *fold)
{
	return fold->stream &&
	       (!fold->peer_document || fold->stream->version >= fold->peer_version);
}

uint64_t config_version(const struct config_fold *fold)
{
	return stream_in_force(fold) ? fold->stream->version : fold->peer_version;
}

const json_t *config_document(const struct config_fold *fold)
{
	return stream_in_force(fold) ? fold->stream->document : fold->peer_document;
}

bool config_is_synced(const struct config_fold *fold)
{
	return fold->stream != NULL;
}

uint64_t config_last_snapshot(const struct config_fold *fold, bool *exists)
{
	*exists = fold->has_snapshot;
	return fold->snapshot_offset;
}

uint64_t config_next_offset(const struct config_fold *fold)
{
	return fold->next;
}

const struct config_state *config_stream_state(const struct config_fold *fold)
{
	return fold->stream;
}

uint32_t config_history(const struct config_fold *fold, struct config_change *out,
			uint32_t capacity)
{
	uint32_t count = fold->stream ? MIN(fold->stream->history_count, capacity) : 0;

	for (uint32_t age = 0; age < count; age++)
		out[age] = *config_state_change(fold->stream, age);
	return count;
}

bool config_find_change(const struct config_fold *fold, const struct ident *id,
			struct config_change *out)
{
	uint32_t count = fold->stream ? fold->stream->history_count : 0;
	char hex[IDENT_HEX_BYTES];

	ident_format(id, hex);
	for (uint32_t age = 0; age < count; age++) {
		const struct config_change *change = config_state_change(fold->stream, age);

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
	/* A shallow copy: members that the patch leaves alone are shared between versions. */
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

	if (record->base != state->version || state->version >= CONFIG_MAX_VERSION)
		return error_set(
			err, STATUS_VERSION_CONFLICT, "base %llu is not the current version %llu",
			(unsigned long long)record->base, (unsigned long long)state->version);
	*document = config_merge(state->document, record->patch);
	status = config_validate(*document, err);
	if (status != STATUS_OK)
		json_decref(*document);
	return status;
}

/* Copies AUTHOR, cut between two characters when it is too long and without control characters. */
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

static enum config_effect fold_patch(struct config_state *state, uint64_t offset,
				     const struct config_record *record, struct error *err)
{
	struct config_change change = {
		.base = record->base, .offset = offset, .time_ms = record->time_ms};
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

/* Holds a record until a snapshot arrives. Beyond the limit the oldest go, as if they had expired.
 */
static void buffer_record(struct config_fold *fold, uint64_t offset, const char *text,
			  size_t length)
{
	struct buffered *item = g_malloc(sizeof(*item) + length);

	item->offset = offset;
	item->length = length;
	memcpy(item->text, text, length);
	g_queue_push_tail(&fold->buffer, item);
	fold->buffer_bytes += length;
	while (fold->buffer_bytes > CONFIG_BUFFER_MAX_BYTES) {
		item = g_queue_pop_head(&fold->buffer);
		fold->first = item->offset + 1;
		fold->buffer_bytes -= item->length;
		g_free(item);
	}
}

static void fold_buffer(struct config_fold *fold, uint64_t from)
{
	struct buffered *item;

	while ((item = g_queue_pop_head(&fold->buffer)) != NULL) {
		struct config_record record = config_record_parse(item->text, item->length);

		if (item->offset >= from && record.kind == CONFIG_RECORD_PATCH)
			fold_patch(fold->stream, item->offset, &record, NULL);
		config_record_clear(&record);
		g_free(item);
	}
	fold->buffer_bytes = 0;
}

/*
 * A synced fold takes nothing from a snapshot: it reached the same state itself. A fold without
 * state needs every record from the offset that the snapshot represents, which lies before the
 * snapshot's own offset when other records were appended in between.
 */
static enum config_effect fold_snapshot(struct config_fold *fold, uint64_t offset,
					const struct config_record *record)
{
	struct config_state *state;

	if (record->offset > offset || record->offset < fold->first)
		return CONFIG_EFFECT_NONE;
	state = config_state_load(record);
	if (!state)
		return CONFIG_EFFECT_NONE;
	if (fold->stream) {
		config_state_free(state);
	} else {
		fold->stream = state;
		fold_buffer(fold, record->offset);
	}
	fold->snapshot_offset =
		fold->has_snapshot ? MAX(fold->snapshot_offset, record->offset) : record->offset;
	fold->has_snapshot = true;
	return CONFIG_EFFECT_SNAPSHOT;
}

static enum config_effect fold_parsed(struct config_fold *fold, uint64_t offset,
				      const struct config_record *record, struct error *err)
{
	switch (record->kind) {
	case CONFIG_RECORD_PATCH:
		return fold_patch(fold->stream, offset, record, err);
	case CONFIG_RECORD_SNAPSHOT:
		return fold_snapshot(fold, offset, record);
	case CONFIG_RECORD_INVALID:
		break;
	}
	return CONFIG_EFFECT_NONE;
}

enum config_effect config_fold_record(struct config_fold *fold, uint64_t offset, const char *record,
				      size_t length, struct ident *id, struct error *err)
{
	enum config_effect effect = CONFIG_EFFECT_NONE;
	struct config_record parsed;

	*id = (struct ident){0};
	if (offset < fold->next)
		return CONFIG_EFFECT_NONE;
	config_fold_truncated(fold, offset);
	parsed = config_record_parse(record, length);
	*id = parsed.id;
	if (!fold->stream && parsed.kind == CONFIG_RECORD_PATCH)
		buffer_record(fold, offset, record, length);
	else
		effect = fold_parsed(fold, offset, &parsed, err);
	fold->next = offset + 1;
	config_record_clear(&parsed);
	return effect;
}

static void take_peer_state(struct config_fold *fold, uint64_t version, json_t *document)
{
	json_decref(fold->peer_document);
	fold->peer_version = version;
	fold->peer_document = json_incref(document);
}

void config_fold_truncated(struct config_fold *fold, uint64_t first_offset)
{
	if (first_offset <= fold->next)
		return;
	/* The fold of the stream ends here, but what it reached stays in force. */
	if (stream_in_force(fold))
		take_peer_state(fold, fold->stream->version, fold->stream->document);
	config_state_free(fold->stream);
	fold->stream = NULL;
	clear_buffer(fold);
	fold->has_snapshot = false;
	fold->first = first_offset;
	fold->next = first_offset;
}

bool config_fold_adopt(struct config_fold *fold, uint64_t version, const char *document,
		       struct error *err)
{
	json_t *parsed;
	bool valid;

	if (version <= config_version(fold) || version > CONFIG_MAX_VERSION) {
		error_set(err, STATUS_VERSION_CONFLICT,
			  "version %llu offered, accepted: above %llu", (unsigned long long)version,
			  (unsigned long long)config_version(fold));
		return false;
	}
	parsed = json_loads(document, JSON_REJECT_DUPLICATES, NULL);
	valid = config_validate(parsed, err) == STATUS_OK;
	if (valid)
		take_peer_state(fold, version, parsed);
	json_decref(parsed);
	return valid;
}
