/* Data structures and functions shared by the source files of the scheduler. */
#ifndef GG_SCHEDULER_DEFS_H
#define GG_SCHEDULER_DEFS_H

#include <glib.h>

#include "scheduler.h"
#include "scheduler_learn.h"

enum {
	NOT_IN_HEAP = UINT32_MAX,
	INLINE_TASKS = 64, /* jobs of up to this many tasks store their bitmaps in the row */
	SIZE_BINS = 32,	   /* bins of job size by powers of two */
	SIZE_GROUPS = 4,   /* groups of job size by powers of four; the last is unbounded */
	BITMAP_FREE_LISTS = 32,
	NO_TIME = -1
};

struct class_row;
struct team_row;
struct bucket;

struct job_row {
	uint64_t seq;	  /* order of submission from 1; 0 in a free row */
	double queue_key; /* sort key in the queue; the job with the lowest key starts first */
	struct class_row *class;
	struct bucket *bucket;
	void *context;
	uint64_t bytes;
	int64_t submitted_us;
	int64_t deadline_us;
	double longest_us; /* longest run time of a finished task, scaled to a server of factor 1 */
	uint32_t tasks;
	uint32_t next_task; /* lowest task that was never started */
	uint32_t queued_tasks;
	uint32_t started_tasks;
	uint32_t running_tasks; /* outstanding tasks */
	uint32_t finished_tasks;
	uint32_t deadline_heap_index;
	uint32_t first_requeued_word; /* words below this index hold no requeued task */
	struct handle handle;
	enum sched_job_state state;
	bool released;
	uint64_t inline_task_bits[2];
	uint64_t *task_bits; /* two bitmaps: outstanding tasks and requeued tasks */
};

/* Element of a bucket's heap. An item becomes stale when its job leaves the queue or when a
 * requeued task gives the job a new key and a new item. Stale items are removed when they reach the
 * top or when all stale items are dropped. */
struct queue_item {
	double key;
	uint64_t seq;
	struct job_row *job;
};

/* Queued jobs of one class, team and size group. */
struct bucket {
	struct class_row *class;
	struct team_row *team;
	struct bucket *next_of_class;
	struct bucket *next_of_team;
	struct handle handle;
	uint32_t size_group;
	struct queue_item *heap;
	uint32_t count;
	uint32_t capacity;
	uint32_t valid_count; /* items that are not stale */
	uint32_t heap_index;  /* index in the bucket heap of its class and size group */
};

/* Heap of the buckets of one class and size group, ordered by their first job. */
struct bucket_heap {
	struct bucket **buckets;
	uint32_t count;
	uint32_t capacity;
};

struct class_row {
	char name[NAME_BYTES];
	struct handle handle;
	bool configured;   /* present in the current rules */
	bool in_new_rules; /* present in the rules being set */
	char **zones;	   /* NULL for all */
	char **labels;	   /* NULL for none */
	int64_t configured_run_us;
	uint32_t max_running;
	struct run_time_estimate estimate;
	double key_run_us; /* run time from which the keys of queued jobs were computed */
	uint64_t results_since_rekey;
	uint64_t running_tasks;
	uint64_t queued_tasks;
	uint32_t queued_jobs;
	uint32_t jobs; /* jobs that refer to this class, including ended ones that are not freed */
	uint64_t queued_by_size[SIZE_BINS]; /* queued tasks by log2 of the size of their job */
	struct bucket *buckets;
	struct bucket_heap
		bucket_heaps[SIZE_GROUPS]; /* indexed by size group; hold the buckets with queued
					      jobs whose team is below its running limit */
	GPtrArray *pools;		   /* pools whose servers may run the class */
	int64_t wait_since_us;		   /* start of the wait for a faster server, or NO_TIME */
	uint64_t failed_search_id;	   /* last search that found no server for the class */
	uint32_t idle_deadline_misses; /* jobs whose deadline was unreachable while the class had no
					  queued or running task */
};

struct team_row {
	char name[NAME_BYTES];
	struct handle handle;
	bool configured;   /* present in the current rules */
	bool in_new_rules; /* present in the rules being set */
	double weight;
	uint32_t max_running;
	uint64_t max_queued;
	uint64_t queued_tasks;
	uint64_t running_tasks;
	uint32_t jobs;
	struct bucket *buckets;
};

/* Groups of the servers in a pool. A closed server is in no group. */
enum server_group {
	GROUP_AVAILABLE, /* has a credit */
	GROUP_BUSY,	 /* no credit, runs tasks of this entry */
	GROUP_IDLE,	 /* no credit, runs no task of this entry */
	GROUP_COUNT,
	GROUP_CLOSED = GROUP_COUNT
};

struct server_row;

/* Servers of the same zone and relevant labels. Each group is a heap ordered by placement
 * factor, see learn_placement_factor(). */
struct server_pool {
	struct handle handle;
	char *key;
	char *zone;
	char **labels;
	double penalty_us;
	struct server_row **heap[GROUP_COUNT];
	uint32_t count[GROUP_COUNT];
	uint32_t capacity[GROUP_COUNT];
	uint32_t servers;
	uint64_t marked_by_search;	/* last admission check that marked the pool */
	uint64_t completion_rate;	/* expected on the busy servers, in tasks per 1,000 s */
	uint64_t effective_slots_milli; /* sum over the open servers of slots / learned factor, in
					   thousandths */
	GPtrArray *classes;		/* classes that may run in the pool */
};

