#include "scheduler_defs.h"

#include <string.h>

enum {
	FIRST_SWEEP = 256 /* number of classes or teams at which unused ones are first dropped */
};

void rules_init(struct sched *sched)
{
	table_init(&sched->classes, sizeof(struct class_row));
	table_init(&sched->teams, sizeof(struct team_row));
	table_init(&sched->buckets, sizeof(struct bucket));
	sched->class_names = g_hash_table_new(g_str_hash, g_str_equal);
	sched->team_names = g_hash_table_new(g_str_hash, g_str_equal);
	sched->class_list = g_ptr_array_new();
	sched->class_sweep_threshold = FIRST_SWEEP;
	sched->team_sweep_threshold = FIRST_SWEEP;
}

static void class_clear(struct class_row *class)
{
	g_strfreev(class->zones);
	g_strfreev(class->labels);
	for (int i = 0; i < SIZE_GROUPS; i++)
		g_free(class->bucket_heaps[i].buckets);
	g_ptr_array_unref(class->pools);
}

void rules_free(struct sched *sched)
{
	uint32_t cursor = 0;
	struct class_row *class;
	struct bucket *bucket;

	while ((class = table_next(&sched->classes, &cursor, NULL)))
		class_clear(class);
	cursor = 0;
	while ((bucket = table_next(&sched->buckets, &cursor, NULL)))
		g_free(bucket->heap);
	table_free(&sched->classes);
	table_free(&sched->teams);
	table_free(&sched->buckets);
	g_hash_table_unref(sched->class_names);
	g_hash_table_unref(sched->team_names);
	g_ptr_array_unref(sched->class_list);
}

/* The names of unconfigured classes and teams come from clients. Unconfigured classes and teams
 * without jobs are dropped each time the table has doubled. This bounds the table in proportion to
 * the number of configured names and jobs, at constant amortized cost per row. */
static void sweep_classes(struct sched *sched)
{
	uint32_t cursor = 0;
	struct class_row *class;

	while ((class = table_next(&sched->classes, &cursor, NULL))) {
		if (class->configured || class->jobs > 0)
			continue;
		while (class->buckets)
			queue_bucket_free(sched, class->buckets);
		place_unlink_class(sched, class);
		g_hash_table_remove(sched->class_names, class->name);
		g_ptr_array_remove_fast(sched->class_list, class);
		class_clear(class);
		table_remove(&sched->classes, class->handle);
	}
	sched->class_sweep_threshold = MAX(FIRST_SWEEP, 2 * table_count(&sched->classes));
}

static void sweep_teams(struct sched *sched)
{
	uint32_t cursor = 0;
	struct team_row *team;

	while ((team = table_next(&sched->teams, &cursor, NULL))) {
		if (team->configured || team->jobs > 0)
			continue;
		while (team->buckets)
			queue_bucket_free(sched, team->buckets);
		g_hash_table_remove(sched->team_names, team->name);
		table_remove(&sched->teams, team->handle);
	}
	sched->team_sweep_threshold = MAX(FIRST_SWEEP, 2 * table_count(&sched->teams));
}

static struct class_row *class_add(struct sched *sched, const char *name)
{
	struct class_row *class;
	struct handle handle;

	if (table_count(&sched->classes) >= sched->class_sweep_threshold)
		sweep_classes(sched);
	class = table_add(&sched->classes, &handle);
	class->handle = handle;
	g_strlcpy(class->name, name, sizeof(class->name));
	class->wait_since_us = NO_TIME;
	class->pools = g_ptr_array_new();
	learn_class_init(&class->estimate, &sched->server_mean, 0);
	class->key_run_us = class->estimate.run_us;
	g_hash_table_insert(sched->class_names, class->name, class);
	g_ptr_array_add(sched->class_list, class);
	place_link_class(sched, class);
	return class;
}

static struct team_row *team_add(struct sched *sched, const char *name)
{
	struct team_row *team;
	struct handle handle;

	if (table_count(&sched->teams) >= sched->team_sweep_threshold)
		sweep_teams(sched);
	team = table_add(&sched->teams, &handle);
	team->handle = handle;
	g_strlcpy(team->name, name, sizeof(team->name));
	team->weight = 1;
	g_hash_table_insert(sched->team_names, team->name, team);
	return team;
}

