#include "scheduler_defs.h"

/*
 * Order of the queued jobs. The key of a job is its expected queued work divided by the team's
 * weight, plus the submission time divided by the ageing divisor. The job with the lowest key
 * starts first. As time passes, ageing lowers all keys by the same amount and does not change their
 * order, so the current time is left out of the key. Ageing is not divided by the weight: otherwise
 * a job whose ageing exceeds its work would move back in the order as the weight of its team rises.
 *
 * Each class, team and size group has a bucket, which is a heap of jobs. Each class and size group
 * has a heap of its buckets, ordered by their first job. The size groups make it possible to find a
 * large job for a slow server.
 */

enum {
	FIRST_CAPACITY = 4,
	HEAP_ARITY = 4,
	COMPACT_SLACK = 64, /* stale items are kept up to the number of valid ones plus this */
	MAX_IDLE_CAPACITY = 4096, /* items; an empty heap with more capacity is freed */
	REKEY_JOBS_PER_RESULT = 4 /* keys are recomputed after at least one result for each 4 queued
				     jobs, so that the amortized cost per result is constant */
};

/* The keys of a class are recomputed when its learned run time differs by at least this factor, up
 * or down, from the run time in the keys. */
static const double rekey_ratio = 1.5;

bool queue_item_before(const struct queue_item *a, const struct queue_item *b)
{
	return a->key < b->key || (a->key == b->key && a->seq < b->seq);
}

static bool item_valid(const struct queue_item *item)
{
	const struct job_row *job = item->job;

	return job->seq == item->seq && job->queued_tasks > 0 && job->queue_key == item->key;
}

static void sift_up(struct queue_item *heap, uint32_t i)
{
	struct queue_item moved = heap[i];

	while (i > 0 && queue_item_before(&moved, &heap[(i - 1) / HEAP_ARITY])) {
		heap[i] = heap[(i - 1) / HEAP_ARITY];
		i = (i - 1) / HEAP_ARITY;
	}
	heap[i] = moved;
}

static void sift_down(struct queue_item *heap, uint32_t count, uint32_t i)
{
	struct queue_item moved = heap[i];

	for (;;) {
		uint64_t first = (uint64_t)i * HEAP_ARITY + 1;
		uint64_t end = MIN(first + HEAP_ARITY, count);
		uint32_t smallest = (uint32_t)first;

		if (first >= count)
			break;
		for (uint32_t child = smallest + 1; child < end; child++) {
			if (queue_item_before(&heap[child], &heap[smallest]))
				smallest = child;
		}
		if (!queue_item_before(&heap[smallest], &moved))
			break;
		heap[i] = heap[smallest];
		i = smallest;
	}
	heap[i] = moved;
}

static void heapify(struct bucket *bucket)
{
	for (uint32_t i = bucket->count / HEAP_ARITY + 1; i-- > 0;) {
		if (i < bucket->count)
			sift_down(bucket->heap, bucket->count, i);
	}
}

static void pop_item(struct bucket *bucket)
{
	bucket->heap[0] = bucket->heap[--bucket->count];
	if (bucket->count > 0)
		sift_down(bucket->heap, bucket->count, 0);
}

/* Drops all stale items and restores the heap order. */
static void drop_stale_items(struct bucket *bucket)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < bucket->count; i++) {
		if (item_valid(&bucket->heap[i]))
			bucket->heap[kept++] = bucket->heap[i];
	}
	bucket->count = kept;
	heapify(bucket);
}

static void drop_stale_top(struct bucket *bucket)
{
	while (bucket->count > 0 && !item_valid(&bucket->heap[0]))
		pop_item(bucket);
	if (bucket->count > 2 * (uint64_t)bucket->valid_count + COMPACT_SLACK)
		drop_stale_items(bucket);
	if (bucket->count == 0 && bucket->capacity > MAX_IDLE_CAPACITY) {
		g_free(bucket->heap);
		bucket->heap = NULL;
		bucket->capacity = 0;
	}
}

/* Heaps of buckets. */

static bool bucket_before(const struct bucket *a, const struct bucket *b)
{
	return queue_item_before(&a->heap[0], &b->heap[0]);
}

static struct bucket_heap *bucket_heap_of(const struct bucket *bucket)
{
	return &bucket->class->bucket_heaps[bucket->size_group];
}

static void bucket_heap_set(struct bucket_heap *heap, uint32_t i, struct bucket *bucket)
{
	heap->buckets[i] = bucket;
	bucket->heap_index = i;
}

