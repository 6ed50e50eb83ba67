#include "crash_history.h"

static void free_record(gpointer data)
{
	struct crash_record *record = data;

	g_string_free(record->servers, TRUE);
	g_free(record->task);
	g_free(record);
}

void crash_history_init(struct crash_history *history, int64_t retention_us, uint32_t max_tasks)
{
	*history = (struct crash_history){
		.retention_us = retention_us,
		.max_tasks = max_tasks,
		.by_task = g_hash_table_new(g_str_hash, g_str_equal),
	};
	g_queue_init(&history->by_age);
}

void crash_history_free(struct crash_history *history)
{
	g_hash_table_destroy(history->by_task);
	g_queue_clear_full(&history->by_age, free_record);
}

static bool has_expired(const struct crash_history *history, const struct crash_record *record,
			int64_t now_us)
{
	return now_us - record->crashed_us > history->retention_us;
}

static void remove_old(struct crash_history *history, int64_t now_us)
{
	struct crash_record *record;

	while ((record = g_queue_peek_head(&history->by_age)) &&
	       (has_expired(history, record, now_us) ||
		history->by_age.length > MAX(history->max_tasks, 1))) {
		g_queue_pop_head(&history->by_age);
		g_hash_table_remove(history->by_task, record->task);
		free_record(record);
	}
}

static char *task_name(const char *job, uint32_t index)
{
	return g_strdup_printf("%s.%u", job, index);
}

/* Sets the count of the task NAME and makes its record the newest one. */
static struct crash_record *update(struct crash_history *history, const char *name,
				   uint32_t crashes, bool crashed_here, int64_t now_us)
{
	struct crash_record *record = g_hash_table_lookup(history->by_task, name);

	if (record) {
		g_queue_remove(&history->by_age, record);
	} else {
		record = g_new0(struct crash_record, 1);
		record->task = g_strdup(name);
		record->servers = g_string_new(NULL);
		g_hash_table_insert(history->by_task, record->task, record);
	}
	record->crashes = crashes;
	record->crashed_here = crashed_here;
	record->crashed_us = now_us;
	record->sequence = ++history->last_sequence;
	g_queue_push_tail(&history->by_age, record);
	remove_old(history, now_us);
	return record;
}

static uint32_t count(const struct crash_history *history, const char *name, int64_t now_us)
{
	const struct crash_record *record = g_hash_table_lookup(history->by_task, name);

	return record && !has_expired(history, record, now_us) ? record->crashes : 0;
}

const struct crash_record *crash_history_add(struct crash_history *history, const char *job,
					     uint32_t index, const char *server, int64_t now_us)
{
	char *name = task_name(job, index);
	struct crash_record *record =
		update(history, name, count(history, name, now_us) + 1, true, now_us);

	if (record->servers->len > 0)
		g_string_append_c(record->servers, ' ');
	g_string_append(record->servers, server);
	g_free(name);
	return record;
}

void crash_history_merge(struct crash_history *history, const char *task, uint32_t crashes,
			 int64_t now_us)
{
	if (crashes > count(history, task, now_us))
		update(history, task, crashes, false, now_us);
}

uint32_t crash_history_count(const struct crash_history *history, const char *job, uint32_t index,
			     int64_t now_us)
{
	char *name;
	uint32_t crashes;

	if (g_queue_is_empty((GQueue *)&history->by_age))
		return 0;
	name = task_name(job, index);
	crashes = count(history, name, now_us);
	g_free(name);
	return crashes;
}

uint64_t crash_history_since(const struct crash_history *history, uint64_t sequence,
			     GPtrArray *records)
{
	for (const GList *item = history->by_age.tail; item; item = item->prev) {
		struct crash_record *record = item->data;

		if (record->sequence <= sequence)
			break;
		if (record->crashed_here)
			g_ptr_array_add(records, record);
	}
	return history->last_sequence;
}
