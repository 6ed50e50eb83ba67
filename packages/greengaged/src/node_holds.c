#include "node_holds.h"

#include <string.h>

#include "client_api.h"
#include "ident.h"
#include "node_agent_links.h"

enum {
	/* Limit on the agents in one message. */
	MAX_HOLDERS = 4096
};

/* ---- sender ---- */

struct names {
	GPtrArray *runs;
	GPtrArray *starts;
};

static void add_held_task(void *context, const char *task, bool start)
{
	struct names *names = context;

	g_ptr_array_add(start ? names->starts : names->runs, g_strdup(task));
}

static void add_unsettled_run(void *context, const char *job, uint32_t step, uint32_t index,
			      bool start)
{
	struct names *names = context;

	g_ptr_array_add(start ? names->starts : names->runs, client_task_name(job, step, index));
}

struct collection {
	const struct node_entry *entry;
	GPtrArray *messages;
};

static void collect_agent(void *context, const struct agent_state *agent)
{
	struct collection *collection = context;
	struct names names = {
		.runs = g_ptr_array_new_with_free_func(g_free),
		.starts = g_ptr_array_new_with_free_func(g_free),
	};
	Ggd__Holds *message;

	task_holds_foreach(agent->holds, add_held_task, &names);
	dispatch_foreach_unsettled(&collection->entry->dispatch, agent->lost_server,
				   add_unsettled_run, &names);
	if (names.runs->len + names.starts->len == 0) {
		g_ptr_array_free(names.runs, TRUE);
		g_ptr_array_free(names.starts, TRUE);
		return;
	}
	message = g_new(Ggd__Holds, 1);
	ggd__holds__init(message);
	message->agent.data = g_memdup2(agent->incarnation->bytes, IDENT_BYTES);
	message->agent.len = IDENT_BYTES;
	message->agent_name = g_strdup(agent->name);
	message->server = g_strdup(agent->server_id);
	message->n_runs = names.runs->len;
	message->n_starts = names.starts->len;
	g_ptr_array_add(names.runs, NULL);
	g_ptr_array_add(names.starts, NULL);
	message->runs = (char **)g_ptr_array_free(names.runs, FALSE);
	message->starts = (char **)g_ptr_array_free(names.starts, FALSE);
	g_ptr_array_add(collection->messages, message);
}

static void free_message(gpointer data)
{
	Ggd__Holds *message = data;

	g_free(message->agent.data);
	g_free(message->agent_name);
	g_free(message->server);
	g_strfreev(message->runs);
	g_strfreev(message->starts);
	g_free(message);
}

GPtrArray *node_holds_collect(const struct node_entry *entry)
{
	struct collection collection = {
		.entry = entry,
		.messages = g_ptr_array_new_with_free_func(free_message),
	};

	node_agent_links_foreach(entry, collect_agent, &collection);
	return collection.messages;
}

/* ---- receiver ---- */

/* An agent process whose holds were passed on. */
struct holder {
	struct ident incarnation;
	struct hold_source *source;
	bool named; /* in the message that is handled */
};

struct passed_holds {
	struct node_entry *entry;
	char sender[IDENT_HEX_BYTES];
	bool applied;
	GArray *holders;
};

struct passed_holds *passed_holds_new(struct node_entry *entry, const struct ident *sender)
{
	struct passed_holds *passed = g_new0(struct passed_holds, 1);

	passed->entry = entry;
	ident_format(sender, passed->sender);
	passed->holders = g_array_new(FALSE, FALSE, sizeof(struct holder));
	return passed;
}

static struct holder *find_or_add_holder(struct passed_holds *passed, const Ggd__Holds *message)
{
	struct holder added = {0};

	for (guint i = 0; i < passed->holders->len; i++) {
		struct holder *holder = &g_array_index(passed->holders, struct holder, i);

		if (memcmp(holder->incarnation.bytes, message->agent.data, IDENT_BYTES) == 0)
			return holder;
	}
	memcpy(added.incarnation.bytes, message->agent.data, IDENT_BYTES);
	added.source = task_holds_add_passed_source(&passed->entry->dispatch.holds,
						    &(struct hold_origin){
							    .entry = passed->sender,
							    .agent = message->agent_name,
							    .server = message->server,
							    .since_us = passed->entry->loop.now_us,
						    });
	g_array_append_val(passed->holders, added);
	return &g_array_index(passed->holders, struct holder, passed->holders->len - 1);
}

static void remove_unnamed(struct passed_holds *passed)
{
	for (guint i = passed->holders->len; i-- > 0;) {
		struct holder *holder = &g_array_index(passed->holders, struct holder, i);

		if (!holder->named) {
			task_holds_remove_source(&passed->entry->dispatch.holds, holder->source);
			g_array_remove_index_fast(passed->holders, i);
		}
	}
}

void passed_holds_apply(struct passed_holds *passed, Ggd__Holds *const *holds, size_t count)
{
	struct dispatch *dispatch = &passed->entry->dispatch;
	uint64_t changes = dispatch->holds.changes;

	if (!passed->applied)
		task_holds_entry_returned(&dispatch->holds, passed->sender);
	passed->applied = true;
	for (guint i = 0; i < passed->holders->len; i++)
		g_array_index(passed->holders, struct holder, i).named = false;
	for (size_t i = 0; i < MIN(count, MAX_HOLDERS); i++) {
		const struct held_tasks tasks = {
			.runs = holds[i]->runs,
			.run_count = holds[i]->n_runs,
			.starts = holds[i]->starts,
			.start_count = holds[i]->n_starts,
		};
		struct holder *holder;

		if (holds[i]->agent.len != IDENT_BYTES ||
		    node_agent_links_is_connected(passed->entry, holds[i]->agent.data))
			continue;
		holder = find_or_add_holder(passed, holds[i]);
		holder->named = true;
		task_holds_replace(&dispatch->holds, holder->source, &tasks);
	}
	remove_unnamed(passed);
	if (dispatch->holds.changes != changes)
		dispatch_holds_changed(dispatch);
}

void passed_holds_abandon(struct passed_holds *passed)
{
	struct dispatch *dispatch = &passed->entry->dispatch;
	int64_t settled_us = passed->entry->loop.now_us + dispatch->limits.settle_timeout_us;

	for (guint i = 0; i < passed->holders->len; i++)
		task_holds_abandon_source(&dispatch->holds,
					  g_array_index(passed->holders, struct holder, i).source,
					  settled_us, settled_us + RUNS_TRANSIT_MAX_US);
	g_array_free(passed->holders, TRUE);
	g_free(passed);
}
