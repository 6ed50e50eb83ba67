#include "node_config.h"

#include "config_document.h"
#include "event.h"
#include "node_evacuations.h"

enum {
	US_PER_MS = 1000,
	/*
	 * Parts of the time limit for a new version: how long the store may hold a read open until
	 * there is a new record, and how long its answer may take after that. An open connection
	 * may deliver nothing for good, which only the timeout shows. The rest of the limit is left
	 * for the reads that follow, of which one may be lost as well.
	 */
	POLL_WAIT_PERCENT = 40,
	POLL_ANSWER_PERCENT = 30,
	PERCENT = 100,
	/*
	 * Load pattern: all processes start while the store does not answer, and none can serve
	 * requests before it has read the configuration. An unanswered read fails only after its
	 * timeout of one second. The reads of the newest version therefore overlap: another one is
	 * started at this interval until one succeeds. */
	NEWEST_READ_INTERVAL_MS = 250
};

/* A read in progress. */
struct config_read {
	struct node_config *config;
	uint32_t sequence; /* of reads that it belongs to */
};

uint64_t node_config_version(const struct node_config *config)
{
	return config->table ? config->table->version : 0;
}

int64_t node_config_unconfirmed_ms(const struct node_config *config)
{
	return config->confirmed_us == 0
		       ? -1
		       : (config->loop->now_us - config->confirmed_us) / US_PER_MS;
}

/* Applies the document TEXT if its version is higher than the one in force. Returns its version, or
 * 0 when it is invalid. */
static uint64_t apply_document(struct node_config *config, const char *text, size_t length,
			       const char *source)
{
	struct error err;
	struct route_table *table;
	uint64_t version;

	if (config_document_parse(text, length, &table, &err) != STATUS_OK) {
		event_log(EVENT_CONFIG_REJECTED, EV_S("source", source),
			  EV_S("reason", err.message));
		return 0;
	}
	version = table->version;
	if (version <= node_config_version(config)) {
		route_table_free(table);
		return version;
	}
	route_table_free(config->table);
	if (config->document)
		g_bytes_unref(config->document);
	config->table = table;
	config->document = g_bytes_new(text, length);
	event_log(EVENT_CONFIG_APPLIED, EV_I("version", version), EV_I("routes", table->count),
		  EV_S("source", source),
		  EV_I("unconfirmed_ms", node_config_unconfirmed_ms(config)));
	config->applied(config->context, table);
	return version;
}

bool node_config_apply(struct node_config *config, const char *text, size_t length,
		       const char *source)
{
	return apply_document(config, text, length, source) != 0;
}

void node_config_confirm(struct node_config *config)
{
	config->confirmed_us = config->loop->now_us;
}

/* Applies the document with the highest version in RESULT. That is usually the last one, so the
 * others are read after it; a write that the store has carried out late puts an older one behind.
 */
static void apply_records(struct node_config *config, const struct store_result *result)
{
	uint64_t newest_record = 0;

	for (size_t i = result->count; i-- > 0;) {
		const struct store_record *record = &result->records[i];
		uint64_t version;

		if (!store_record_has_key(record, STORE_KEY_CONFIG))
			continue;
		version = apply_document(config, record->value, record->value_length, "store");
		if (newest_record == 0)
			newest_record = version;
	}
	if (newest_record != 0 && newest_record < node_config_version(config))
		event_log(EVENT_CONFIG_OLDER, EV_I("version", newest_record),
			  EV_I("version_in_force", node_config_version(config)),
			  EV_S("source", "store"));
}

static void update_store_state(struct node_config *config, const struct store_result *result)
{
	bool unavailable = result->status == STATUS_LOG_UNAVAILABLE;

	if (unavailable && !config->store_unavailable)
		event_log(EVENT_LOG_UNAVAILABLE, EV_S("topic", STORE_TOPIC_OPERATOR),
			  EV_S("reason", result->reason),
			  EV_I("unconfirmed_ms", node_config_unconfirmed_ms(config)));
	if (!unavailable && config->store_unavailable) {
		event_log(EVENT_LOG_AVAILABLE, EV_S("topic", STORE_TOPIC_OPERATOR));
		config->store_recovered(config->context);
	}
	config->store_unavailable = unavailable;
}

static struct config_read *read_new(struct node_config *config)
{
	struct config_read *read = g_new(struct config_read, 1);

	*read = (struct config_read){.config = config, .sequence = config->read_sequence};
	return read;
}

/* Ends READ and applies its records, those of evacuated zones by APPLY_EVACUATIONS. Returns whether
 * reading has not continued in another way since READ began, so that the caller must continue it.
 */
static bool finish_read(struct config_read *read, const struct store_result *result,
			bool (*apply_evacuations)(struct evacuations *evacuations,
						  const struct store_result *result))
{
	struct node_config *config = read->config;
	bool is_current = read->sequence == config->read_sequence;

	g_free(read);
	if (is_current)
		update_store_state(config, result);
	if (result->status == STATUS_OK) {
		/* First, so that no task is placed by a new configuration alone. */
		if (apply_evacuations(config->evacuations, result))
			config->evacuations_read(config->context);
		apply_records(config, result);
		node_config_confirm(config);
	}
	return is_current;
}

static void poll_records(struct node_config *config, uint64_t offset);

static void on_poll_done(void *context, const struct store_result *result)
{
	struct config_read *read = context;
	struct node_config *config = read->config;

	if (!finish_read(read, result, node_evacuations_apply_records))
		return;
	if (result->status == STATUS_OK)
		poll_records(config, result->next);
	else
		node_config_read_newest(config);
}

/* Waits at the store for the records from OFFSET on. */
static void poll_records(struct node_config *config, uint64_t offset)
{
	store_read(config->store, STORE_TOPIC_OPERATOR, offset,
		   config->apply_limit_ms * POLL_WAIT_PERCENT / PERCENT,
		   config->apply_limit_ms * POLL_ANSWER_PERCENT / PERCENT, on_poll_done,
		   read_new(config));
}

static void on_newest_read(void *context, const struct store_result *result)
{
	struct config_read *read = context;
	struct node_config *config = read->config;

	if (!finish_read(read, result, node_evacuations_apply_newest) ||
	    result->status != STATUS_OK)
		return;
	timer_cancel(&config->loop->timers, config->newest_read_timer);
	/* The answers to overlapping reads must not start further polls. */
	config->read_sequence++;
	poll_records(config, result->next);
}

static void start_newest_read(void *context, int64_t now_us)
{
	struct node_config *config = context;

	config->newest_read_us = now_us;
	store_read_newest(config->store, STORE_TOPIC_OPERATOR, on_newest_read, read_new(config));
}

void node_config_read_newest(struct node_config *config)
{
	/* The interval also holds when each poll fails at once after a successful read. */
	int64_t earliest_us = config->newest_read_us + NEWEST_READ_INTERVAL_MS * US_PER_MS;
	int64_t first_us = config->newest_read_us == 0 ? config->loop->now_us
						       : MAX(config->loop->now_us, earliest_us);

	timer_cancel(&config->loop->timers, config->newest_read_timer);
	config->read_sequence++;
	config->newest_read_timer =
		timer_subscribe(&config->loop->timers, first_us,
				NEWEST_READ_INTERVAL_MS * US_PER_MS, start_newest_read, config);
}
