#include "task_holds.h"

#include <string.h>

enum {
	/* Limit on the tasks of one kind that a source may hold. A backend server has a few hundred
	 * runs at most. */
	MAX_HELD_TASKS = 4096,
	DECIMAL = 10
};

/* Tasks of one kind that a source holds. */
struct hold_set {
	GPtrArray *tasks; /* names, char * */
	int64_t until_us;
};

struct hold_source {
	struct hold_set runs;
	struct hold_set starts;
	int64_t lost_us;	   /* since when its agent has not been heard; 0: it is heard */
	enum agent_word word;	   /* of its agent */
	bool removed;		   /* freed once it holds nothing any more */
	bool settled;		   /* freed only when its time limits have passed */
	struct hold_origin origin; /* with strings of its own; NULL if it was not passed on */
};

static void free_indexes(gpointer data)
{
	g_hash_table_destroy(data);
}

void task_holds_init(struct task_holds *holds)
{
	*holds = (struct task_holds){
		.jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_indexes),
		.sources = g_ptr_array_new(),
	};
}

static void free_source(struct hold_source *source)
{
	g_ptr_array_free(source->runs.tasks, TRUE);
	g_ptr_array_free(source->starts.tasks, TRUE);
	g_free((char *)source->origin.sender);
	g_free((char *)source->origin.entry);
	g_free((char *)source->origin.agent);
	g_free((char *)source->origin.server);
	g_free(source);
}

void task_holds_free(struct task_holds *holds)
{
	for (guint i = 0; i < holds->sources->len; i++)
		free_source(holds->sources->pdata[i]);
	g_ptr_array_free(holds->sources, TRUE);
	g_hash_table_destroy(holds->jobs);
}

struct hold_source *task_holds_add_source(struct task_holds *holds)
{
	struct hold_source *source = g_new0(struct hold_source, 1);

	source->runs.tasks = g_ptr_array_new_with_free_func(g_free);
	source->starts.tasks = g_ptr_array_new_with_free_func(g_free);
	source->runs.until_us = source->starts.until_us = INT64_MAX;
	g_ptr_array_add(holds->sources, source);
	return source;
}

struct hold_source *task_holds_add_passed_source(struct task_holds *holds,
						 const struct hold_origin *origin)
{
	struct hold_source *source = task_holds_add_source(holds);

	source->origin = *origin;
	source->origin.sender = g_strdup(origin->sender);
	source->origin.entry = g_strdup(origin->entry);
	source->origin.agent = g_strdup(origin->agent);
	source->origin.server = g_strdup(origin->server);
	return source;
}

/* Stores the index of a task, which ends its name. Returns false if NAME is not that of a task. */
static bool parse_index(const char *name, gpointer *index)
{
	const char *dot = strrchr(name, '.');
	guint64 value;

	if (!dot || !g_ascii_string_to_unsigned(dot + 1, DECIMAL, 0, G_MAXUINT32, &value, NULL))
		return false;
	*index = GUINT_TO_POINTER((guint)value);
	return true;
}

static char *job_of(const char *name)
{
	return g_strndup(name, strcspn(name, "."));
}

/* Changes the number of sources that hold the task NAME. */
static void count_source(struct task_holds *holds, const char *name, bool added)
{
	GHashTable *indexes;
	gpointer index;
	guint count;
	char *job;

	if (!parse_index(name, &index))
		return;
	job = job_of(name);
	indexes = g_hash_table_lookup(holds->jobs, job);
	if (!indexes) {
		indexes = g_hash_table_new(NULL, NULL);
		g_hash_table_insert(holds->jobs, g_strdup(job), indexes);
	}
	count = GPOINTER_TO_UINT(g_hash_table_lookup(indexes, index));
	count = added ? count + 1 : count - 1;
	if (count > 0)
		g_hash_table_insert(indexes, index, GUINT_TO_POINTER(count));
	else
		g_hash_table_remove(indexes, index);
	if (g_hash_table_size(indexes) == 0)
		g_hash_table_remove(holds->jobs, job);
	g_free(job);
}

/* Counts the tasks of SET, or does so no more. */
static void count_set(struct task_holds *holds, const struct hold_set *set, bool added)
{
	holds->changes += set->tasks->len > 0;
	for (guint i = 0; i < set->tasks->len; i++)
		count_source(holds, set->tasks->pdata[i], added);
}

static void release(struct task_holds *holds, const struct hold_source *source,
		    struct hold_set *set)
{
	if (source->word != AGENT_WORD_FINAL)
		count_set(holds, set, false);
	g_ptr_array_set_size(set->tasks, 0);
}

static bool set_equals(const struct hold_set *set, char *const *names, size_t count)
{
	if (set->tasks->len != count)
		return false;
	for (size_t i = 0; i < count; i++) {
		if (strcmp(set->tasks->pdata[i], names[i]) != 0)
			return false;
	}
	return true;
}

