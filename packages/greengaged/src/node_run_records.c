#include "node_run_records.h"

#include <string.h>

#include "client_api.h"
#include "ident.h"
#include "node_holds.h"

/* ---- sender ---- */

static void free_record(gpointer data)
{
	Ggd__RunRecord *record = data;

	g_free(record->job);
	g_free(record->indexes);
	g_free(record->agent.data);
	g_free(record->agent_name);
	g_free(record->server);
	g_free(record);
}

static GPtrArray *new_records(void)
{
	return g_ptr_array_new_with_free_func(free_record);
}

static bool same_runs(const Ggd__RunRecord *record, const struct agent_state *agent,
		      const char *job)
{
	if (strcmp(record->job, job) != 0)
		return false;
	if (!agent || record->agent.len == 0)
		return !agent && record->agent.len == 0;
	return memcmp(record->agent.data, agent->incarnation->bytes, IDENT_BYTES) == 0;
}

/* Adds a task to RECORDS, whose run was ordered from AGENT, or is settled if that is NULL. */
static void add_task(GPtrArray *records, const struct agent_state *agent, const char *job,
		     uint32_t step, uint32_t index)
{
	Ggd__RunRecord *record = records->len > 0 ? records->pdata[records->len - 1] : NULL;

	if (!record || !same_runs(record, agent, job)) {
		record = g_new(Ggd__RunRecord, 1);
		ggd__run_record__init(record);
		record->job = g_strdup(job);
		record->step = step;
		record->agent_name = g_strdup(agent ? agent->name : "");
		record->server = g_strdup(agent ? agent->server_id : "");
		if (agent) {
			record->agent.data = g_memdup2(agent->incarnation->bytes, IDENT_BYTES);
			record->agent.len = IDENT_BYTES;
		}
		g_ptr_array_add(records, record);
	}
	record->indexes = g_renew(uint32_t, record->indexes, record->n_indexes + 1);
	record->indexes[record->n_indexes++] = index;
}

static GPtrArray *get_changes(struct node_entry *entry)
{
	if (!entry->run_changes)
		entry->run_changes = new_records();
	return entry->run_changes;
}

void node_run_records_ordered(struct node_entry *entry, const struct agent_state *agent,
			      const struct run_order *order)
{
	entry->runs_ordered = true;
	add_task(get_changes(entry), agent, order->job, order->step, order->index);
}

void node_run_records_settled(struct node_entry *entry, const char *job, uint32_t index)
{
	add_task(get_changes(entry), NULL, job, 0, index);
}

bool node_run_records_urgent(const struct node_entry *entry)
{
	return entry->run_changes && entry->runs_ordered;
}

GPtrArray *node_run_records_take(struct node_entry *entry)
{
	entry->runs_ordered = false;
	return g_steal_pointer(&entry->run_changes);
}

struct collection {
	const struct node_entry *entry;
	const struct agent_state *agent;
	GPtrArray *records;
};

static void collect_run(void *context, const char *job, uint32_t step, uint32_t index, bool start)
{
	struct collection *collection = context;

	add_task(collection->records, collection->agent, job, step, index);
}

static void collect_agent(void *context, const struct agent_state *agent)
{
	struct collection *collection = context;

	collection->agent = agent;
	dispatch_foreach_unsettled(&collection->entry->dispatch, agent->server, INT64_MAX,
				   collect_run, collection);
}

GPtrArray *node_run_records_collect(const struct node_entry *entry)
{
	struct collection collection = {.entry = entry, .records = new_records()};

	node_agent_links_foreach(entry, collect_agent, &collection);
	return collection.records;
}

/* ---- witness ---- */

/* An agent process from which the sender has ordered runs. */
struct holder {
	struct ident process;
	char *agent;
	char *server;
	int64_t since_us; /* when the sender first named it */
	uint32_t runs;
};

struct run_record {
	struct holder *holder;
	uint32_t step;
	uint32_t index;
	char job[]; /* with the index it is the key in the table */
};

struct run_records {
	struct node_entry *entry;
	struct ident sender;
	GHashTable *runs;   /* set of struct run_record * */
	GPtrArray *holders; /* struct holder * */
};

static guint hash_record(gconstpointer key)
{
	const struct run_record *record = key;

	return g_str_hash(record->job) + record->index;
}

