#include "entry_config.h"

#include <stdlib.h>
#include <string.h>

#include "entry_admission.h"
#include "entry_members.h"
#include "entry_rules.h"
#include "event.h"
#include "tsan.h"

static const char stream_name[] = "config";

/* A patch that waits until its record is read back from the log stream. */
struct pending_patch {
	struct board *board;
	struct ident id;
	struct request *request;
	uint64_t append_request;
	struct handle timer;
};

static void free_pending_patch(void *data)
{
	struct pending_patch *patch = data;

	timer_cancel(&patch->board->timers, patch->timer);
	g_free(patch);
}

static void free_public_state(struct rcu_head *rcu)
{
	struct public_state *state = caa_container_of(rcu, struct public_state, rcu);

	TSAN_ACQUIRE(state);
	g_bytes_unref(state->config_body);
	g_free(state);
}

void entry_config_publish(struct board *board)
{
	struct public_state *old = board->public_state;
	struct public_state *state = g_new0(struct public_state, 1);

	state->ready = board->ready && !board->draining;
	state->config_body = entry_request_json_body(
		json_pack("{s:I, s:O}", "version", (json_int_t)config_version(board->config),
			  "document", config_document(board->config)));
	TSAN_RELEASE(state);
	rcu_assign_pointer(board->public_state, state);
	if (old)
		call_rcu(&old->rcu, free_public_state);
}

void entry_config_fill_state(struct board *board, Gg__ConfigState *state)
{
	state->version = config_version(board->config);
	state->document = board->config_text;
}

void entry_config_send_to_agent(struct board *board, struct agent *agent)
{
	Gg__ConfigState state = GG__CONFIG_STATE__INIT;
	Gg__Envelope envelope = GG__ENVELOPE__INIT;

	entry_config_fill_state(board, &state);
	envelope.body_case = GG__ENVELOPE__BODY_CONFIG_STATE;
	envelope.config_state = &state;
	entry_members_send(board, agent, &envelope);
}

void entry_config_request_from_agent(struct board *board, struct agent *agent)
{
	Gg__ConfigRequest request = GG__CONFIG_REQUEST__INIT;
	Gg__Envelope envelope = GG__ENVELOPE__INIT;

	request.have_version = config_version(board->config);
	envelope.body_case = GG__ENVELOPE__BODY_CONFIG_REQUEST;
	envelope.config_request = &request;
	entry_members_send(board, agent, &envelope);
}

/* Sends the configuration at once to each connected agent with an older version. Otherwise, an
 * agent would request the new version only after the next heartbeat. */
static void send_to_agents(struct board *board)
{
	uint64_t version = config_version(board->config);
	uint32_t cursor = 0;
	struct agent *agent;

	while ((agent = table_next(&board->agents, &cursor, NULL))) {
		if (agent->connected && agent->config_version < version)
			entry_config_send_to_agent(board, agent);
	}
}

/* Applies the rules of the version in force and publishes it to the HTTP threads. */
static void apply_version(struct board *board)
{
	free(board->config_text);
	board->config_text = json_dumps(config_document(board->config), JSON_COMPACT);
	entry_rules_apply(board, config_document(board->config));
	metric_set(METRIC_CONFIG_VERSION, (int64_t)config_version(board->config));
	entry_config_publish(board);
}

/* Applies a new version and sends it to the agents. SOURCE is "log", or "peer" for a state from
 * another entry or an agent. */
static void apply_and_send_version(struct board *board, const char *source)
{
	apply_version(board);
	send_to_agents(board);
	event_log(EVENT_CONFIG_APPLIED, EV_I("version", config_version(board->config)),
		  EV_S("source", source));
}

void entry_config_init(struct board *board)
{
	board->config = config_replica_new();
	board->config_patches =
		g_hash_table_new_full(ident_hash, ident_equal_func, NULL, free_pending_patch);
	apply_version(board);
}

void entry_config_free(struct board *board)
{
	g_hash_table_destroy(board->config_patches);
	config_replica_free(board->config);
	free(board->config_text);
	if (board->rule_string_lists)
		g_ptr_array_free(board->rule_string_lists, TRUE);
	free_public_state(&board->public_state->rcu);
}

void entry_config_adopt(struct board *board, const Gg__ConfigState *state)
{
	struct error err;

	if (state->version <= config_version(board->config))
		return;
	if (config_replica_adopt(board->config, state->version, state->document, &err))
		apply_and_send_version(board, "peer");
	else
		event_log_error(EVENT_CONFIG_REJECTED, &err);
}

/* Refuses REQUEST and includes the id of its record, so that the client can search the history for
 * it. */