static void replace(struct task_holds *holds, const struct hold_source *source,
		    struct hold_set *set, char *const *names, size_t count)
{
	count = MIN(count, MAX_HELD_TASKS);
	set->until_us = INT64_MAX;
	if (set_equals(set, names, count))
		return;
	release(holds, source, set);
	for (size_t i = 0; i < count; i++)
		g_ptr_array_add(set->tasks, g_strdup(names[i]));
	if (source->word != AGENT_WORD_FINAL)
		count_set(holds, set, true);
}

size_t task_holds_count(const struct hold_source *source)
{
	return source->runs.tasks->len + source->starts.tasks->len;
}

void task_holds_remove_source(struct task_holds *holds, struct hold_source *source)
{
	release(holds, source, &source->runs);
	release(holds, source, &source->starts);
	holds->abandoned -= source->removed;
	g_ptr_array_remove_fast(holds->sources, source);
	free_source(source);
}

void task_holds_set_word(struct task_holds *holds, struct hold_source *source, enum agent_word word)
{
	bool was_held = source->word != AGENT_WORD_FINAL;
	bool is_held = word != AGENT_WORD_FINAL;

	source->word = word;
	if (was_held == is_held)
		return;
	count_set(holds, &source->runs, is_held);
	count_set(holds, &source->starts, is_held);
}

void task_holds_set_lost(struct hold_source *source, int64_t lost_us)
{
	source->lost_us = lost_us;
}

int64_t task_holds_lost_us(const struct hold_source *source)
{
	return source->lost_us;
}

/* Returns whether SET has a task of JOB for which IS_WANTED returns true. */
static bool has_wanted_task(const struct hold_set *set, const char *job,
			    bool (*is_wanted)(const void *context, uint32_t index),
			    const void *context)
{
	size_t length = strlen(job);
	gpointer index;

	for (guint i = 0; i < set->tasks->len; i++) {
		const char *name = set->tasks->pdata[i];

		if (strncmp(name, job, length) == 0 && name[length] == '.' &&
		    parse_index(name, &index) && is_wanted(context, GPOINTER_TO_UINT(index)))
			return true;
	}
	return false;
}

bool task_holds_await_lost_agent(const struct task_holds *holds, const char *job, int64_t since_us,
				 bool (*is_wanted)(const void *context, uint32_t index),
				 const void *context)
{
	for (guint i = 0; i < holds->sources->len; i++) {
		const struct hold_source *source = holds->sources->pdata[i];

		if (source->word != AGENT_WORD_NONE || source->lost_us == 0 ||
		    source->lost_us > since_us)
			continue;
		if (has_wanted_task(&source->runs, job, is_wanted, context) ||
		    has_wanted_task(&source->starts, job, is_wanted, context))
			return true;
	}
	return false;
}

bool task_holds_agent_heard(struct task_holds *holds, const struct ident *process, int64_t since_us)
{
	uint64_t changes = holds->changes;

	for (guint i = 0; holds->abandoned > 0 && i < holds->sources->len; i++) {
		struct hold_source *source = holds->sources->pdata[i];

		if (source->removed && source->word != AGENT_WORD_FINAL &&
		    ident_equal(&source->origin.process, process))
			task_holds_set_word(holds, source,
					    source->lost_us <= since_us ? AGENT_WORD_FINAL
									: AGENT_WORD_PENDING);
	}
	return holds->changes != changes;
}

bool task_holds_agent_lost(struct task_holds *holds, const struct ident *process, int64_t lost_us)
{
	uint64_t changes = holds->changes;

	for (guint i = 0; i < holds->sources->len; i++) {
		struct hold_source *source = holds->sources->pdata[i];

		if (!ident_equal(&source->origin.process, process))
			continue;
		task_holds_set_word(holds, source, AGENT_WORD_NONE);
		/* While its sender is linked, that one knows whether it hears the agent. */
		if (source->removed)
			source->lost_us = lost_us;
	}
	return holds->changes != changes;
}

void task_holds_abandon_source(struct task_holds *holds, struct hold_source *source,
			       int64_t lost_us, int64_t until_us)
{
	if (task_holds_count(source) == 0) {
		task_holds_remove_source(holds, source);
		return;
	}
	task_holds_limit(source, until_us, until_us);
	if (source->lost_us == 0)
		source->lost_us = lost_us;
	source->removed = true;
	holds->abandoned++;
}

bool task_holds_sender_returned(struct task_holds *holds, const char *sender)
{
	uint64_t changes = holds->changes;

	for (guint i = holds->sources->len; i-- > 0;) {
		struct hold_source *source = holds->sources->pdata[i];

		if (source->removed && g_strcmp0(source->origin.sender, sender) == 0)
			task_holds_remove_source(holds, source);
	}
	return holds->changes != changes;
}

const char *hold_origin_entry(const struct hold_origin *origin)
{
	return origin->entry[0] != '\0' ? origin->entry : origin->sender;
}

static void settle(struct task_holds *holds, struct hold_source *source)
{
	release(holds, source, &source->runs);
	release(holds, source, &source->starts);
	source->settled = true;
}

