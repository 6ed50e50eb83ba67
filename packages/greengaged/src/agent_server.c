#include "agent_server.h"

#include <string.h>

#include "agent_metrics.h"
#include "event.h"

enum {
	SLOTS_MAX = 10000,
	KEEP_ALIVE_DEFAULT_MS = 5000, /* a common idle timeout of HTTP servers */
	KEEP_ALIVE_MAX_MS = 3600000,
	URL_MAX_BYTES = 500,
	LABELS_MAX = 64,
};

/* Parses an integer; DEFAULT_VALUE is used if it is missing. A DEFAULT_VALUE below MIN makes the
 * field required. */
static enum status parse_number(const json_t *body, const char *name, int64_t default_value,
				int64_t min, int64_t max, uint32_t *out, struct error *err)
{
	const json_t *value = json_object_get(body, name);
	int64_t number = value ? json_integer_value(value) : default_value;

	if ((value && !json_is_integer(value)) || number < min || number > max)
		return error_set(err, STATUS_INVALID_REQUEST, "%s: accepted: integer %lld to %lld",
				 name, (long long)min, (long long)max);
	*out = (uint32_t)number;
	return STATUS_OK;
}

static enum status parse_id_and_url(const json_t *body, struct agent_announcement *out,
				    struct error *err)
{
	const char *id = json_string_value(json_object_get(body, "id"));
	const char *url = json_string_value(json_object_get(body, "url"));

	if (!id || !*id || strlen(id) >= sizeof(out->id))
		return error_set(err, STATUS_INVALID_REQUEST,
				 "id: accepted: string of 1 to %zu bytes", sizeof(out->id) - 1);
	if (!url || strlen(url) > URL_MAX_BYTES ||
	    (!g_str_has_prefix(url, "http://") && !g_str_has_prefix(url, "https://")))
		return error_set(err, STATUS_INVALID_REQUEST,
				 "url: accepted: http or https URL of at most %d bytes",
				 URL_MAX_BYTES);
	g_strlcpy(out->id, id, sizeof(out->id));
	out->url = g_strdup(url);
	return STATUS_OK;
}

static enum status parse_labels(const json_t *body, struct agent_announcement *out,
				struct error *err)
{
	json_t *labels = json_object_get(body, "labels");
	const char *key;
	json_t *value;

	if (labels && (!json_is_object(labels) || json_object_size(labels) > LABELS_MAX))
		return error_set(err, STATUS_INVALID_REQUEST,
				 "labels: accepted: object of at most %d strings", LABELS_MAX);
	json_object_foreach (labels, key, value) {
		if (!json_is_string(value))
			return error_set(err, STATUS_INVALID_REQUEST, "labels.%s: accepted: string",
					 key);
	}
	out->labels = labels ? json_deep_copy(labels) : json_object();
	return STATUS_OK;
}

enum status agent_announcement_parse(const json_t *body, struct agent_announcement *announcement,
				     struct error *err)
{
	struct agent_announcement *out = announcement;
	enum status status;

	*out = (struct agent_announcement){0};
	if (!json_is_object(body))
		return error_set(err, STATUS_INVALID_REQUEST, "the body must be a JSON object");
	status = parse_id_and_url(body, out, err);
	if (status == STATUS_OK)
		status = parse_number(body, "slots", 0, 1, SLOTS_MAX, &out->slots, err);
	if (status == STATUS_OK)
		status = parse_number(body, "connections", out->slots, 1, SLOTS_MAX,
				      &out->connections, err);
	if (status == STATUS_OK)
		status = parse_number(body, "keep_alive_ms", KEEP_ALIVE_DEFAULT_MS, 0,
				      KEEP_ALIVE_MAX_MS, &out->keep_alive_ms, err);
	if (status == STATUS_OK)
		status = parse_number(body, "ttl_ms", AGENT_TTL_MAX_MS, 1, AGENT_TTL_MAX_MS,
				      &out->ttl_ms, err);
	if (status == STATUS_OK)
		status = parse_labels(body, out, err);
	if (status != STATUS_OK)
		agent_announcement_clear(out);
	return status;
}

