#include "node_holds.h"

#include <string.h>

#include "client_api.h"
#include "ident.h"
#include "node_agent_links.h"

enum {
	/* Limit on the agents in one message. */
	MAX_HOLDERS = 1024,
	/* A run ends within this time after the request to stop it, unless its agent or its server
	 * does not answer. */
	STOP_WAIT_MS = 100
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
	int64_t stop_since_us; /* runs that were requested to stop by then should have ended */
	bool has_overdue_stops;
	GPtrArray *messages;
};

static struct names new_names(void)
{
	return (struct names){
		.runs = g_ptr_array_new_with_free_func(g_free),
		.starts = g_ptr_array_new_with_free_func(g_free),
	};
}

/* Adds a message with NAMES, which it takes over. */
static Ggd__Holds *new_message(struct collection *collection, const struct names *names)
{
	Ggd__Holds *message = g_new(Ggd__Holds, 1);

	ggd__holds__init(message);
	message->agent.len = IDENT_BYTES;
	message->n_runs = names->runs->len;
	message->n_starts = names->starts->len;
	g_ptr_array_add(names->runs, NULL);
	g_ptr_array_add(names->starts, NULL);
	message->runs = (char **)g_ptr_array_free(names->runs, FALSE);
	message->starts = (char **)g_ptr_array_free(names->starts, FALSE);
	g_ptr_array_add(collection->messages, message);
	return message;
}

/* Returns for how long an agent has not been heard, at least 1 ms, or 0 if LOST_US is 0. */
static uint32_t lost_ms(const struct node_entry *entry, int64_t lost_us)
{
	return lost_us == 0 ? 0 : (uint32_t)(MAX(entry->loop.now_us - lost_us, 0) / US_PER_MS) + 1;
}

static void collect_agent(void *context, const struct agent_state *agent)
{
	struct collection *collection = context;
	struct names names = new_names();
	Ggd__Holds *message;

	task_holds_foreach(agent->holds, add_held_task, &names);
	if (agent->lost_us > 0 || collection->has_overdue_stops)
		dispatch_foreach_unsettled(&collection->entry->dispatch, agent->server,
					   agent->lost_us > 0 ? INT64_MAX
							      : collection->stop_since_us,
					   add_unsettled_run, &names);
	if (names.runs->len + names.starts->len == 0) {
		g_ptr_array_free(names.runs, TRUE);
		g_ptr_array_free(names.starts, TRUE);
		return;
	}
	message = new_message(collection, &names);
	message->agent.data = g_memdup2(agent->incarnation->bytes, IDENT_BYTES);
	message->agent_name = g_strdup(agent->name);
	message->server = g_strdup(agent->server_id);
	message->entry = g_strdup("");
	message->lost_ms = lost_ms(collection->entry, agent->lost_us);
}

/* Returns the time until UNTIL_US for a message, at least 1 ms, or 0 if there is no limit. */
static uint32_t left_ms(int64_t until_us, int64_t now_us)
{
	return until_us == INT64_MAX ? 0 : (uint32_t)(MAX(until_us - now_us, 0) / US_PER_MS) + 1;
}

/* A third entry may have started after the lost one has told of them. */
static void collect_abandoned(void *context, const struct hold_origin *origin,
			      const struct hold_source *source)
{
	struct collection *collection = context;
	int64_t now_us = collection->entry->loop.now_us;
	int64_t runs_until_us, starts_until_us;
	struct names names = new_names();
	Ggd__Holds *message;

	task_holds_foreach(source, add_held_task, &names);
	task_holds_limits(source, &runs_until_us, &starts_until_us);
	message = new_message(collection, &names);
	message->agent.data = g_memdup2(origin->process.bytes, IDENT_BYTES);
	message->agent_name = g_strdup(origin->agent);
	message->server = g_strdup(origin->server);
	message->entry = g_strdup(hold_origin_entry(origin));
	message->runs_left_ms = left_ms(runs_until_us, now_us);
	message->starts_left_ms = left_ms(starts_until_us, now_us);
	message->lost_ms = lost_ms(collection->entry, task_holds_lost_us(source));
}

static void free_message(gpointer data)
{
	Ggd__Holds *message = data;

	g_free(message->agent.data);
	g_free(message->agent_name);
	g_free(message->server);
	g_free(message->entry);
	g_strfreev(message->runs);
	g_strfreev(message->starts);
	g_free(message);
}

GPtrArray *node_holds_collect(const struct node_entry *entry)
{
	struct collection collection = {
		.entry = entry,
		.stop_since_us = entry->loop.now_us - STOP_WAIT_MS * US_PER_MS,
		.messages = g_ptr_array_new_with_free_func(free_message),
	};

	collection.has_overdue_stops =
		dispatch_has_overdue_stops(&entry->dispatch, collection.stop_since_us);

	node_agent_links_foreach(entry, collect_agent, &collection);
	task_holds_foreach_abandoned(&entry->dispatch.holds, collect_abandoned, &collection);
	return collection.messages;
}

/* ---- receiver ---- */

/* An agent process whose holds were passed on. */
struct holder {
	struct ident incarnation;
	char entry[IDENT_HEX_BYTES]; /* as in struct hold_origin */
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
	if (!entry->passed_holds)
		entry->passed_holds = g_ptr_array_new();
	g_ptr_array_add(entry->passed_holds, passed);
	return passed;
}

static struct holder *find_or_add_holder(struct passed_holds *passed, const Ggd__Holds *message)
{
	struct holder added = {0};