bool task_holds_agent_settled(struct task_holds *holds, const char *agent,
			      const struct ident *process, const char *server, int64_t connected_us)
{
	uint64_t changes = holds->changes;

	if (holds->abandoned == 0)
		return false;
	for (guint i = holds->sources->len; i-- > 0;) {
		struct hold_source *source = holds->sources->pdata[i];

		/* A process that was connected before may be an earlier one itself. */
		if (!source->removed || source->settled ||
		    source->origin.since_us >= connected_us || server[0] == '\0' ||
		    g_strcmp0(source->origin.agent, agent) != 0 ||
		    g_strcmp0(source->origin.server, server) != 0)
			continue;
		/* A process that has not ended speaks for itself only while it is connected. */
		if (!ident_equal(&source->origin.process, process))
			settle(holds, source);
	}
	return holds->changes != changes;
}

/* Returns whether SOURCE is abandoned and the word of ENTRY on PROCESS. */
static bool is_word_of(const struct hold_source *source, const char *entry,
		       const struct ident *process)
{
	return source->removed && source->origin.sender &&
	       strcmp(hold_origin_entry(&source->origin), entry) == 0 &&
	       ident_equal(&source->origin.process, process);
}

bool task_holds_process_settled(struct task_holds *holds, const char *entry,
				const struct ident *process)
{
	uint64_t changes = holds->changes;

	for (guint i = 0; i < holds->sources->len; i++) {
		struct hold_source *source = holds->sources->pdata[i];

		if (is_word_of(source, entry, process))
			settle(holds, source);
	}
	return holds->changes != changes;
}

bool task_holds_is_settled(const struct task_holds *holds, const char *entry,
			   const struct ident *process)
{
	for (guint i = 0; i < holds->sources->len; i++) {
		const struct hold_source *source = holds->sources->pdata[i];

		if (source->settled && is_word_of(source, entry, process))
			return true;
	}
	return false;
}

bool task_holds_replace(struct task_holds *holds, struct hold_source *source,
			const struct held_tasks *tasks)
{
	uint64_t changes = holds->changes;

	replace(holds, source, &source->runs, tasks->runs, tasks->run_count);
	replace(holds, source, &source->starts, tasks->starts, tasks->start_count);
	return holds->changes != changes;
}

void task_holds_limit(struct hold_source *source, int64_t runs_until_us, int64_t starts_until_us)
{
	source->runs.until_us = MIN(source->runs.until_us, runs_until_us);
	source->starts.until_us = MIN(source->starts.until_us, starts_until_us);
}

static bool is_over(const struct hold_source *source, int64_t now_us)
{
	return source->removed && task_holds_count(source) == 0 &&
	       (!source->settled || now_us > MAX(source->runs.until_us, source->starts.until_us));
}

bool task_holds_expire(struct task_holds *holds, int64_t now_us)
{
	uint64_t changes = holds->changes;

	for (guint i = holds->sources->len; i-- > 0;) {
		struct hold_source *source = holds->sources->pdata[i];

		if (now_us > source->runs.until_us)
			release(holds, source, &source->runs);
		if (now_us > source->starts.until_us)
			release(holds, source, &source->starts);
		if (is_over(source, now_us))
			task_holds_remove_source(holds, source);
	}
	return holds->changes != changes;
}

const struct held_indexes *task_holds_of_job(const struct task_holds *holds, const char *job)
{
	return (const struct held_indexes *)g_hash_table_lookup(holds->jobs, job);
}

bool task_holds_index(const struct held_indexes *indexes, uint32_t index)
{
	return indexes && g_hash_table_contains((GHashTable *)indexes, GUINT_TO_POINTER(index));
}

bool task_holds_contains(const struct task_holds *holds, const char *job, uint32_t index)
{
	return task_holds_index(task_holds_of_job(holds, job), index);
}

void task_holds_foreach(const struct hold_source *source,
			void (*visit)(void *context, const char *task, bool start), void *context)
{
	for (guint i = 0; i < source->runs.tasks->len; i++)
		visit(context, source->runs.tasks->pdata[i], false);
	for (guint i = 0; i < source->starts.tasks->len; i++)
		visit(context, source->starts.tasks->pdata[i], true);
}

void task_holds_foreach_abandoned(const struct task_holds *holds,
				  void (*visit)(void *context, const struct hold_origin *origin,
						const struct hold_source *source),
				  void *context)
{
	for (guint i = 0; i < holds->sources->len; i++) {
		const struct hold_source *source = holds->sources->pdata[i];

		if (source->removed && source->origin.sender && source->word != AGENT_WORD_FINAL)
			visit(context, &source->origin, source);
	}
}

void task_holds_limits(const struct hold_source *source, int64_t *runs_until_us,
		       int64_t *starts_until_us)
{
	*runs_until_us = source->runs.until_us;
	*starts_until_us = source->starts.until_us;
}
