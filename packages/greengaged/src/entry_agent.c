#include "entry_agent.h"

#include <string.h>

#include "entry_dispatch.h"

struct agent *entry_agent_find(const struct board *board, const struct ident *incarnation)
{
	return g_hash_table_lookup(board->agents_by_incarnation, incarnation);
}

struct agent *entry_agent_add(struct board *board, const struct ident *incarnation,
			      const Gg__Hello *hello)
{
	struct handle self;
	struct agent *agent = table_add(&board->agents, &self);

	agent->board = board;
	agent->self = self;
	agent->incarnation = *incarnation;
	agent->id = g_strdup("");
	agent->zone = g_strdup(hello->zone);
	agent->host = g_strdup(hello->host);
	agent->labels = json_object();
	agent->label_strings = g_new0(char *, 1);
	agent->pending_starts = g_ptr_array_new_with_free_func(g_free);
	link_init(&agent->link);
	g_hash_table_insert(board->agents_by_incarnation, &agent->incarnation, agent);
	return agent;
}

static bool labels_equal(const struct agent *agent, const Gg__ServerInfo *info)
{
	if (json_object_size(agent->labels) != info->n_labels)
		return false;
	for (size_t i = 0; i < info->n_labels; i++) {
		const char *value =
			json_string_value(json_object_get(agent->labels, info->labels[i]->key));

		if (!value || strcmp(value, info->labels[i]->value) != 0)
			return false;
	}
	return true;
}

static bool server_info_equal(const struct agent *agent, const Gg__ServerInfo *info)
{
	return strcmp(agent->id, info->id) == 0 && agent->slots == info->slots &&
	       agent->connections == info->connections && agent->open == info->open &&
	       agent->quarantined == info->quarantined && labels_equal(agent, info);
}

static void replace_labels(struct agent *agent, const Gg__ServerInfo *info)
{
	json_object_clear(agent->labels);
	g_strfreev(agent->label_strings);
	agent->label_strings = g_new0(char *, info->n_labels + 1);
	for (size_t i = 0; i < info->n_labels; i++) {
		const Gg__ServerInfo__LabelsEntry *label = info->labels[i];

		json_object_set_new(agent->labels, label->key, json_string(label->value));
		agent->label_strings[i] = g_strconcat(label->key, "=", label->value, NULL);
	}
}

static void update_scheduler(struct board *board, struct agent *agent)
{
	struct sched_server_spec spec = {
		.id = agent->id,
		.zone = agent->zone,
		.labels = (const char *const *)agent->label_strings,
		.slots = agent->slots,
		.open = agent->open,
	};

	if (!handle_is_none(agent->server))
		sched_server_update(board->sched, agent->server, &spec);
	else if (agent->id[0] != '\0')
		agent->server = sched_server_add(board->sched, &spec, agent);
	entry_dispatch_update_credits(board, agent);
}

/* INFO needs no validation: the scheduler truncates names that are too long, and labels and slots
 * come from agents of this deployment. */
void entry_agent_update(struct board *board, struct agent *agent, const Gg__ServerInfo *info)
{
	if (!info || info->id[0] == '\0') {
		agent->open = false;
		if (!handle_is_none(agent->server))
			update_scheduler(board, agent);
		return;
	}
	if (!handle_is_none(agent->server) && server_info_equal(agent, info))
		return;
	g_free(agent->id);
	agent->id = g_strdup(info->id);
	agent->slots = info->slots;
	agent->connections = info->connections;
	agent->open = info->open;
	agent->quarantined = info->quarantined;
	replace_labels(agent, info);
	update_scheduler(board, agent);
}

void entry_agent_detach(struct board *board, struct agent *agent)
{
	if (!handle_is_none(agent->server))
		sched_server_remove(board->sched, agent->server);
	agent->server = (struct handle){0};
	timer_cancel(&board->timers, agent->pause_timer);
	agent->pause_timer = (struct handle){0};
	agent->paused = false;
	agent->refusal_streak = 0;
	agent->connected = false;
	agent->reconciling = false;
}

void entry_agent_remove(struct board *board, struct agent *agent)
{
	entry_agent_detach(board, agent);
	g_hash_table_remove(board->agents_by_incarnation, &agent->incarnation);
	link_free(&agent->link);
	g_free(agent->id);
	g_free(agent->zone);
	g_free(agent->host);
	json_decref(agent->labels);
	g_strfreev(agent->label_strings);
	g_ptr_array_free(agent->pending_starts, TRUE);
	table_remove(&board->agents, agent->self);
}
