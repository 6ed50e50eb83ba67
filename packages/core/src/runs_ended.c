/* The runs that the server has lately said to be over. Lists may overtake each other, and a late
 * one shows such a run as running. */
#include "runs_state.h"

enum {
	RETENTION_US = 5000 * US_PER_MS /* longer than a list is under way */
};

struct ended_run {
	char *task;
	uint32_t attempt;
	int64_t ended_us;
};

static void free_ended_run(gpointer data)
{
	struct ended_run *ended = data;

	g_free(ended->task);
	g_free(ended);
}

void runs_ended_init(struct runs *runs)
{
	runs->ended = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&runs->ended_order);
}

void runs_ended_free(struct runs *runs)
{
	g_hash_table_destroy(runs->ended);
	g_queue_clear_full(&runs->ended_order, free_ended_run);
}

void runs_ended_clear(struct runs *runs)
{
	g_hash_table_remove_all(runs->ended);
	g_queue_clear_full(&runs->ended_order, free_ended_run);
}

void runs_ended_add(struct runs *runs, const char *task, uint32_t attempt, int64_t now_us)
{
	struct ended_run *ended = g_new(struct ended_run, 1);

	*ended = (struct ended_run){.task = g_strdup(task), .attempt = attempt, .ended_us = now_us};
	g_queue_push_tail(&runs->ended_order, ended);
	g_hash_table_replace(runs->ended, ended->task, ended);
}

bool runs_ended_contains(const struct runs *runs, const char *task, uint32_t attempt)
{
	const struct ended_run *ended = g_hash_table_lookup(runs->ended, task);

	return ended && attempt <= ended->attempt;
}

void runs_ended_expire(struct runs *runs, int64_t now_us)
{
	struct ended_run *ended;

	while ((ended = g_queue_peek_head(&runs->ended_order)) &&
	       now_us - ended->ended_us > RETENTION_US) {
		g_queue_pop_head(&runs->ended_order);
		if (g_hash_table_lookup(runs->ended, ended->task) == ended)
			g_hash_table_remove(runs->ended, ended->task);
		free_ended_run(ended);
	}
}
