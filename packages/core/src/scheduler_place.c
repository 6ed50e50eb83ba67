#include "scheduler_defs.h"

#include <string.h>

/*
 * Servers of equal zone and labels form a pool. Labels that no class requires are ignored, so that
 * labels unique to a server do not split the pools. Within a pool the order of the servers is the
 * same for every class, because the cost of a server is the estimated run time of the class times
 * the server's placement factor, plus the zone penalty, which is the same in the whole pool. So
 * each pool keeps its servers in heaps ordered by factor, and placement compares only the first
 * server of each pool.
 */

enum {
	FIRST_CAPACITY = 4,
	MILLI = 1000,
	/* A busy server is considered stalled after this many mean run times without a start or
	 * result. A single straggler does not stall the server while tasks in its other slots
	 * finish. */
	STALL_MEAN_RUNS = 4,
	/* Longest wait for a faster server. The server of an unresponsive agent may appear busy
	 * until the agent is removed after agent_lost_ms, 10 s by default. */
	MAX_WAIT_US = 10000000
};

static const double completion_rate_period_us = 1e9; /* completion rates are in tasks per 1,000 s */

/* A task waits for a faster server only when that saves more than this fraction of the cost on the
 * faster server. The learned speeds of equal servers differ by less, so waiting for one of them
 * would only add latency. */
static const double min_relative_gain = 0.5;

