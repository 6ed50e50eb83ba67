#include "config_state.h"

#include <stdlib.h>
#include <string.h>

struct config_state *config_state_new(void)
{
	struct config_state *state = g_new0(struct config_state, 1);

	state->document = json_object();
	state->recent_id_set = g_hash_table_new(ident_hash, ident_equal_func);
	return state;
}

void config_state_free(struct config_state *state)
{
	if (!state)
		return;
	json_decref(state->document);
	g_hash_table_destroy(state->recent_id_set);
	g_free(state);
}

void config_state_add_change(struct config_state *state, const struct config_change *change)
{
	state->newest_change_index = (state->newest_change_index + 1) % CONFIG_HISTORY_LENGTH;
	state->history[state->newest_change_index] = *change;
	if (state->history_count < CONFIG_HISTORY_LENGTH)
		state->history_count++;
}

const struct config_change *config_state_change_at(const struct config_state *state, uint32_t age)
{
	uint32_t index = state->newest_change_index + CONFIG_HISTORY_LENGTH - age;

	return &state->history[index % CONFIG_HISTORY_LENGTH];
}

bool config_state_add_id(struct config_state *state, const struct ident *id)
{
	struct ident *slot;

	if (g_hash_table_contains(state->recent_id_set, id))
		return false;
	state->newest_id_index = (state->newest_id_index + 1) % CONFIG_RECENT_IDS;
	slot = &state->recent_ids[state->newest_id_index];
	if (state->recent_id_count == CONFIG_RECENT_IDS)
		g_hash_table_remove(state->recent_id_set, slot);
	else
		state->recent_id_count++;
	*slot = *id;
	g_hash_table_add(state->recent_id_set, slot);
	return true;
}

static bool read_unsigned(const json_t *object, const char *key, uint64_t max, uint64_t *number)
{
	const json_t *value = json_object_get(object, key);

	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    (uint64_t)json_integer_value(value) > max)
		return false;
	*number = (uint64_t)json_integer_value(value);
	return true;
}

static bool read_id(const json_t *value, struct ident *id)
{
	return json_is_string(value) && json_string_length(value) == IDENT_HEX_BYTES - 1 &&
	       ident_parse(json_string_value(value), id);
}

static bool parse_patch(struct config_record *record)
{
	if (!read_id(json_object_get(record->root, "id"), &record->id) ||
	    !read_unsigned(record->root, "base", CONFIG_MAX_VERSION, &record->base_version))
		return false;
	record->patch = json_object_get(record->root, "patch");
	record->author = json_string_value(json_object_get(record->root, "author"));
	return record->patch != NULL;
}

struct config_record config_record_parse(const char *text, size_t length)
{
	struct config_record record = {.kind = CONFIG_RECORD_INVALID};
	const char *type;

	record.root = json_loadb(text, length, JSON_REJECT_DUPLICATES, NULL);
	type = json_string_value(json_object_get(record.root, "type"));
	if (!type)
		return record;
	record.time_ms = json_integer_value(json_object_get(record.root, "time_ms"));
	if (strcmp(type, "patch") == 0 && parse_patch(&record))
		record.kind = CONFIG_RECORD_PATCH;
	if (strcmp(type, "snapshot") == 0 &&
	    read_unsigned(record.root, "offset", INT64_MAX, &record.offset))
		record.kind = CONFIG_RECORD_SNAPSHOT;
	return record;
}

void config_record_clear(struct config_record *record)
{
	json_decref(record->root);
	record->root = NULL;
}

char *config_format_patch(const struct ident *id, uint64_t base, const json_t *patch,
			  const char *author, int64_t time_ms)
{
	char hex[IDENT_HEX_BYTES];
	json_t *record = json_object();
	char *text;

	json_object_set_new(record, "type", json_string("patch"));
	json_object_set_new(record, "id", json_string(ident_format(id, hex)));
	json_object_set_new(record, "base", json_integer((json_int_t)base));
	json_object_set(record, "patch", (json_t *)patch);
	if (author && g_utf8_validate(author, -1, NULL))
		json_object_set_new(record, "author", json_string(author));
	json_object_set_new(record, "time_ms", json_integer(time_ms));
	text = json_dumps(record, JSON_COMPACT);
	json_decref(record);
	return text;
}

