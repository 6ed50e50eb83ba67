#include "task_holds.h"

#include <string.h>

/* Tasks of one kind that a source holds. */
struct hold_set {
	GPtrArray *tasks; /* names, char * */
	int64_t until_us;
};

struct hold_source {
	struct hold_set runs;
	struct hold_set starts;
};

void task_holds_init(struct task_holds *holds)
{
	*holds = (struct task_holds){
		.counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
		.sources = g_ptr_array_new(),
	};
}

static void free_source(struct hold_source *source)
{
	g_ptr_array_free(source->runs.tasks, TRUE);
	g_ptr_array_free(source->starts.tasks, TRUE);
	g_free(source);
}

void task_holds_free(struct task_holds *holds)
{
	for (guint i = 0; i < holds->sources->len; i++)
		free_source(holds->sources->pdata[i]);
	g_ptr_array_free(holds->sources, TRUE);
	g_hash_table_destroy(holds->counts);
}

struct hold_source *task_holds_add_source(struct task_holds *holds)
{
	struct hold_source *source = g_new0(struct hold_source, 1);

	source->runs.tasks = g_ptr_array_new_with_free_func(g_free);
	source->starts.tasks = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(holds->sources, source);
	return source;
}

static char *task_key(const char *job, size_t length, const char *index)
{
	return g_strdup_printf("%.*s.%s", (int)length, job, index);
}

/* Returns the key of a task from its name. */
static char *key_of_name(const char *name)
{
	const char *dot = strrchr(name, '.');

	return task_key(name, strcspn(name, "."), dot ? dot + 1 : "");
}

static void release(struct task_holds *holds, struct hold_set *set)
{
	if (set->tasks->len == 0)
		return;
	holds->changes++;
	for (guint i = 0; i < set->tasks->len; i++) {
		char *key = key_of_name(set->tasks->pdata[i]);
		guint count = GPOINTER_TO_UINT(g_hash_table_lookup(holds->counts, key));

		if (count > 1)
			g_hash_table_replace(holds->counts, g_strdup(key),
					     GUINT_TO_POINTER(count - 1));
		else
			g_hash_table_remove(holds->counts, key);
		g_free(key);
	}
	g_ptr_array_set_size(set->tasks, 0);
}

static void hold(struct task_holds *holds, struct hold_set *set, char *const *names, size_t count)
{
	set->until_us = INT64_MAX;
	holds->changes += count > 0;
	for (size_t i = 0; i < count; i++) {
		char *key = key_of_name(names[i]);
		guint sources = GPOINTER_TO_UINT(g_hash_table_lookup(holds->counts, key));

		g_hash_table_replace(holds->counts, key, GUINT_TO_POINTER(sources + 1));
		g_ptr_array_add(set->tasks, g_strdup(names[i]));
	}
}

void task_holds_remove_source(struct task_holds *holds, struct hold_source *source)
{
	release(holds, &source->runs);
	release(holds, &source->starts);
	g_ptr_array_remove_fast(holds->sources, source);
	free_source(source);
}

void task_holds_replace(struct task_holds *holds, struct hold_source *source,
			const struct held_tasks *tasks)
{
	release(holds, &source->runs);
	release(holds, &source->starts);
	hold(holds, &source->runs, tasks->runs, tasks->run_count);
	hold(holds, &source->starts, tasks->starts, tasks->start_count);
}

void task_holds_limit(struct hold_source *source, int64_t runs_until_us, int64_t starts_until_us)
{
	source->runs.until_us = runs_until_us;
	source->starts.until_us = starts_until_us;
}

void task_holds_expire(struct task_holds *holds, int64_t now_us)
{
	for (guint i = 0; i < holds->sources->len; i++) {
		struct hold_source *source = holds->sources->pdata[i];

		if (now_us > source->runs.until_us)
			release(holds, &source->runs);
		if (now_us > source->starts.until_us)
			release(holds, &source->starts);
	}
}

bool task_holds_contains(const struct task_holds *holds, const char *job, uint32_t index)
{
	char text[16];
	bool held;
	char *key;

	if (g_hash_table_size(holds->counts) == 0)
		return false;
	g_snprintf(text, sizeof(text), "%u", index);
	key = task_key(job, strlen(job), text);
	held = g_hash_table_contains(holds->counts, key);
	g_free(key);
	return held;
}

void task_holds_foreach(const struct hold_source *source,
			void (*visit)(void *context, const char *task, bool start), void *context)
{
	for (guint i = 0; i < source->runs.tasks->len; i++)
		visit(context, source->runs.tasks->pdata[i], false);
	for (guint i = 0; i < source->starts.tasks->len; i++)
		visit(context, source->starts.tasks->pdata[i], true);
}
