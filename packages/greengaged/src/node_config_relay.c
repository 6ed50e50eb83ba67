#include "node_config_relay.h"

#include <glib.h>

#include "config_document.h"
#include "node_evacuations.h"

/* A read in progress. */
struct relayed_read {
	struct node_config_relay *relay;
	uint32_t entry;
	uint64_t version_in_force;
};

static void on_read_done(void *context, const struct store_result *result)
{
	struct relayed_read *read = context;
	struct node_config_relay *relay = read->relay;
	const char *document = NULL;
	size_t length = 0;
	uint64_t version = 0;

	if (result->status == STATUS_OK &&
	    node_evacuations_apply_newest(relay->evacuations, result))
		relay->evacuations_read(relay->context);
	for (size_t i = 0; result->status == STATUS_OK && i < result->count; i++) {
		const struct store_record *record = &result->records[i];

		if (!store_record_has_key(record, STORE_KEY_CONFIG))
			continue;
		document = record->value;
		length = record->value_length;
		version = config_document_version(document, length);
	}
	if (version <= read->version_in_force)
		document = NULL;
	relay->answer(relay->context, read->entry, version, document, length);
	g_free(read);
}

void node_config_relay_read(struct node_config_relay *relay, uint32_t entry,
			    uint64_t version_in_force)
{
	struct relayed_read *read = g_new(struct relayed_read, 1);

	*read = (struct relayed_read){
		.relay = relay, .entry = entry, .version_in_force = version_in_force};
	store_read_newest(relay->store, STORE_TOPIC_OPERATOR, on_read_done, read);
}