static json_t *change_to_json(const struct config_change *change)
{
	json_t *object = json_object();

	json_object_set_new(object, "version", json_integer((json_int_t)change->version));
	json_object_set_new(object, "base", json_integer((json_int_t)change->base_version));
	json_object_set_new(object, "offset", json_integer((json_int_t)change->offset));
	json_object_set_new(object, "time_ms", json_integer(change->time_ms));
	json_object_set_new(object, "id", json_string(change->id));
	json_object_set_new(object, "author", json_string(change->author));
	json_object_set_new(object, "status", json_string(status_name(change->status)));
	return object;
}

static bool change_from_json(const json_t *object, struct config_change *change)
{
	const char *author = json_string_value(json_object_get(object, "author"));
	const char *status = json_string_value(json_object_get(object, "status"));
	struct ident id;

	*change = (struct config_change){0};
	if (!author || strlen(author) >= sizeof(change->author) || !status)
		return false;
	if (!read_unsigned(object, "version", CONFIG_MAX_VERSION, &change->version) ||
	    !read_unsigned(object, "base", CONFIG_MAX_VERSION, &change->base_version) ||
	    !read_unsigned(object, "offset", INT64_MAX, &change->offset) ||
	    !read_id(json_object_get(object, "id"), &id))
		return false;
	ident_format(&id, change->id);
	g_strlcpy(change->author, author, sizeof(change->author));
	change->time_ms = json_integer_value(json_object_get(object, "time_ms"));
	change->status = status_from_name(status);
	change->accepted = change->status == STATUS_OK;
	return true;
}

/* Returns a snapshot record of STATE, which includes every record below OFFSET. The history and the
 * ids are written oldest first, the order in which load_lists() adds them. */
static char *format_snapshot(const struct config_state *state, uint64_t offset, int64_t time_ms)
{
	json_t *record = json_object();
	json_t *history = json_array();
	json_t *ids = json_array();
	char *text;

	for (uint32_t age = state->history_count; age-- > 0;)
		json_array_append_new(history, change_to_json(config_state_change_at(state, age)));
	for (uint32_t age = state->recent_id_count; age-- > 0;) {
		uint32_t index = state->newest_id_index + CONFIG_RECENT_IDS - age;
		char hex[IDENT_HEX_BYTES];

		ident_format(&state->recent_ids[index % CONFIG_RECENT_IDS], hex);
		json_array_append_new(ids, json_string(hex));
	}
	json_object_set_new(record, "type", json_string("snapshot"));
	json_object_set_new(record, "offset", json_integer((json_int_t)offset));
	json_object_set_new(record, "version", json_integer((json_int_t)state->version));
	json_object_set(record, "document", state->document);
	json_object_set_new(record, "history", history);
	json_object_set_new(record, "ids", ids);
	json_object_set_new(record, "time_ms", json_integer(time_ms));
	text = json_dumps(record, JSON_COMPACT);
	json_decref(record);
	return text;
}

char *config_format_snapshot(const struct config_replica *replica, int64_t time_ms)
{
	const struct config_state *state = config_stream_state(replica);

	return state ? format_snapshot(state, config_next_offset(replica), time_ms) : NULL;
}

static bool load_lists(struct config_state *state, const json_t *history, const json_t *ids)
{
	size_t index;
	json_t *item;

	if (!json_is_array(history) || json_array_size(history) > CONFIG_HISTORY_LENGTH ||
	    !json_is_array(ids) || json_array_size(ids) > CONFIG_RECENT_IDS)
		return false;
	json_array_foreach ((json_t *)history, index, item) {
		struct config_change change;

		if (!change_from_json(item, &change))
			return false;
		config_state_add_change(state, &change);
	}
	json_array_foreach ((json_t *)ids, index, item) {
		struct ident id;

		if (!read_id(item, &id) || !config_state_add_id(state, &id))
			return false;
	}
	return true;
}

struct config_state *config_state_load(const struct config_record *snapshot)
{
	json_t *document = json_object_get(snapshot->root, "document");
	struct config_state *state = config_state_new();

	if (read_unsigned(snapshot->root, "version", CONFIG_MAX_VERSION, &state->version) &&
	    config_validate(document, NULL) == STATUS_OK &&
	    load_lists(state, json_object_get(snapshot->root, "history"),
		       json_object_get(snapshot->root, "ids"))) {
		json_decref(state->document);
		state->document = json_incref(document);
		return state;
	}
	config_state_free(state);
	return NULL;
}