void agent_announcement_clear(struct agent_announcement *announcement)
{
	g_free(announcement->url);
	json_decref(announcement->labels);
	*announcement = (struct agent_announcement){0};
}

static void reset_health(struct agent_board *board)
{
	const struct health_limits limits = {
		.fail_streak = (uint32_t)board->settings->fail_streak,
		.first_backoff_us = board->settings->quarantine_first_ms * US_PER_MS,
		.longest_backoff_us = board->settings->quarantine_longest_ms * US_PER_MS,
	};

	health_init(&board->server.health, &limits);
}

void agent_server_init(struct agent_board *board)
{
	board->server = (struct agent_server){.state = AGENT_SERVER_NONE};
	board->server.announcement.labels = json_object();
	board->server.labels = json_object();
	reset_health(board);
	gate_set_leaving(board->gate, true);
}

void agent_server_free(struct agent_board *board)
{
	agent_announcement_clear(&board->server.announcement);
	json_decref(board->server.labels);
}

bool agent_server_is_available(const struct agent_board *board)
{
	return board->server.state == AGENT_SERVER_PRESENT && !board->draining;
}

/* Returns the smaller of the announced slots and connections, because each call needs a connection
 * of its own. */
static uint32_t concurrent_slots(const struct agent_server *server)
{
	return MIN(server->announcement.slots, server->announcement.connections);
}

static void update_usable_slots(struct agent_board *board)
{
	struct agent_server *server = &board->server;
	const struct config_agent agent = {
		.server = server->announcement.id,
		.host = board->settings->host,
		.zone = board->settings->zone,
		.labels = server->labels,
	};

	server->usable_slots = config_capacity(config_document(board->config), &agent,
					       concurrent_slots(server), timer_wall_ms(), NULL);
}

static void mark_server_changed(struct agent_board *board)
{
	for (guint i = 0; i < board->peers->len; i++) {
		struct agent_peer *peer = g_ptr_array_index(board->peers, i);

		peer->server_changed = true;
	}
}

void agent_server_refresh(struct agent_board *board)
{
	struct agent_server *server = &board->server;
	bool accepting = agent_server_is_available(board);
	bool quarantined = server->health.state == HEALTH_QUARANTINED;
	uint32_t slots = 0;

	update_usable_slots(board);
	if (accepting)
		slots = health_start_limit(&server->health, server->usable_slots);
	gate_set_slots(board->gate, slots);
	gate_set_leaving(board->gate, !accepting);
	atomic_store(&board->ready, accepting);
	agent_metric_set(AGENT_METRIC_SLOTS, slots);

	accepting = accepting && server->usable_slots > 0;
	if (accepting != server->reported_open || quarantined != server->reported_quarantined ||
	    server->usable_slots != server->reported_slots)
		mark_server_changed(board);
	server->reported_open = accepting;
	server->reported_quarantined = quarantined;
	server->reported_slots = server->usable_slots;
}

static void on_expiry(void *context, int64_t now_us)
{
	struct agent_board *board = context;

	board->server.expiry_timer = (struct handle){0};
	board->server.state = AGENT_SERVER_EXPIRED;
	event_log(EVENT_SERVER_EXPIRED, EV_S("server", board->server.announcement.id));
	agent_server_refresh(board);
}

static void restart_expiry_timer(struct agent_board *board)
{
	struct agent_server *server = &board->server;
	int64_t due_us = board->now_us + (int64_t)server->announcement.ttl_ms * US_PER_MS;

	timer_cancel(&board->timers, server->expiry_timer);
	server->expiry_timer = timer_subscribe(&board->timers, due_us, 0, on_expiry, board);
}

static void on_health_timer(void *context, int64_t now_us)
{
	struct agent_board *board = context;

	board->server.health_timer = (struct handle){0};
	if (health_tick(&board->server.health, now_us))
		agent_server_refresh(board);
}

