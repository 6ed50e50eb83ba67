#include "node_config.h"

#include <string.h>

#include "config_document.h"
#include "event.h"

enum {
	US_PER_MS = 1000,
	/* Time for which the store may hold a read open until there is a new record. The read times
	 * out 0.6 s later, early enough for a new configuration to be in force in time even when a
	 * connection stops delivering data without being closed. */
	LONG_POLL_MS = 3500,
	RETRY_DELAY_MS = 200,
	/*
	 * Load pattern: all processes start while the store does not answer, and none can serve
	 * requests before it has read the configuration. An unanswered read fails only after its
	 * timeout of one second. The first reads therefore overlap: another one is started at this
	 * interval until one succeeds. */
	FIRST_READ_INTERVAL_MS = 250
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

bool node_config_apply(struct node_config *config, const char *text, size_t length,
		       const char *source)
{
	struct error err;
	struct route_table *table;

	if (config_document_parse(text, length, &table, &err) != STATUS_OK) {
		event_log(EVENT_CONFIG_REJECTED, EV_S("source", source),
			  EV_S("reason", err.message));
		return false;
	}
	if (config->table && table->version <= config->table->version) {
		if (table->version < config->table->version)
			event_log(EVENT_CONFIG_OLDER, EV_I("version", table->version),
				  EV_I("version_in_force", config->table->version),
				  EV_S("source", source));
		route_table_free(table);
		return true;
	}
	route_table_free(config->table);
	if (config->document)
		g_bytes_unref(config->document);
	config->table = table;
	config->document = g_bytes_new(text, length);
	event_log(EVENT_CONFIG_APPLIED, EV_I("version", table->version),
		  EV_I("routes", table->count), EV_S("source", source),
		  EV_I("unconfirmed_ms", node_config_unconfirmed_ms(config)));
	config->applied(config->context, table);
	return true;
}

static bool is_config_record(const struct store_record *record)
{
	return record->value && record->key_length == strlen(STORE_KEY_CONFIG) &&
	       memcmp(record->key, STORE_KEY_CONFIG, record->key_length) == 0;
}

/* Applies the last valid document in RESULT only: each one holds the whole configuration and
 * replaces the earlier ones. */
static void apply_records(struct node_config *config, const struct store_result *result)
{
	config->next_offset = result->next;
	for (size_t i = result->count; i-- > 0;) {
		const struct store_record *record = &result->records[i];

		if (is_config_record(record) &&
		    node_config_apply(config, record->value, record->value_length, "store"))
			return;
	}
}

static void start_read(void *context, int64_t now_us);

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

static void apply_and_continue(struct node_config *config, const struct store_result *result)
{
	apply_records(config, result);
	config->confirmed_us = config->loop->now_us;
	config->next_offset_valid = true;
	start_read(config, config->loop->now_us);
}

static void on_read_done(void *context, const struct store_result *result)
{
	struct node_config *config = context;

	update_store_state(config, result);
	if (result->status == STATUS_OK) {
		apply_and_continue(config, result);
		return;
	}
	config->next_offset_valid = false;
	timer_subscribe(&config->loop->timers, config->loop->now_us + RETRY_DELAY_MS * US_PER_MS, 0,
			start_read, config);
}

static void start_read(void *context, int64_t now_us)
{
	struct node_config *config = context;

	if (config->next_offset_valid)
		store_read(config->store, STORE_TOPIC_OPERATOR, config->next_offset, LONG_POLL_MS,
			   on_read_done, config);
	else
		store_read_newest(config->store, STORE_TOPIC_OPERATOR, on_read_done, config);
}

static void on_first_read_done(void *context, const struct store_result *result)
{
	struct node_config *config = context;

	/* Another first read has succeeded already. Continuing from this one too would start a
	 * second chain of reads. */
	if (config->first_read_timer.generation == 0)
		return;
	update_store_state(config, result);
	if (result->status != STATUS_OK)
		return;
	timer_cancel(&config->loop->timers, config->first_read_timer);
	config->first_read_timer = (struct handle){0};
	apply_and_continue(config, result);
}

static void start_first_read(void *context, int64_t now_us)
{
	struct node_config *config = context;

	store_read_newest(config->store, STORE_TOPIC_OPERATOR, on_first_read_done, config);
}

void node_config_start(struct node_config *config)
{
	config->first_read_timer =
		timer_subscribe(&config->loop->timers, config->loop->now_us,
				FIRST_READ_INTERVAL_MS * US_PER_MS, start_first_read, config);
}
