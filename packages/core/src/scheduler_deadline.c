/* Heap of the jobs that have a deadline, ordered by deadline. */
#include "scheduler_defs.h"

enum {
	FIRST_CAPACITY = 64
};

static void heap_set(struct sched *sched, uint32_t i, struct job_row *job)
{
	sched->deadline_heap[i] = job;
	job->deadline_heap_index = i;
}

static bool deadline_before(const struct job_row *a, const struct job_row *b)
{
	return a->deadline_us < b->deadline_us ||
	       (a->deadline_us == b->deadline_us && a->seq < b->seq);
}

static void sift_up(struct sched *sched, uint32_t i)
{
	struct job_row *job = sched->deadline_heap[i];

	while (i > 0 && deadline_before(job, sched->deadline_heap[(i - 1) / 2])) {
		heap_set(sched, i, sched->deadline_heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	heap_set(sched, i, job);
}

static void sift_down(struct sched *sched, uint32_t i)
{
	struct job_row *job = sched->deadline_heap[i];

	for (;;) {
		uint32_t earliest = 2 * i + 1;

		if (earliest >= sched->deadline_heap_count)
			break;
		if (earliest + 1 < sched->deadline_heap_count &&
		    deadline_before(sched->deadline_heap[earliest + 1],
				    sched->deadline_heap[earliest]))
			earliest++;
		if (!deadline_before(sched->deadline_heap[earliest], job))
			break;
		heap_set(sched, i, sched->deadline_heap[earliest]);
		i = earliest;
	}
	heap_set(sched, i, job);
}

/* Adds a job to the deadline heap. A job without a deadline is not added. */
void deadline_add(struct sched *sched, struct job_row *job)
{
	job->deadline_heap_index = NOT_IN_HEAP;
	if (job->deadline_us == 0)
		return;
	if (sched->deadline_heap_count == sched->deadline_heap_capacity) {
		sched->deadline_heap_capacity = sched->deadline_heap_capacity > 0
							? 2 * sched->deadline_heap_capacity
							: FIRST_CAPACITY;
		sched->deadline_heap = g_renew(struct job_row *, sched->deadline_heap,
					       sched->deadline_heap_capacity);
	}
	heap_set(sched, sched->deadline_heap_count++, job);
	sift_up(sched, job->deadline_heap_index);
}

void deadline_remove(struct sched *sched, struct job_row *job)
{
	uint32_t i = job->deadline_heap_index;
	struct job_row *last;

	if (i == NOT_IN_HEAP)
		return;
	job->deadline_heap_index = NOT_IN_HEAP;
	last = sched->deadline_heap[--sched->deadline_heap_count];
	if (last == job)
		return;
	heap_set(sched, i, last);
	sift_up(sched, i);
	sift_down(sched, last->deadline_heap_index);
}

uint32_t sched_take_expired(struct sched *sched, int64_t now_us, struct handle *out,
			    uint32_t capacity)
{
	uint32_t count = 0;

	while (count < capacity && sched->deadline_heap_count > 0 &&
	       sched->deadline_heap[0]->deadline_us <= now_us) {
		struct job_row *job = sched->deadline_heap[0];

		out[count++] = job->handle;
		deadline_remove(sched, job);
	}
	return count;
}