static gboolean equal_records(gconstpointer a, gconstpointer b)
{
	const struct run_record *left = a;
	const struct run_record *right = b;

	return left->index == right->index && strcmp(left->job, right->job) == 0;
}

static void remove_record(gpointer data)
{
	struct run_record *record = data;

	if (record->holder)
		record->holder->runs--;
	g_free(record);
}

static void free_holder(gpointer data)
{
	struct holder *holder = data;

	g_free(holder->agent);
	g_free(holder->server);
	g_free(holder);
}

struct run_records *run_records_new(struct node_entry *entry, const struct ident *sender)
{
	struct run_records *records = g_new(struct run_records, 1);

	*records = (struct run_records){
		.entry = entry,
		.sender = *sender,
		.runs = g_hash_table_new_full(hash_record, equal_records, NULL, remove_record),
		.holders = g_ptr_array_new_with_free_func(free_holder),
	};
	return records;
}

/* Removes the holders without runs: agents come and go. */
static void remove_unused_holders(struct run_records *records)
{
	for (guint i = records->holders->len; i-- > 0;) {
		if (((struct holder *)records->holders->pdata[i])->runs == 0)
			g_ptr_array_remove_index_fast(records->holders, i);
	}
}

static struct holder *find_or_add_holder(struct run_records *records, const Ggd__RunRecord *message)
{
	struct holder *holder;

	for (guint i = 0; i < records->holders->len; i++) {
		holder = records->holders->pdata[i];
		if (memcmp(holder->process.bytes, message->agent.data, IDENT_BYTES) == 0 &&
		    strcmp(holder->server, message->server) == 0)
			return holder;
	}
	remove_unused_holders(records);
	holder = g_new(struct holder, 1);
	*holder = (struct holder){
		.agent = g_strdup(message->agent_name),
		.server = g_strdup(message->server),
		.since_us = records->entry->loop.now_us,
	};
	memcpy(holder->process.bytes, message->agent.data, IDENT_BYTES);
	g_ptr_array_add(records->holders, holder);
	return holder;
}

static void apply_record(struct run_records *records, const Ggd__RunRecord *message)
{
	bool ordered = message->agent.len == IDENT_BYTES;
	struct holder *holder = ordered ? find_or_add_holder(records, message) : NULL;
	size_t length = strlen(message->job);

	for (size_t i = 0; i < message->n_indexes; i++) {
		struct run_record *record = g_malloc(sizeof(*record) + length + 1);

		*record = (struct run_record){
			.holder = holder, .step = message->step, .index = message->indexes[i]};
		memcpy(record->job, message->job, length + 1);
		if (!ordered) {
			g_hash_table_remove(records->runs, record);
			g_free(record);
			continue;
		}
		holder->runs++;
		g_hash_table_replace(records->runs, record, record);
	}
}

void run_records_apply(struct run_records *records, const Ggd__RunRecords *message)
{
	if (message->replace)
		g_hash_table_remove_all(records->runs);
	for (size_t i = 0; i < message->n_records; i++)
		apply_record(records, message->records[i]);
}

/* Holds the tasks of the runs that were ordered from HOLDER. */
static void hold_tasks(struct run_records *records, const struct holder *holder)
{
	char sender[IDENT_HEX_BYTES];
	const struct hold_origin origin = {
		.sender = ident_format(&records->sender, sender),
		.entry = "",
		.process = holder->process,
		.agent = holder->agent,
		.server = holder->server,
		.since_us = holder->since_us,
	};
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, records->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run_record *record = value;

		if (record->holder == holder)
			g_ptr_array_add(names,
					client_task_name(record->job, record->step, record->index));
	}
	node_holds_add_abandoned(
		records->entry, &origin,
		&(struct held_tasks){.runs = (char **)names->pdata, .run_count = names->len});
	g_ptr_array_free(names, TRUE);
}

void run_records_abandon(struct run_records *records)
{
	for (guint i = 0; i < records->holders->len; i++) {
		const struct holder *holder = records->holders->pdata[i];

		if (holder->runs > 0)
			hold_tasks(records, holder);
	}
	g_hash_table_destroy(records->runs);
	g_ptr_array_free(records->holders, TRUE);
	g_free(records);
}