static void refuse_with_record_id(struct request *request, const struct ident *id,
				  const struct error *err)
{
	char hex[IDENT_HEX_BYTES];
	json_t *error = entry_request_error_json(err);

	json_object_set_new(error, "id", json_string(ident_format(id, hex)));
	entry_request_finish_json(request, status_http_code(err->status),
				  json_pack("{s:o}", "error", error));
}

/* Finishes the request of PATCH and frees PATCH. The patch was accepted as VERSION when ERR is
 * NULL; otherwise ERR is the reason for the refusal. */
static void finish_patch(struct pending_patch *patch, uint64_t version, const struct error *err)
{
	struct board *board = patch->board;
	struct request *request = patch->request;
	struct ident id = patch->id;
	char hex[IDENT_HEX_BYTES];

	g_hash_table_remove(board->config_patches, &patch->id);
	if (err)
		refuse_with_record_id(request, &id, err);
	else
		entry_request_finish_json(request, 200,
					  json_pack("{s:I, s:s}", "version", (json_int_t)version,
						    "id", ident_format(&id, hex)));
}

static void patch_timed_out(void *context, int64_t now_us)
{
	struct error err;

	error_set_unknown(&err, STATUS_LOG_UNAVAILABLE,
			  "the patch record was not read back from the log in time; search the "
			  "history for its id");
	finish_patch(context, 0, &err);
}

void entry_config_fail_all(struct board *board)
{
	GHashTableIter iter;
	struct error err;
	void *value;

	error_set_unknown(&err, STATUS_DRAINING, "this entry was stopped");
	g_hash_table_iter_init(&iter, board->config_patches);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		finish_patch(value, 0, &err);
		g_hash_table_iter_init(&iter, board->config_patches);
	}
}

static enum status check_request_body(const json_t *body, struct error *err)
{
	const json_t *base = json_object_get(body, "base");
	const json_t *author = json_object_get(body, "author");

	if (!json_is_object(body) || !json_is_integer(base) || json_integer_value(base) < 0)
		return error_set(err, STATUS_INVALID_REQUEST,
				 "base: accepted: the version number that the patch is based on");
	if (!json_is_object(json_object_get(body, "patch")))
		return error_set(err, STATUS_INVALID_REQUEST, "patch: accepted: an object");
	if (author && !json_is_string(author))
		return error_set(err, STATUS_INVALID_REQUEST, "author: accepted: a string");
	return STATUS_OK;
}

/* Refuses a patch that every replica would reject, so that no record is appended to the log for it.
 * A patch on a version that this entry has not read yet cannot be checked and is accepted here. */
static enum status check_patch(struct board *board, const json_t *body, struct error *err)
{
	uint64_t base = (uint64_t)json_integer_value(json_object_get(body, "base"));
	uint64_t version = config_version(board->config);
	json_t *merged;
	enum status status;

	if (base < version)
		return error_set(err, STATUS_VERSION_CONFLICT,
				 "base %llu is not the current version %llu",
				 (unsigned long long)base, (unsigned long long)version);
	if (base > version)
		return STATUS_OK;
	merged = config_merge(config_document(board->config), json_object_get(body, "patch"));
	status = config_validate(merged, err);
	if (status == STATUS_OK)
		status = config_check_time_zones(merged, err);
	json_decref(merged);
	return status;
}

static enum status check_log_available(struct board *board, struct error *err)
{
	if (!board->log)
		return error_set(err, STATUS_LOG_UNAVAILABLE, "no log service is configured");
	if (!board->log_available || !config_is_synced(board->config))
		return error_set(err, STATUS_LOG_UNAVAILABLE, "the log service is not available");
	return STATUS_OK;
}

static void append_patch_record(struct board *board, struct request *request)
{
	const json_t *body = request->patch;
	struct pending_patch *patch = g_new0(struct pending_patch, 1);
	char *record;

	patch->board = board;
	patch->id = ident_random();
	patch->request = request;
	patch->append_request = ++board->last_append_number;
	patch->timer = timer_subscribe(&board->timers,
				       board->now_us + board->settings->patch_wait_ms * US_PER_MS,
				       0, patch_timed_out, patch);
	g_hash_table_insert(board->config_patches, &patch->id, patch);
	record = config_format_patch(
		&patch->id, (uint64_t)json_integer_value(json_object_get(body, "base")),
		json_object_get(body, "patch"), json_string_value(json_object_get(body, "author")),
		timer_wall_ms());
	logclient_append(board->log, stream_name, record, strlen(record), patch->append_request);
	free(record);
}

void entry_config_handle_patch(struct board *board, struct request *request)
{
	struct error err;

	if (check_request_body(request->patch, &err) != STATUS_OK ||
	    check_log_available(board, &err) != STATUS_OK ||
	    check_patch(board, request->patch, &err) != STATUS_OK) {
		entry_request_refuse(request, &err);
		return;
	}
	append_patch_record(board, request);
}