	for (guint i = 0; i < passed->holders->len; i++) {
		struct holder *holder = &g_array_index(passed->holders, struct holder, i);

		if (memcmp(holder->incarnation.bytes, message->agent.data, IDENT_BYTES) == 0 &&
		    strcmp(holder->entry, message->entry) == 0)
			return holder;
	}
	memcpy(added.incarnation.bytes, message->agent.data, IDENT_BYTES);
	g_strlcpy(added.entry, message->entry, sizeof(added.entry));
	added.source = task_holds_add_passed_source(&passed->entry->dispatch.holds,
						    &(struct hold_origin){
							    .sender = passed->sender,
							    .entry = added.entry,
							    .process = added.incarnation,
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

/* Returns whether the entry process ENTRY speaks for itself here, or is this one. */
static bool is_heard(const struct node_entry *node, const char *entry)
{
	char own[IDENT_HEX_BYTES];

	for (guint i = 0; node->passed_holds && i < node->passed_holds->len; i++) {
		const struct passed_holds *passed = node->passed_holds->pdata[i];

		if (passed->applied && strcmp(passed->sender, entry) == 0)
			return true;
	}
	return strcmp(ident_format(&node->links.identity.incarnation, own), entry) == 0;
}

/* Returns whether what MESSAGE tells is known better here. */
static bool is_superseded(const struct node_entry *node, const Ggd__Holds *message)
{
	return message->agent.len != IDENT_BYTES || strlen(message->entry) >= IDENT_HEX_BYTES ||
	       is_heard(node, message->entry);
}

/* Returns whether MESSAGE, which is the word of a lost entry, is settled here or at its sender. */
static bool is_settled(struct node_entry *node, const Ggd__Holds *message)
{
	struct task_holds *holds = &node->dispatch.holds;
	struct ident process;

	if (message->entry[0] == '\0')
		return false;
	memcpy(process.bytes, message->agent.data, IDENT_BYTES);
	if (message->n_runs + message->n_starts > 0)
		return task_holds_is_settled(holds, message->entry, &process);
	/* The others pass it on, too. */
	node->agent_holds_changes += task_holds_process_settled(holds, message->entry, &process);
	return true;
}

static void limit(const struct passed_holds *passed, struct hold_source *source,
		  const Ggd__Holds *message)
{
	int64_t now_us = passed->entry->loop.now_us;

	if (message->entry[0] != '\0')
		task_holds_limit(source, now_us + (int64_t)message->runs_left_ms * US_PER_MS,
				 now_us + (int64_t)message->starts_left_ms * US_PER_MS);
}

/* Returns since when the agent of MESSAGE has not been heard, or 0. */
static int64_t lost_since_us(const struct passed_holds *passed, const Ggd__Holds *message)
{
	if (message->lost_ms == 0)
		return 0;
	return MAX(passed->entry->loop.now_us - (int64_t)message->lost_ms * US_PER_MS, 1);
}

void passed_holds_apply(struct passed_holds *passed, Ggd__Holds *const *holds, size_t count)
{
	struct dispatch *dispatch = &passed->entry->dispatch;
	uint64_t changes = dispatch->holds.changes;

	if (!passed->applied)
		task_holds_sender_returned(&dispatch->holds, passed->sender);
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
		int64_t lost_us;

		if (is_superseded(passed->entry, holds[i]) || is_settled(passed->entry, holds[i]))
			continue;
		holder = find_or_add_holder(passed, holds[i]);
		holder->named = true;
		lost_us = lost_since_us(passed, holds[i]);
		task_holds_set_word(
			&dispatch->holds, holder->source,
			node_agent_links_word(passed->entry, holds[i]->agent.data, lost_us));
		task_holds_replace(&dispatch->holds, holder->source, &tasks);
		task_holds_set_lost(holder->source, lost_us);
		limit(passed, holder->source, holds[i]);
	}
	remove_unnamed(passed);
	if (dispatch->holds.changes != changes)
		dispatch_holds_changed(dispatch);
}

void node_holds_add_abandoned(struct node_entry *entry, const struct hold_origin *origin,
			      const struct held_tasks *tasks)
{
	struct dispatch *dispatch = &entry->dispatch;
	struct hold_source *source = task_holds_add_passed_source(&dispatch->holds, origin);

	int64_t now_us = entry->loop.now_us;

	task_holds_set_word(&dispatch->holds, source,
			    node_agent_links_word(entry, origin->process.bytes, now_us));
	task_holds_replace(&dispatch->holds, source, tasks);
	task_holds_abandon_source(&dispatch->holds, source, now_us,
				  now_us + dispatch->limits.host_return_us);
	entry->agent_holds_changes++;
	dispatch_holds_changed(dispatch);
}

void passed_holds_abandon(struct passed_holds *passed)
{
	struct dispatch *dispatch = &passed->entry->dispatch;
	int64_t now_us = passed->entry->loop.now_us;

	for (guint i = 0; i < passed->holders->len; i++)
		task_holds_abandon_source(&dispatch->holds,
					  g_array_index(passed->holders, struct holder, i).source,
					  now_us, now_us + dispatch->limits.host_return_us);
	passed->entry->agent_holds_changes += passed->holders->len > 0;
	g_ptr_array_remove_fast(passed->entry->passed_holds, passed);
	if (passed->entry->passed_holds->len == 0)
		g_clear_pointer(&passed->entry->passed_holds, g_ptr_array_unref);
	g_array_free(passed->holders, TRUE);
	g_free(passed);
}

void passed_holds_apply_once(struct node_entry *entry, const struct ident *sender,
			     Ggd__Holds *const *holds, size_t count)
{
	char text[IDENT_HEX_BYTES];
	struct passed_holds *passed;

	if (is_heard(entry, ident_format(sender, text)))
		return;
	passed = passed_holds_new(entry, sender);
	passed_holds_apply(passed, holds, count);
	passed_holds_abandon(passed);
}