/* Returns the class of a submitted job, or NULL when the class is not configured. While no class is
 * configured, every class is allowed and created on first use; a class that was configured before
 * keeps its last rules, and any other class may run on every server. */
struct class_row *rules_get_class(struct sched *sched, const char *name)
{
	struct class_row *class = g_hash_table_lookup(sched->class_names, name);

	if (sched->configured_classes > 0)
		return class && class->configured ? class : NULL;
	return class ? class : class_add(sched, name);
}

/* Returns the team of a submitted job; creates it on first use. A team without a rule has weight 1
 * and no limit. */
struct team_row *rules_get_team(struct sched *sched, const char *name)
{
	struct team_row *team = g_hash_table_lookup(sched->team_names, name);

	return team ? team : team_add(sched, name);
}

static void set_class(struct sched *sched, const struct sched_class_rules *rules)
{
	struct class_row *class = g_hash_table_lookup(sched->class_names, rules->name);

	if (!class)
		class = class_add(sched, rules->name);
	if (!class->in_new_rules)
		sched->configured_classes++;
	class->in_new_rules = true;
	class->configured = true;
	g_strfreev(class->zones);
	g_strfreev(class->labels);
	class->zones = g_strdupv((char **)rules->zones);
	class->labels = g_strdupv((char **)rules->labels);
	class->max_running = rules->max_running;
	class->configured_run_us = rules->run_us;
	place_link_class(sched, class);
	if (class->estimate.samples > 0)
		return;
	learn_class_init(&class->estimate, &sched->server_mean, rules->run_us);
	class->key_run_us = class->estimate.run_us;
	for (struct bucket *bucket = class->buckets; bucket; bucket = bucket->next_of_class)
		queue_rekey_bucket(sched, bucket);
}

static void set_team_values(struct sched *sched, struct team_row *team, double weight,
			    uint32_t max_running, uint64_t max_queued)
{
	bool weight_changed = team->weight != weight;

	team->weight = weight;
	team->max_running = max_running;
	team->max_queued = max_queued;
	for (struct bucket *bucket = team->buckets; bucket && weight_changed;
	     bucket = bucket->next_of_team)
		queue_rekey_bucket(sched, bucket);
	queue_update_team(sched, team);
}

static void set_team(struct sched *sched, const struct sched_team_rules *rules)
{
	struct team_row *team = rules_get_team(sched, rules->name);

	team->in_new_rules = true;
	team->configured = true;
	set_team_values(sched, team, rules->weight > 0 ? rules->weight : 1, rules->max_running,
			rules->max_queued);
}

void sched_set_rules(struct sched *sched, const struct sched_class_rules *classes,
		     uint32_t class_count, const struct sched_team_rules *teams,
		     uint32_t team_count)
{
	uint32_t cursor = 0;
	struct class_row *class;
	struct team_row *team;

	sched->configured_classes = 0;
	for (uint32_t i = 0; i < class_count; i++)
		set_class(sched, &classes[i]);
	for (uint32_t i = 0; i < team_count; i++)
		set_team(sched, &teams[i]);
	while ((class = table_next(&sched->classes, &cursor, NULL))) {
		class->configured = class->in_new_rules;
		class->in_new_rules = false;
	}
	cursor = 0;
	while ((team = table_next(&sched->teams, &cursor, NULL))) {
		team->configured = team->in_new_rules;
		team->in_new_rules = false;
		if (!team->configured)
			set_team_values(sched, team, 1, 0, 0);
	}
	place_rebuild_pools(sched);
}

/* Initializes the run time estimate of a class from the value that a client declared. Has no effect
 * on a class with a configured run time, jobs or results. */
void rules_apply_declared_run_us(struct sched *sched, struct class_row *class,
				 int64_t declared_run_us)
{
	if (declared_run_us <= 0 || class->configured_run_us > 0 || class->jobs > 0 ||
	    class->estimate.samples > 0)
		return;
	learn_class_init(&class->estimate, &sched->server_mean, declared_run_us);
	class->key_run_us = class->estimate.run_us;
}

bool rules_zone_allowed(const struct class_row *class, const char *zone)
{
	return !class->zones || g_strv_contains((const char *const *)class->zones, zone);
}

bool rules_labels_match(const struct class_row *class, char **labels)
{
	for (char **label = class->labels; label && *label; label++) {
		if (!g_strv_contains((const char *const *)labels, *label))
			return false;
	}
	return true;
}