void entry_config_handle_history(struct board *board, struct request *request)
{
	struct config_change *changes = g_new(struct config_change, CONFIG_HISTORY_LENGTH);
	uint32_t count = config_history(board->config, changes, CONFIG_HISTORY_LENGTH);
	json_t *list = json_array();

	for (uint32_t i = 0; i < count; i++) {
		const struct config_change *change = &changes[i];

		json_array_append_new(list, json_pack("{s:I, s:I, s:I, s:I, s:s, s:s, s:b, s:s}",
						      "version", (json_int_t)change->version,
						      "base", (json_int_t)change->base_version,
						      "offset", (json_int_t)change->offset,
						      "time_ms", (json_int_t)change->time_ms, "id",
						      change->id, "author", change->author,
						      "accepted", change->accepted, "status",
						      status_name(change->status)));
	}
	g_free(changes);
	entry_request_finish_json(request, 200,
				  json_pack("{s:I, s:o}", "version",
					    (json_int_t)config_version(board->config), "history",
					    list));
}

/* Finishes the pending patches that are in the history. Applying a snapshot may also apply records
 * that were buffered before. config_replica_apply() does not report the effect of each of these
 * records, so the patches are looked up in the history. */
static void finish_patches_in_history(struct board *board)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, board->config_patches);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending_patch *patch = value;
		struct config_change change;
		struct error err;

		if (!config_find_change(board->config, &patch->id, &change))
			continue;
		error_set(&err, change.status, "the patch was rejected");
		finish_patch(patch, change.version, change.accepted ? NULL : &err);
		g_hash_table_iter_init(&iter, board->config_patches);
	}
}

/* Logs the record with id ID if it was rejected, and finishes its patch if that is pending at this
 * entry. */
static void finish_recorded_patch(struct board *board, const struct ident *id,
				  enum config_effect effect, const struct error *err)
{
	struct pending_patch *patch = g_hash_table_lookup(board->config_patches, id);
	struct config_change change = {0};

	if (effect == CONFIG_EFFECT_REJECTED)
		event_log_error(EVENT_CONFIG_REJECTED, err);
	if (!patch)
		return;
	config_find_change(board->config, id, &change);
	finish_patch(patch, change.version, effect == CONFIG_EFFECT_REJECTED ? err : NULL);
}

void entry_config_apply_record(struct board *board, const struct log_record *record)
{
	uint64_t before = config_version(board->config);
	enum config_effect effect;
	struct error err;
	struct ident id;

	effect = config_replica_apply(board->config, record->offset, record->data, record->length,
				      &id, &err);
	if (effect == CONFIG_EFFECT_SNAPSHOT || board->snapshot_time_ms == 0)
		board->snapshot_time_ms = record->time_ms;
	if (config_version(board->config) > before)
		apply_and_send_version(board, "log");
	if (effect == CONFIG_EFFECT_SNAPSHOT)
		finish_patches_in_history(board);
	else if (effect != CONFIG_EFFECT_NONE)
		finish_recorded_patch(board, &id, effect, &err);
}

void entry_config_handle_truncation(struct board *board, uint64_t first)
{
	config_replica_expire_below(board->config, first);
}

bool entry_config_handle_append_result(struct board *board, uint64_t request,
				       const struct error *err)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, board->config_patches);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending_patch *patch = value;

		if (patch->append_request != request)
			continue;
		/* If the append may have taken effect, the patch is finished when its record is
		 * read back, or when it times out. */
		if (err->status != STATUS_OK && err->outcome == OUTCOME_NOT_RUN)
			finish_patch(patch, 0, err);
		return true;
	}
	return false;
}

void entry_config_tick(struct board *board)
{
	int64_t age_ms = timer_wall_ms() - board->snapshot_time_ms;
	/* The snapshot is due after 80 to 99 percent of the interval, depending on the
	 * incarnation, so that usually only one entry appends it. */
	int64_t percent = 80 + board->incarnation.bytes[0] % 20;
	char *record;

	if (!board->log || !board->log_available || board->snapshot_time_ms == 0 ||
	    age_ms < board->settings->snapshot_interval_s * 10 * percent)
		return;
	record = config_format_snapshot(board->config, timer_wall_ms());
	if (!record)
		return;
	logclient_append(board->log, stream_name, record, strlen(record),
			 ++board->last_append_number);
	free(record);
	/* If this snapshot is not read back, the next attempt follows about one interval later. */
	board->snapshot_time_ms = timer_wall_ms();
	event_log(EVENT_SNAPSHOT_APPENDED, EV_I("version", config_version(board->config)));
}