void place_init(struct sched *sched)
{
	table_init(&sched->servers, sizeof(struct server_row));
	table_init(&sched->pools, sizeof(struct server_pool));
	sched->pool_keys = g_hash_table_new(g_str_hash, g_str_equal);
	sched->label_set = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void pool_clear(struct server_pool *pool)
{
	for (int group = 0; group < GROUP_COUNT; group++)
		g_free(pool->heap[group]);
	g_free(pool->key);
	g_free(pool->zone);
	g_strfreev(pool->labels);
	g_ptr_array_unref(pool->classes);
}

void place_free(struct sched *sched)
{
	uint32_t cursor = 0;
	struct server_row *server;
	struct server_pool *pool;

	while ((server = table_next(&sched->servers, &cursor, NULL)))
		g_strfreev(server->labels);
	cursor = 0;
	while ((pool = table_next(&sched->pools, &cursor, NULL)))
		pool_clear(pool);
	g_hash_table_unref(sched->label_set);
	table_free(&sched->pools);
	table_free(&sched->servers);
	g_hash_table_unref(sched->pool_keys);
}

/* Heaps of servers. */

static bool server_before(const struct server_row *a, const struct server_row *b)
{
	if (a->placement_factor != b->placement_factor)
		return a->placement_factor < b->placement_factor;
	if (a->tie_breaker != b->tie_breaker)
		return a->tie_breaker < b->tie_breaker;
	return a->serial < b->serial;
}

static void heap_set(struct server_row **heap, uint32_t i, struct server_row *server)
{
	heap[i] = server;
	server->heap_index = i;
}

static void sift_up(struct server_row **heap, uint32_t i)
{
	struct server_row *moved = heap[i];

	while (i > 0 && server_before(moved, heap[(i - 1) / 2])) {
		heap_set(heap, i, heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	heap_set(heap, i, moved);
}

static void sift_down(struct server_row **heap, uint32_t count, uint32_t i)
{
	struct server_row *moved = heap[i];

	for (;;) {
		uint32_t smallest = 2 * i + 1;

		if (smallest >= count)
			break;
		if (smallest + 1 < count && server_before(heap[smallest + 1], heap[smallest]))
			smallest++;
		if (!server_before(heap[smallest], moved))
			break;
		heap_set(heap, i, heap[smallest]);
		i = smallest;
	}
	heap_set(heap, i, moved);
}

static void group_remove(struct sched *sched, struct server_row *server)
{
	struct server_pool *pool = server->pool;
	enum server_group group = server->group;
	struct server_row *last;

	server->group = GROUP_CLOSED;
	if (group == GROUP_CLOSED)
		return;
	if (group == GROUP_AVAILABLE)
		sched->available_servers--;
	last = pool->heap[group][--pool->count[group]];
	if (last == server)
		return;
	heap_set(pool->heap[group], server->heap_index, last);
	sift_up(pool->heap[group], last->heap_index);
	sift_down(pool->heap[group], pool->count[group], last->heap_index);
}

static void group_insert(struct sched *sched, struct server_row *server, enum server_group group)
{
	struct server_pool *pool = server->pool;

	server->group = group;
	if (group == GROUP_CLOSED)
		return;
	if (group == GROUP_AVAILABLE)
		sched->available_servers++;
	if (pool->count[group] == pool->capacity[group]) {
		pool->capacity[group] =
			pool->capacity[group] > 0 ? 2 * pool->capacity[group] : FIRST_CAPACITY;
		pool->heap[group] =
			g_renew(struct server_row *, pool->heap[group], pool->capacity[group]);
	}
	heap_set(pool->heap[group], pool->count[group]++, server);
	sift_up(pool->heap[group], server->heap_index);
}

static enum server_group classify_server(const struct server_row *server)
{
	if (!server->open)
		return GROUP_CLOSED;
	if (server->credits > 0)
		return GROUP_AVAILABLE;
	return server->running_tasks > 0 ? GROUP_BUSY : GROUP_IDLE;
}

static uint64_t completion_rate(const struct server_row *server)
{
	if (classify_server(server) != GROUP_BUSY || server->estimate.mean_run_us <= 0)
		return 0;
	return (uint64_t)(server->running_tasks * completion_rate_period_us /
			  server->estimate.mean_run_us);
}

static uint64_t effective_slots_milli(const struct server_row *server)
{
	return server->open ? (uint64_t)(server->slots * (double)MILLI / server->estimate.factor)
			    : 0;
}

/* Updates the server's group, its heap position and its contribution to the pool's totals. */
void place_update_server(struct sched *sched, struct server_row *server)
{
	struct server_pool *pool = server->pool;
	enum server_group group = classify_server(server);
	double factor = learn_placement_factor(&server->estimate);
	bool factor_changed = factor != server->placement_factor;

	server->placement_factor = factor;
	pool->completion_rate -= server->completion_rate;
	pool->effective_slots_milli -= server->effective_slots_milli;
	server->completion_rate = completion_rate(server);
	server->effective_slots_milli = effective_slots_milli(server);
	pool->completion_rate += server->completion_rate;
	pool->effective_slots_milli += server->effective_slots_milli;
	if (group != server->group) {
		group_remove(sched, server);
		group_insert(sched, server, group);
	} else if (factor_changed && group != GROUP_CLOSED) {
		sift_up(pool->heap[group], server->heap_index);
		sift_down(pool->heap[group], pool->count[group], server->heap_index);
	}
}

/* Pools and their links to the classes that may run in them. */

static void link_if_eligible(struct class_row *class, struct server_pool *pool)
{
	if (!rules_zone_allowed(class, pool->zone) || !rules_labels_match(class, pool->labels))
		return;
	g_ptr_array_add(class->pools, pool);
	g_ptr_array_add(pool->classes, class);
}

void place_unlink_class(struct sched *sched, struct class_row *class)
{
	for (uint32_t i = 0; i < class->pools->len; i++) {
		struct server_pool *pool = class->pools->pdata[i];

		g_ptr_array_remove_fast(pool->classes, class);
	}
	g_ptr_array_set_size(class->pools, 0);
}

/* Links a new class, or a class whose rules changed, to the pools that it may run in. */
void place_link_class(struct sched *sched, struct class_row *class)
{
	uint32_t cursor = 0;
	struct server_pool *pool;

	place_unlink_class(sched, class);
	while ((pool = table_next(&sched->pools, &cursor, NULL)))
		link_if_eligible(class, pool);
}

static int compare_labels(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Returns the zone and the sorted labels as one string. The separator is a newline, which JSON
 * text cannot hold unescaped; two different pools can still get the same key if a decoded zone or
 * label contains a newline. */
static char *pool_key(const char *zone, char **labels)
{
	char *joined = g_strjoinv("\n", labels);
	char *key = g_strconcat(zone, "\n", joined, NULL);

	g_free(joined);
	return key;
}

/* Returns a sorted copy of those labels that at least one class requires. */
static char **relevant_labels(const struct sched *sched, char **labels)
{
	char **relevant = g_new0(char *, g_strv_length(labels) + 1);
	uint32_t count = 0;

	for (; *labels; labels++) {
		if (g_hash_table_contains(sched->label_set, *labels))
			relevant[count++] = g_strdup(*labels);
	}
	qsort(relevant, count, sizeof(*relevant), compare_labels);
	return relevant;
}

static struct server_pool *find_pool(struct sched *sched, const char *zone, char **server_labels)
{
	char **labels = relevant_labels(sched, server_labels);
	char *key = pool_key(zone, labels);
	struct server_pool *pool = g_hash_table_lookup(sched->pool_keys, key);
	struct handle handle;

	if (pool) {
		g_free(key);
		g_strfreev(labels);
		return pool;
	}
	pool = table_add(&sched->pools, &handle);
	pool->handle = handle;
	pool->key = key;
	pool->zone = g_strdup(zone);
	pool->labels = labels;
	pool->classes = g_ptr_array_new();
	if (strcmp(zone, sched->local_zone) != 0)
		pool->penalty_us = (double)sched->limits.zone_penalty_us;
	g_hash_table_insert(sched->pool_keys, pool->key, pool);
	for (uint32_t i = 0; i < sched->class_list->len; i++)
		link_if_eligible(sched->class_list->pdata[i], pool);
	return pool;
}

static void pool_remove_server(struct sched *sched, struct server_row *server)
{
	struct server_pool *pool = server->pool;

	group_remove(sched, server);
	pool->completion_rate -= server->completion_rate;
	pool->effective_slots_milli -= server->effective_slots_milli;
	server->completion_rate = 0;
	server->effective_slots_milli = 0;
	server->pool = NULL;
	if (--pool->servers > 0)
		return;
	for (uint32_t i = 0; i < pool->classes->len; i++) {
		struct class_row *class = pool->classes->pdata[i];

		g_ptr_array_remove_fast(class->pools, pool);
	}
	g_hash_table_remove(sched->pool_keys, pool->key);
	pool_clear(pool);
	table_remove(&sched->pools, pool->handle);
}

static void assign_pool(struct sched *sched, struct server_row *server, const char *zone)
{
	struct server_pool *pool = find_pool(sched, zone, server->labels);

	if (pool != server->pool) {
		pool->servers++;
		if (server->pool)
			pool_remove_server(sched, server);
		server->pool = pool;
	}
	place_update_server(sched, server);
}

static void apply_spec(struct sched *sched, struct server_row *server,
		       const struct sched_server_spec *spec)
{
	char *no_labels[] = {NULL};

	g_strfreev(server->labels);
	server->labels = g_strdupv(spec->labels ? (char **)spec->labels : no_labels);
	server->slots = spec->slots;
	server->open = spec->open;
	assign_pool(sched, server, spec->zone ? spec->zone : "");
}

/* Reassigns all servers to pools by the labels that the classes require now. */
void place_rebuild_pools(struct sched *sched)
{
	uint32_t cursor = 0;
	struct server_row *server;

	g_hash_table_remove_all(sched->label_set);
	for (uint32_t i = 0; i < sched->class_list->len; i++) {
		const struct class_row *class = sched->class_list->pdata[i];

		for (char **label = class->labels; label && *label; label++)
			g_hash_table_add(sched->label_set, g_strdup(*label));
	}
	while ((server = table_next(&sched->servers, &cursor, NULL)))
		assign_pool(sched, server, server->pool->zone);
}

/* Returns a number that orders equally fast servers. Entries with different seeds prefer different
 * servers. The mixing function is the finalizer of splitmix64. */
static uint64_t tie_break(uint64_t seed, uint64_t serial)
{
	uint64_t mixed = seed + serial * 0x9e3779b97f4a7c15U;

	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9U;
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebU;
	return mixed ^ (mixed >> 31);
}

struct handle sched_server_add(struct sched *sched, const struct sched_server_spec *spec,
			       void *context)
{
	struct handle handle;
	struct server_row *server = table_add(&sched->servers, &handle);

	server->handle = handle;
	server->context = context;
	server->serial = ++sched->next_serial;
	server->tie_breaker = tie_break(sched->seed, server->serial);
	server->group = GROUP_CLOSED;
	learn_server_init(&server->estimate, &sched->server_mean);
	apply_spec(sched, server, spec);
	return handle;
}

void sched_server_update(struct sched *sched, struct handle handle,
			 const struct sched_server_spec *spec)
{
	struct server_row *server = table_get(&sched->servers, handle);

	if (server)
		apply_spec(sched, server, spec);
}

void sched_server_remove(struct sched *sched, struct handle handle)
{
	struct server_row *server = table_get(&sched->servers, handle);

	if (!server)
		return;
	pool_remove_server(sched, server);
	g_strfreev(server->labels);
	learn_server_remove(&server->estimate, &sched->server_mean);
	table_remove(&sched->servers, handle);
}

void sched_server_set_credits(struct sched *sched, struct handle handle, uint64_t credits)
{
	struct server_row *server = table_get(&sched->servers, handle);

	if (!server)
		return;
	server->credits = credits;
	place_update_server(sched, server);
}

uint64_t place_pool_demand(const struct server_pool *pool)
{
	uint64_t demand = 0;

	for (uint32_t i = 0; i < pool->classes->len; i++) {
		const struct class_row *class = pool->classes->pdata[i];

		demand += class->queued_tasks;
	}
	return demand;
}

uint64_t sched_server_demand(const struct sched *sched, struct handle handle)
{
	const struct server_row *server = table_get(&sched->servers, handle);

	return server ? place_pool_demand(server->pool) : 0;
}

/* Approximates the lowest learned factor of the open servers that may run CLASS, or returns 0 when
 * no such server is open. Looks only at the first server of each group. The groups are ordered by
 * placement factor, which refusals and failures raise, so a later server can have a lower learned
 * factor. */
double place_min_factor_estimate(const struct class_row *class)
{
	double fastest = 0;

	for (uint32_t i = 0; i < class->pools->len; i++) {
		const struct server_pool *pool = class->pools->pdata[i];

		for (int group = 0; group < GROUP_COUNT; group++) {
			double factor;

			if (pool->count[group] == 0)
				continue;
			factor = pool->heap[group][0]->estimate.factor;
			if (fastest == 0 || factor < fastest)
				fastest = factor;
		}
	}
	return fastest;
}

static double placement_cost_us(const struct class_row *class, const struct server_row *server)
{
	return class->estimate.run_us * server->placement_factor + server->pool->penalty_us;
}

/* Returns the server in GROUP with the lowest placement cost, or NULL. The cost is the estimated
 * run time of the class times the placement factor, plus the zone penalty. */
static struct server_row *cheapest_server(const struct class_row *class, enum server_group group)
{
	struct server_row *best = NULL;
	double best_cost_us = 0;

	for (uint32_t i = 0; i < class->pools->len; i++) {
		const struct server_pool *pool = class->pools->pdata[i];
		struct server_row *server;
		double cost_us;

		if (pool->count[group] == 0)
			continue;
		server = pool->heap[group][0];
		cost_us = placement_cost_us(class, server);
		if (best && (cost_us > best_cost_us ||
			     (cost_us == best_cost_us && server_before(best, server))))
			continue;
		best = server;
		best_cost_us = cost_us;
	}
	return best;
}

/*
 * Decides whether the first job of CLASS should start on AVAILABLE now or wait for the faster
 * server BUSY. The job waits when all queued tasks that may run in the pool of BUSY are expected to
 * start and finish there before AVAILABLE would finish one. Otherwise the queue is deep, and no
 * free slot stays unused. The job does not wait either when the gain does not exceed
 * min_relative_gain, when BUSY has stalled, or when the completion rate of the pool of BUSY is not
 * known yet. A wait ends when BUSY stalls, after MAX_WAIT_US, or once the wait has lasted as long
 * as the time that it could save, which bounds the loss when BUSY does not respond.
 *
 * Returns NULL to wait, or the job to start. If the queue is deep but the first job alone would
 * finish earlier by waiting, a job of the highest size group starts on AVAILABLE instead, because a
 * large job finishes late in any case.
 */
static struct job_row *choose_job_or_wait(struct sched *sched, struct class_row *class,
					  const struct server_row *available,
					  const struct server_row *busy, int64_t now_us)
{
	struct job_row *head = queue_head(class)->job;
	double busy_cost_us = placement_cost_us(class, busy);
	double gain_us = placement_cost_us(class, available) - busy_cost_us;
	int64_t wait_end_us =
		busy->last_activity_us + (int64_t)(STALL_MEAN_RUNS * busy->estimate.mean_run_us);
	double interval_us;

	if (gain_us <= min_relative_gain * busy_cost_us || busy->pool->completion_rate == 0 ||
	    now_us >= wait_end_us)
		return head;
	interval_us = completion_rate_period_us / (double)busy->pool->completion_rate;
	if ((double)place_pool_demand(busy->pool) * interval_us >= gain_us)
		return head->queued_tasks * interval_us < gain_us ? queue_first_large_job(class)
								  : head;
	if (class->wait_since_us == NO_TIME)
		class->wait_since_us = now_us;
	wait_end_us =
		MIN(wait_end_us, class->wait_since_us + (int64_t)MIN(gain_us, (double)MAX_WAIT_US));
	if (now_us >= wait_end_us)
		return head;
	sched->wake_us = MIN(sched->wake_us, wait_end_us);
	return NULL;
}

/* Chooses the job and the server for the next start of CLASS, which must have an eligible queued
 * job. Stores the job at JOB and returns the server, or NULL when no server is available or the
 * class should wait for a faster one. */
struct server_row *place_choose_server(struct sched *sched, struct class_row *class, int64_t now_us,
				       struct job_row **job)
{
	struct server_row *available = cheapest_server(class, GROUP_AVAILABLE);
	const struct server_row *busy;

	if (!available)
		return NULL;
	busy = cheapest_server(class, GROUP_BUSY);
	*job = busy ? choose_job_or_wait(sched, class, available, busy, now_us)
		    : queue_head(class)->job;
	return *job ? available : NULL;
}
