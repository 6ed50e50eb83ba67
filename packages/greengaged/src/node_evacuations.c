#include "node_evacuations.h"

#include <jansson.h>
#include <string.h>

#include "core_defs.h"
#include "event.h"
#include "store_page.h"

/* Logs the set if it has changed since it was SET_CHANGES. */
static void log_changes(const struct evacuations *evacuations, uint64_t set_changes,
			const char *source)
{
	char *zones;

	if (evacuations->set_changes == set_changes)
		return;
	zones = evacuations_format(evacuations);
	event_log(EVENT_ZONES_EVACUATED, EV_S("zones", zones),
		  EV_I("version", (int64_t)evacuations->version), EV_S("source", source));
	g_free(zones);
}

/* Returns whether RECORD evacuates a zone or takes one back, whose name it stores in ZONE. */
static bool get_zone(const struct store_record *record, char zone[NAME_BYTES])
{
	bool valid = false;
	char *key;

	if (!store_record_get_name(record, STORE_KEY_EVACUATE, zone, NAME_BYTES, &valid))
		return false;
	if (valid)
		return true;
	key = store_printable(record->key, record->key_length);
	event_log(EVENT_RECORD_INVALID, EV_S("topic", STORE_TOPIC_OPERATOR), EV_S("record", key),
		  EV_S("reason", "the key names no zone"), EV_I("records", 1));
	g_free(key);
	return false;
}

bool node_evacuations_apply_newest(struct evacuations *evacuations,
				   const struct store_result *result)
{
	GPtrArray *zones;
	uint64_t set_changes = evacuations->set_changes;
	bool is_newer;

	/* Overlapping reads bring the same list again. */
	if (result->next <= evacuations->version)
		return false;
	zones = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; i < result->count; i++) {
		char zone[NAME_BYTES];

		if (get_zone(&result->records[i], zone))
			g_ptr_array_add(zones, g_strdup(zone));
	}
	/* What is left out may be the record of a zone. */
	is_newer = (result->incomplete ? evacuations_extend : evacuations_replace)(
		evacuations, result->next, (const char *const *)zones->pdata, zones->len);
	g_ptr_array_free(zones, TRUE);
	log_changes(evacuations, set_changes, "store");
	return is_newer;
}

bool node_evacuations_apply_records(struct evacuations *evacuations,
				    const struct store_result *result)
{
	uint64_t set_changes = evacuations->set_changes;
	uint64_t version = evacuations->version;

	for (size_t i = 0; i < result->count; i++) {
		const struct store_record *record = &result->records[i];
		char zone[NAME_BYTES];

		if (record->offset >= version && get_zone(record, zone))
			evacuations_apply(evacuations, record->offset, zone, record->value != NULL);
	}
	evacuations_advance(evacuations, result->next);
	log_changes(evacuations, set_changes, "store");
	return evacuations->version > version;
}

bool node_evacuations_receive(struct evacuations *evacuations, const Ggd__Evacuations *message,
			      const char *source)
{
	uint64_t set_changes = evacuations->set_changes;

	if (!message || message->n_zones > EVACUATED_ZONES_MAX)
		return false;
	for (size_t i = 0; i < message->n_zones; i++) {
		if (strlen(message->zones[i]) >= NAME_BYTES)
			return false;
	}
	if (!evacuations_replace(evacuations, message->version, (const char *const *)message->zones,
				 message->n_zones))
		return false;
	log_changes(evacuations, set_changes, source);
	return true;
}

char *node_evacuations_to_json(const struct evacuations *evacuations)
{
	json_t *zones = json_array();
	json_t *document;
	char *text;

	for (guint i = 0; i < evacuations->zones->len; i++) {
		char *name = g_utf8_make_valid(evacuations->zones->pdata[i], -1);

		json_array_append_new(zones, json_string(name));
		g_free(name);
	}
	document = json_pack("{s:I, s:o}", "version", (json_int_t)evacuations->version, "zones",
			     zones);
	text = json_dumps(document, JSON_COMPACT);
	json_decref(document);
	return text;
}

void node_evacuations_fill(const struct evacuations *evacuations, Ggd__Evacuations *message)
{
	message->version = evacuations->version;
	message->zones = (char **)evacuations->zones->pdata;
	message->n_zones = evacuations->zones->len;
}