static void set_health_timer(struct agent_board *board)
{
	struct agent_server *server = &board->server;
	int64_t due_us = health_next_tick_us(&server->health);

	timer_cancel(&board->timers, server->health_timer);
	server->health_timer = (struct handle){0};
	if (due_us != INT64_MAX)
		server->health_timer =
			timer_subscribe(&board->timers, due_us, 0, on_health_timer, board);
}

/* Combines the announced labels with those of the settings, which take precedence. */
static void merge_labels(struct agent_board *board)
{
	json_decref(board->server.labels);
	board->server.labels = json_deep_copy(board->server.announcement.labels);
	json_object_update(board->server.labels, board->settings->labels);
}

static bool announcements_equal(const struct agent_announcement *a,
				const struct agent_announcement *b)
{
	return strcmp(a->id, b->id) == 0 && g_strcmp0(a->url, b->url) == 0 &&
	       a->slots == b->slots && a->connections == b->connections &&
	       a->keep_alive_ms == b->keep_alive_ms && json_equal(a->labels, b->labels);
}

static void apply_announcement(struct agent_board *board)
{
	const struct agent_announcement *announcement = &board->server.announcement;

	caller_set_server(board->caller,
			  &(struct caller_server){.url = announcement->url,
						  .slots = concurrent_slots(&board->server),
						  .connections = announcement->connections,
						  .keep_alive_ms = announcement->keep_alive_ms});
	merge_labels(board);
	mark_server_changed(board);
}

void agent_server_announce(struct agent_board *board, struct agent_announcement *announcement)
{
	struct agent_server *server = &board->server;
	bool changed = !announcements_equal(&server->announcement, announcement);

	/* A renewed announcement does not end a quarantine. An announcement of another server does,
	 * and so does the first one after a withdrawal, because the server has restarted in
	 * between. */
	if (strcmp(server->announcement.id, announcement->id) != 0 ||
	    server->state == AGENT_SERVER_LEAVING) {
		reset_health(board);
		set_health_timer(board);
	}
	if (changed || server->state != AGENT_SERVER_PRESENT)
		event_log(EVENT_SERVER_ANNOUNCED, EV_S("server", announcement->id),
			  EV_S("url", announcement->url), EV_I("slots", announcement->slots));
	agent_announcement_clear(&server->announcement);
	server->announcement = *announcement;
	*announcement = (struct agent_announcement){0};
	if (changed)
		apply_announcement(board);
	server->state = AGENT_SERVER_PRESENT;
	restart_expiry_timer(board);
	agent_server_refresh(board);
}

void agent_server_withdraw(struct agent_board *board)
{
	struct agent_server *server = &board->server;

	if (server->state != AGENT_SERVER_PRESENT)
		return;
	timer_cancel(&board->timers, server->expiry_timer);
	server->expiry_timer = (struct handle){0};
	server->state = AGENT_SERVER_LEAVING;
	event_log(EVENT_SERVER_LEAVING, EV_S("server", server->announcement.id));
	agent_server_refresh(board);
}

void agent_server_record_result(struct agent_board *board, bool success)
{
	struct agent_server *server = &board->server;
	enum health_state previous_state = server->health.state;

	health_record_result(&server->health, success, concurrent_slots(server), board->now_us);
	if (server->health.state == previous_state && previous_state == HEALTH_HEALTHY)
		return;
	if (server->health.state == HEALTH_QUARANTINED && previous_state != HEALTH_QUARANTINED)
		event_log(EVENT_SERVER_QUARANTINED, EV_S("server", server->announcement.id),
			  EV_I("backoff_ms", server->health.backoff_us / US_PER_MS));
	if (previous_state == HEALTH_TRIAL && success)
		event_log(EVENT_SERVER_RECOVERED, EV_S("server", server->announcement.id));
	set_health_timer(board);
	agent_server_refresh(board);
}