static void bucket_sift_up(struct bucket_heap *heap, uint32_t i)
{
	struct bucket *moved = heap->buckets[i];

	while (i > 0 && bucket_before(moved, heap->buckets[(i - 1) / 2])) {
		bucket_heap_set(heap, i, heap->buckets[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	bucket_heap_set(heap, i, moved);
}

static void bucket_sift_down(struct bucket_heap *heap, uint32_t i)
{
	struct bucket *moved = heap->buckets[i];

	for (;;) {
		uint32_t smallest = 2 * i + 1;

		if (smallest >= heap->count)
			break;
		if (smallest + 1 < heap->count &&
		    bucket_before(heap->buckets[smallest + 1], heap->buckets[smallest]))
			smallest++;
		if (!bucket_before(heap->buckets[smallest], moved))
			break;
		bucket_heap_set(heap, i, heap->buckets[smallest]);
		i = smallest;
	}
	bucket_heap_set(heap, i, moved);
}

static void bucket_heap_remove(struct bucket *bucket)
{
	struct bucket_heap *heap = bucket_heap_of(bucket);
	struct bucket *last = heap->buckets[--heap->count];
	uint32_t i = bucket->heap_index;

	bucket->heap_index = NOT_IN_HEAP;
	if (last == bucket)
		return;
	bucket_heap_set(heap, i, last);
	bucket_sift_up(heap, i);
	bucket_sift_down(heap, last->heap_index);
}

static void bucket_heap_insert(struct bucket *bucket)
{
	struct bucket_heap *heap = bucket_heap_of(bucket);

	if (heap->count == heap->capacity) {
		heap->capacity = heap->capacity > 0 ? 2 * heap->capacity : FIRST_CAPACITY;
		heap->buckets = g_renew(struct bucket *, heap->buckets, heap->capacity);
	}
	bucket_heap_set(heap, heap->count++, bucket);
	bucket_sift_up(heap, bucket->heap_index);
}

static bool team_below_limit(const struct team_row *team)
{
	return team->max_running == 0 || team->running_tasks < team->max_running;
}

/* Inserts BUCKET into its bucket heap, moves it there or removes it from there after the first job
 * or the team of the bucket changed. */
static void update_bucket(struct bucket *bucket)
{
	bool eligible;

	drop_stale_top(bucket);
	eligible = bucket->count > 0 && team_below_limit(bucket->team);
	if (!eligible && bucket->heap_index != NOT_IN_HEAP)
		bucket_heap_remove(bucket);
	else if (eligible && bucket->heap_index == NOT_IN_HEAP)
		bucket_heap_insert(bucket);
	if (bucket->heap_index == NOT_IN_HEAP)
		return;
	bucket_sift_up(bucket_heap_of(bucket), bucket->heap_index);
	bucket_sift_down(bucket_heap_of(bucket), bucket->heap_index);
}

static double job_key(const struct sched *sched, const struct job_row *job)
{
	double work = job->queued_tasks * job->class->key_run_us / job->bucket->team->weight;

	if (sched->limits.ageing_divisor <= 0)
		return work;
	return work + (double)job->submitted_us / (double)sched->limits.ageing_divisor;
}

static void insert_item(struct sched *sched, struct job_row *job)
{
	struct bucket *bucket = job->bucket;

	if (bucket->count == bucket->capacity) {
		bucket->capacity = bucket->capacity > 0 ? 2 * bucket->capacity : FIRST_CAPACITY;
		bucket->heap = g_renew(struct queue_item, bucket->heap, bucket->capacity);
	}
	job->queue_key = job_key(sched, job);
	bucket->heap[bucket->count] =
		(struct queue_item){.key = job->queue_key, .seq = job->seq, .job = job};
	sift_up(bucket->heap, bucket->count++);
}

static unsigned int size_bin(uint32_t tasks)
{
	return SIZE_BINS - 1 - (unsigned int)__builtin_clz(tasks);
}

/* Adds CHANGE to all counts of queued tasks. When no task of the class remains queued, its wait for
 * a faster server ends. */
static void add_to_queued_counts(struct sched *sched, struct job_row *job, int64_t change)
{
	struct class_row *class = job->class;

	job->queued_tasks = (uint32_t)(job->queued_tasks + change);
	sched->queued_tasks += (uint64_t)change;
	class->queued_tasks += (uint64_t)change;
	class->queued_by_size[size_bin(job->tasks)] += (uint64_t)change;
	job->bucket->team->queued_tasks += (uint64_t)change;
	if (class->queued_tasks == 0)
		class->wait_since_us = NO_TIME;
}

/* Queues a job with all its tasks. */
void queue_add_job(struct sched *sched, struct job_row *job)
{
	add_to_queued_counts(sched, job, job->tasks);
	job->class->queued_jobs++;
	job->bucket->valid_count++;
	insert_item(sched, job);
	update_bucket(job->bucket);
}

/* Removes a job with all its queued tasks from the queue. Its heap item becomes stale. */
void queue_remove_job(struct sched *sched, struct job_row *job)
{
	if (job->queued_tasks == 0)
		return;
	add_to_queued_counts(sched, job, -(int64_t)job->queued_tasks);
	job->class->queued_jobs--;
	job->bucket->valid_count--;
	update_bucket(job->bucket);
}

/* Records the start of a task of JOB, which must be the first job of its bucket. The key decreases,
 * so the job stays first. */
void queue_task_started(struct sched *sched, struct job_row *job)
{
	struct bucket *bucket = job->bucket;

	add_to_queued_counts(sched, job, -1);
	if (job->queued_tasks == 0) {
		job->class->queued_jobs--;
		bucket->valid_count--;
		pop_item(bucket);
	} else {
		job->queue_key = job_key(sched, job);
		bucket->heap[0].key = job->queue_key;
	}
	update_bucket(bucket);
}

/* Records that a task of JOB is queued again. The key increases, so the old item becomes stale. */
void queue_task_requeued(struct sched *sched, struct job_row *job)
{
	add_to_queued_counts(sched, job, 1);
	if (job->queued_tasks == 1) {
		job->class->queued_jobs++;
		job->bucket->valid_count++;
	}
	insert_item(sched, job);
	update_bucket(job->bucket);
}

/* Makes the buckets of TEAM eligible or ineligible after its running tasks or its limit changed. */
void queue_update_team(struct sched *sched, struct team_row *team)
{
	for (struct bucket *bucket = team->buckets; bucket; bucket = bucket->next_of_team) {
		bool in_heap = bucket->heap_index != NOT_IN_HEAP;

		if (in_heap != (bucket->count > 0 && team_below_limit(team)))
			update_bucket(bucket);
	}
}

/* Recomputes the keys of the jobs in BUCKET and restores the heap order. */
void queue_rekey_bucket(struct sched *sched, struct bucket *bucket)
{
	drop_stale_items(bucket);
	for (uint32_t i = 0; i < bucket->count; i++) {
		struct queue_item *item = &bucket->heap[i];

		item->job->queue_key = job_key(sched, item->job);
		item->key = item->job->queue_key;
	}
	heapify(bucket);
	update_bucket(bucket);
}

/* Counts one result of CLASS. Recomputes the keys of its queued jobs when its learned run time has
 * moved by rekey_ratio or more from the run time in the keys and enough results have come in since
 * the last recomputation, see REKEY_JOBS_PER_RESULT. */
void queue_rekey_if_outdated(struct sched *sched, struct class_row *class)
{
	double ratio = class->estimate.run_us / class->key_run_us;

	class->results_since_rekey++;
	if (ratio < rekey_ratio && ratio * rekey_ratio > 1)
		return;
	if (class->results_since_rekey < class->queued_jobs / REKEY_JOBS_PER_RESULT)
		return;
	class->results_since_rekey = 0;
	class->key_run_us = class->estimate.run_us;
	for (struct bucket *bucket = class->buckets; bucket; bucket = bucket->next_of_class)
		queue_rekey_bucket(sched, bucket);
}

/* Returns the bucket for a job of TASKS tasks; creates it if it does not exist. The bucket moves to
 * the front of the team's list, so that the next search for it is short. */
struct bucket *queue_get_bucket(struct sched *sched, struct class_row *class, struct team_row *team,
				uint32_t tasks)
{
	uint32_t group = MIN(size_bin(tasks) / 2, SIZE_GROUPS - 1);
	struct bucket **link = &team->buckets;
	struct bucket *bucket;
	struct handle handle;

	while (*link && ((*link)->class != class || (*link)->size_group != group))
		link = &(*link)->next_of_team;
	bucket = *link;
	if (bucket) {
		*link = bucket->next_of_team;
	} else {
		bucket = table_add(&sched->buckets, &handle);
		bucket->class = class;
		bucket->team = team;
		bucket->size_group = group;
		bucket->handle = handle;
		bucket->heap_index = NOT_IN_HEAP;
		bucket->next_of_class = class->buckets;
		class->buckets = bucket;
	}
	bucket->next_of_team = team->buckets;
	team->buckets = bucket;
	return bucket;
}

/* Frees a bucket without queued jobs. */
void queue_bucket_free(struct sched *sched, struct bucket *bucket)
{
	struct bucket **link = &bucket->class->buckets;

	while (*link != bucket)
		link = &(*link)->next_of_class;
	*link = bucket->next_of_class;
	link = &bucket->team->buckets;
	while (*link != bucket)
		link = &(*link)->next_of_team;
	*link = bucket->next_of_team;
	if (bucket->heap_index != NOT_IN_HEAP)
		bucket_heap_remove(bucket);
	g_free(bucket->heap);
	table_remove(&sched->buckets, bucket->handle);
}

/* Returns the first item of CLASS among the teams below their running limit, or NULL. */
const struct queue_item *queue_head(const struct class_row *class)
{
	const struct queue_item *head = NULL;

	for (int i = 0; i < SIZE_GROUPS; i++) {
		const struct bucket_heap *heap = &class->bucket_heaps[i];

		if (heap->count > 0 &&
		    (!head || queue_item_before(&heap->buckets[0]->heap[0], head)))
			head = &heap->buckets[0]->heap[0];
	}
	return head;
}

/* Returns the first job in the highest non-empty size group of CLASS, or NULL. */
struct job_row *queue_first_large_job(const struct class_row *class)
{
	for (int i = SIZE_GROUPS; i-- > 0;) {
		if (class->bucket_heaps[i].count > 0)
			return class->bucket_heaps[i].buckets[0]->heap[0].job;
	}
	return NULL;
}
