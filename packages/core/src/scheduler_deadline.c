#include "scheduler_defs.h"

enum {
	FIRST_CAPACITY = 64
};

static void put(struct sched *sched, uint32_t i, struct job_row *job)
{
	sched->deadlines[i] = job;
	job->deadline_position = i;
}

static bool before(const struct job_row *a, const struct job_row *b)
{
	return a->deadline_us < b->deadline_us ||
	       (a->deadline_us == b->deadline_us && a->seq < b->seq);
}

static void sift_up(struct sched *sched, uint32_t i)
{
	struct job_row *job = sched->deadlines[i];

	while (i > 0 && before(job, sched->deadlines[(i - 1) / 2])) {
		put(sched, i, sched->deadlines[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	put(sched, i, job);
}

static void sift_down(struct sched *sched, uint32_t i)
{
	struct job_row *job = sched->deadlines[i];

	for (;;) {
		uint32_t least = 2 * i + 1;

		if (least >= sched->deadline_count)
			break;
		if (least + 1 < sched->deadline_count &&
		    before(sched->deadlines[least + 1], sched->deadlines[least]))
			least++;
		if (!before(sched->deadlines[least], job))
			break;
		put(sched, i, sched->deadlines[least]);
		i = least;
	}
	put(sched, i, job);
}

/* Adds a job that has a deadline; others stay outside. */
void deadline_add(struct sched *sched, struct job_row *job)
{
	job->deadline_position = NO_POSITION;
	if (job->deadline_us == 0)
		return;
	if (sched->deadline_count == sched->deadline_capacity) {
		sched->deadline_capacity = sched->deadline_capacity > 0
						   ? 2 * sched->deadline_capacity
						   : FIRST_CAPACITY;
		sched->deadlines =
			g_renew(struct job_row *, sched->deadlines, sched->deadline_capacity);
	}
	put(sched, sched->deadline_count++, job);
	sift_up(sched, job->deadline_position);
}

void deadline_remove(struct sched *sched, struct job_row *job)
{
	uint32_t i = job->deadline_position;
	struct job_row *last;

	if (i == NO_POSITION)
		return;
	job->deadline_position = NO_POSITION;
	last = sched->deadlines[--sched->deadline_count];
	if (last == job)
		return;
	put(sched, i, last);
	sift_up(sched, i);
	sift_down(sched, last->deadline_position);
}

uint32_t sched_take_expired(struct sched *sched, int64_t now_us, struct handle *out,
			    uint32_t capacity)
{
	uint32_t count = 0;

	while (count < capacity && sched->deadline_count > 0 &&
	       sched->deadlines[0]->deadline_us <= now_us) {
		struct job_row *job = sched->deadlines[0];

		out[count++] = job->handle;
		deadline_remove(sched, job);
	}
	return count;
}
