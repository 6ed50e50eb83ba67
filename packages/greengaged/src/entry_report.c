#include "entry_report.h"

#include "entry_rules.h"

static const char *agent_state_name(const struct agent *agent)
{
	if (agent->lost)
		return "lost";
	if (!agent->connected)
		return "silent";
	if (handle_is_none(agent->server))
		return "no_server";
	if (agent->quarantined)
		return "quarantined";
	return agent->open ? "open" : "closed";
}

static json_t *agent_json(struct board *board, const struct agent *agent)
{
	struct sched_server_view view = {0};
	char hex[IDENT_HEX_BYTES];
	json_t *object;

	sched_server_view(board->sched, agent->server, &view);
	object = json_pack("{s:s, s:s, s:s, s:s, s:s, s:O, s:i, s:i}", "incarnation",
			   ident_format(&agent->incarnation, hex), "server", agent->id, "host",
			   agent->host, "zone", agent->zone, "state", agent_state_name(agent),
			   "labels", agent->labels, "slots", (int)agent->slots, "connections",
			   (int)agent->connections);
	json_object_set_new(object, "running", json_integer(view.running));
	json_object_set_new(object, "credits", json_integer((json_int_t)view.credits));
	json_object_set_new(object, "finished", json_integer((json_int_t)view.finished));
	json_object_set_new(object, "failed", json_integer((json_int_t)view.failed));
	json_object_set_new(object, "speed_factor", json_real(view.speed_factor));
	json_object_set_new(object, "config_version",
			    json_integer((json_int_t)agent->config_version));
	json_object_set_new(object, "heard_ms_ago",
			    json_integer((board->now_us - agent->last_received_us) / US_PER_MS));
	return object;
}

static json_t *peer_json(struct board *board, const struct peer *peer)
{
	char hex[IDENT_HEX_BYTES] = "";

	if (peer->incarnation_known)
		ident_format(&peer->incarnation, hex);
	return json_pack("{s:s, s:s, s:s, s:s, s:I}", "address", peer->address, "incarnation", hex,
			 "zone", peer->zone ? peer->zone : "", "state",
			 peer->connected ? "connected" : "silent", "heard_ms_ago",
			 (json_int_t)((board->now_us - peer->last_contact_us) / US_PER_MS));
}

void entry_report_handle_members(struct board *board, struct request *request)
{
	json_t *agents = json_array();
	json_t *entries = json_array();
	char hex[IDENT_HEX_BYTES];
	uint32_t cursor = 0;
	struct agent *agent;

	json_array_append_new(entries,
			      json_pack("{s:s, s:s, s:s, s:s, s:i}", "address",
					board->settings->channel_address, "incarnation",
					ident_format(&board->incarnation, hex), "zone",
					board->settings->zone, "state",
					board->draining ? "draining" : "self", "heard_ms_ago", 0));
	for (guint i = 0; i < board->peers->len; i++)
		json_array_append_new(entries,
				      peer_json(board, g_ptr_array_index(board->peers, i)));
	while ((agent = table_next(&board->agents, &cursor, NULL)))
		json_array_append_new(agents, agent_json(board, agent));
	entry_request_finish_json(request, 200,
				  json_pack("{s:I, s:o, s:o}", "config_version",
					    (json_int_t)config_version(board->config), "entries",
					    entries, "agents", agents));
}

static json_t *window_json(const struct burn_window *window)
{
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f}", "seconds",
			 (json_int_t)window->seconds, "jobs", (json_int_t)window->jobs, "slow_jobs",
			 (json_int_t)window->slow_jobs, "failed_jobs",
			 (json_int_t)window->failed_jobs, "tasks", (json_int_t)window->tasks,
			 "wasted_messages", (json_int_t)window->wasted_messages, "mean_ratio",
			 window->mean_ratio, "latency_burn", window->latency_burn, "failure_burn",
			 window->failure_burn, "waste_burn", window->waste_burn);
}

static void report_wasted_messages(struct board *board)
{
	uint64_t wasted = (uint64_t)counter_get(&entry_metrics[METRIC_MESSAGES_WASTED]);

	if (wasted > board->wasted_messages_reported)
		burn_record_wasted(board->burn, wasted - board->wasted_messages_reported,
				   board->now_us);
	board->wasted_messages_reported = wasted;
}

void entry_report_handle_burn(struct board *board, struct request *request)
{
	struct burn_objectives objectives = entry_rules_objectives(config_document(board->config));
	struct burn_window windows[BURN_WINDOWS];
	json_t *list = json_array();

	report_wasted_messages(board);
	burn_report(board->burn, board->now_us, windows);
	for (int i = 0; i < BURN_WINDOWS; i++)
		json_array_append_new(list, window_json(&windows[i]));
	entry_request_finish_json(request, 200,
				  json_pack("{s:{s:f, s:f, s:f}, s:o}", "objectives",
					    "ratio_target", objectives.ratio_target, "objective",
					    objectives.objective, "waste_target",
					    objectives.waste_target, "windows", list));
}

void entry_report_update_gauges(struct board *board)
{
	report_wasted_messages(board);
	metric_set(METRIC_QUEUED_TASKS, (int64_t)sched_queued_tasks(board->sched));
	metric_set(METRIC_RUNNING_TASKS, (int64_t)sched_running_tasks(board->sched));
	metric_set(METRIC_JOBS_HELD, table_count(&board->jobs.jobs));
	metric_set(METRIC_ANSWER_BYTES, (int64_t)board->jobs.answer_bytes);
	metric_set(METRIC_ANSWERS_EXPIRED, (int64_t)board->jobs.removed_answers);
	metric_set(METRIC_SESSIONS, session_count(board->sessions));
	metric_set(METRIC_KEYS, session_key_count(board->sessions));
	metric_set(METRIC_CLAIMS, claims_count(board->claims));
	metric_set(METRIC_AGENTS, table_count(&board->agents));
}