struct server_row {
	struct handle handle;
	struct server_pool *pool;
	char **labels;
	void *context;
	uint64_t serial; /* order in which the servers were added, from 1 */
	uint64_t tie_breaker;
	uint32_t slots;
	bool open;
	uint64_t credits;
	uint32_t running_tasks;
	uint64_t finished_tasks;
	uint64_t failed_tasks;
	int64_t last_activity_us; /* time of the last start or result */
	struct speed_estimate estimate;
	double placement_factor; /* sort key in the heap, see learn_placement_factor() */
	enum server_group group;
	uint32_t heap_index;
	uint64_t completion_rate;	/* contribution to the total of the pool */
	uint64_t effective_slots_milli; /* contribution to the total of the pool */
};

/* Free lists of task bitmap blocks, indexed by log2 of the words in one bitmap, rounded up. */
struct bitmap_free_lists {
	uint64_t *heads[BITMAP_FREE_LISTS];
};

struct sched {
	struct sched_limits limits;
	char local_zone[NAME_BYTES];
	uint64_t seed;
	struct table jobs;
	struct table classes;
	struct table teams;
	struct table buckets;
	struct table servers;
	struct table pools;
	GHashTable *class_names;
	GHashTable *team_names;
	GHashTable *pool_keys;
	GHashTable *label_set; /* labels that at least one class requires */
	GPtrArray *class_list;
	struct bitmap_free_lists bitmap_free_lists;
	struct speed_estimate_mean server_mean;
	struct job_row **deadline_heap;
	uint32_t deadline_heap_count;
	uint32_t deadline_heap_capacity;
	uint64_t queued_tasks;
	uint64_t unfinished_job_bytes;
	uint64_t running_tasks;
	uint64_t next_seq;
	uint64_t next_serial;
	uint64_t search_id;		/* serial number of the current search or admission check */
	uint32_t available_servers;	/* servers with a credit */
	uint32_t class_sweep_threshold; /* number of classes at which unused classes are dropped
					   next */
	uint32_t team_sweep_threshold;
	uint32_t configured_classes;
	int64_t wake_us; /* see sched_wakeup_us() */
};

/* scheduler_rules.c: rules of classes and teams. */
void rules_init(struct sched *sched);
void rules_free(struct sched *sched);
struct class_row *rules_get_class(struct sched *sched, const char *name);
struct team_row *rules_get_team(struct sched *sched, const char *name);
void rules_apply_declared_run_us(struct sched *sched, struct class_row *class,
				 int64_t declared_run_us);
bool rules_zone_allowed(const struct class_row *class, const char *zone);
bool rules_labels_match(const struct class_row *class, char **labels);

/* scheduler_queue.c: order of queued jobs. */
void queue_add_job(struct sched *sched, struct job_row *job);
void queue_remove_job(struct sched *sched, struct job_row *job);
void queue_task_started(struct sched *sched, struct job_row *job);
void queue_task_requeued(struct sched *sched, struct job_row *job);
void queue_update_team(struct sched *sched, struct team_row *team);
void queue_rekey_if_outdated(struct sched *sched, struct class_row *class);
void queue_rekey_bucket(struct sched *sched, struct bucket *bucket);
struct bucket *queue_get_bucket(struct sched *sched, struct class_row *class, struct team_row *team,
				uint32_t tasks);
void queue_bucket_free(struct sched *sched, struct bucket *bucket);
const struct queue_item *queue_head(const struct class_row *class);
struct job_row *queue_first_large_job(const struct class_row *class);
bool queue_item_before(const struct queue_item *a, const struct queue_item *b);

/* scheduler_task.c: outstanding and requeued tasks of a job. */
void task_bits_init(struct sched *sched, struct job_row *job);
void task_bits_free(struct sched *sched, struct job_row *job);
uint32_t task_take_next(struct job_row *job);
bool task_clear_outstanding(struct job_row *job, uint32_t task);
void task_requeue(struct job_row *job, uint32_t task);
void task_free_lists_clear(struct sched *sched);

/* scheduler_place.c: servers, pools and placement. */
void place_init(struct sched *sched);
void place_free(struct sched *sched);
void place_update_server(struct sched *sched, struct server_row *server);
void place_link_class(struct sched *sched, struct class_row *class);
void place_rebuild_pools(struct sched *sched);
void place_unlink_class(struct sched *sched, struct class_row *class);
double place_min_factor_estimate(const struct class_row *class);
uint64_t place_pool_demand(const struct server_pool *pool);
struct server_row *place_choose_server(struct sched *sched, struct class_row *class, int64_t now_us,
				       struct job_row **job);

/* scheduler_deadline.c: jobs ordered by deadline. */
void deadline_add(struct sched *sched, struct job_row *job);
void deadline_remove(struct sched *sched, struct job_row *job);

/* scheduler_admit.c: admission control. */
enum status admit_check(struct sched *sched, const struct sched_job_spec *spec,
			struct class_row *class, const struct team_row *team, int64_t now_us,
			struct error *err);

#endif
