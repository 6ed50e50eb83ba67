#include "crash_history.h"

static void free_record(gpointer data)
{
	struct crash_record *record = data;

	g_ptr_array_free(record->servers, TRUE);
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

static const struct crash_record *find(const struct crash_history *history, const char *name,
				       int64_t now_us)
{
	const struct crash_record *record = g_hash_table_lookup(history->by_task, name);

	return record && !has_expired(history, record, now_us) ? record : NULL;
}

static bool has_server(const struct crash_record *record, const char *server)
{
	return g_ptr_array_find_with_equal_func(record->servers, server, g_str_equal, NULL);
}

/* Adds SERVER to the record of the task NAME and makes that the newest one. */
static struct crash_record *add_server(struct crash_history *history, const char *name,
				       const char *server, bool seen_here, int64_t now_us)
{
	struct crash_record *record;

	remove_old(history, now_us);
	record = g_hash_table_lookup(history->by_task, name);
	if (record) {
		g_queue_remove(&history->by_age, record);
	} else {
		record = g_new0(struct crash_record, 1);
		record->task = g_strdup(name);
		record->servers = g_ptr_array_new_with_free_func(g_free);
		g_hash_table_insert(history->by_task, record->task, record);
	}
	if (record->servers->len < CRASH_RECORD_MAX_SERVERS && !has_server(record, server))
		g_ptr_array_add(record->servers, g_strdup(server));
	record->crashed_here = record->crashed_here || seen_here;
	record->crashed_us = now_us;
	record->sequence = ++history->last_sequence;
	g_queue_push_tail(&history->by_age, record);
	remove_old(history, now_us);
	return record;
}

const struct crash_record *crash_history_add(struct crash_history *history, const char *job,
					     uint32_t index, const char *server, bool early,
					     int64_t now_us)
{
	char *name = task_name(job, index);
	struct crash_record *record = add_server(history, name, server, true, now_us);

	record->early += early;
	g_free(name);
	return record;
}

void crash_history_merge(struct crash_history *history, const char *task, const char *server,
			 int64_t now_us)
{
	const struct crash_record *record = find(history, task, now_us);

	if (!record ||
	    (record->servers->len < CRASH_RECORD_MAX_SERVERS && !has_server(record, server)))
		add_server(history, task, server, false, now_us);
}

const struct crash_record *crash_history_find(const struct crash_history *history, const char *job,
					      uint32_t index, int64_t now_us)
{
	const struct crash_record *record;
	char *name;

	if (g_queue_is_empty((GQueue *)&history->by_age))
		return NULL;
	name = task_name(job, index);
	record = find(history, name, now_us);
	g_free(name);
	return record;
}

void crash_history_remove(struct crash_history *history, const char *job, uint32_t index,
			  const char *server, bool early)
{
	char *name = task_name(job, index);
	struct crash_record *record = g_hash_table_lookup(history->by_task, name);
	guint position;

	g_free(name);
	if (!record ||
	    !g_ptr_array_find_with_equal_func(record->servers, server, g_str_equal, &position))
		return;
	g_ptr_array_remove_index(record->servers, position);
	record->early -= early;
}

uint32_t crash_history_count(const struct crash_history *history, const char *job, uint32_t index,
			     int64_t now_us)
{
	const struct crash_record *record = crash_history_find(history, job, index, now_us);

	return record ? record->servers->len : 0;
}

uint64_t crash_history_since(const struct crash_history *history, uint64_t sequence,
			     GPtrArray *records)
{
	for (const GList *item = history->by_age.tail; item; item = item->prev) {
		struct crash_record *record = item->data;

		if (record->sequence <= sequence)
			break;
		if (record->crashed_here || sequence == 0)
			g_ptr_array_add(records, record);
	}
	return history->last_sequence;
}

char *crash_record_server_names(const struct crash_record *record)
{
	GString *names = g_string_new(NULL);

	for (guint i = 0; i < record->servers->len; i++) {
		if (i > 0)
			g_string_append_c(names, ' ');
		g_string_append(names, record->servers->pdata[i]);
	}
	return g_string_free(names, FALSE);
}
