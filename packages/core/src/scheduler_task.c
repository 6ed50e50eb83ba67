#include "scheduler_defs.h"

#include <string.h>

enum {
	WORD_BITS = 64
};

static uint32_t words_of(const struct job_row *job)
{
	return (job->tasks + WORD_BITS - 1) / WORD_BITS;
}

/* Both bitmaps together take 2 << block_class words. */
static unsigned int block_class(uint32_t words)
{
	return words <= 1 ? 0 : WORD_BITS / 2 - (unsigned int)__builtin_clz(words - 1);
}

/* Gives JOB cleared bits. Blocks of ended jobs are used again. */
void task_init(struct sched *sched, struct job_row *job)
{
	uint32_t words = words_of(job);
	unsigned int class = block_class(words);
	uint64_t **free = &sched->bit_pool.free[class];

	if (job->tasks <= INLINE_TASKS) {
		job->bits = job->inline_bits;
		return;
	}
	if (*free) {
		job->bits = *free;
		memcpy(free, job->bits, sizeof(*free));
	} else {
		job->bits = g_new(uint64_t, (size_t)2 << class);
	}
	memset(job->bits, 0, 2 * (size_t)words * sizeof(uint64_t));
	job->first_requeued_word = words;
}

void task_free(struct sched *sched, struct job_row *job)
{
	uint64_t **free = &sched->bit_pool.free[block_class(words_of(job))];

	if (job->bits == job->inline_bits)
		return;
	memcpy(job->bits, free, sizeof(*free));
	*free = job->bits;
	job->bits = NULL;
}

void task_pool_free(struct sched *sched)
{
	for (int i = 0; i < SIZE_CLASSES; i++) {
		uint64_t *block = sched->bit_pool.free[i];

		while (block) {
			uint64_t *next;

			memcpy(&next, block, sizeof(next));
			g_free(block);
			block = next;
		}
	}
}

/* Chooses a queued task, one that was returned first, and marks it as out. */
uint32_t task_take(struct job_row *job)
{
	uint32_t words = words_of(job);
	uint64_t *requeued = job->bits + words;
	uint32_t task;

	while (job->first_requeued_word < words && requeued[job->first_requeued_word] == 0)
		job->first_requeued_word++;
	if (job->first_requeued_word < words) {
		uint64_t *word = &requeued[job->first_requeued_word];

		task = job->first_requeued_word * WORD_BITS + (uint32_t)__builtin_ctzll(*word);
		*word &= *word - 1;
	} else {
		task = job->cursor++;
	}
	job->bits[task / WORD_BITS] |= 1ULL << (task % WORD_BITS);
	return task;
}

/* Marks a task as no longer out. Returns false when it was not out, as for a repeated event. */
bool task_give_back(struct job_row *job, uint32_t task)
{
	uint64_t bit = 1ULL << (task % WORD_BITS);

	if (task >= job->tasks || !(job->bits[task / WORD_BITS] & bit))
		return false;
	job->bits[task / WORD_BITS] &= ~bit;
	return true;
}

void task_requeue(struct job_row *job, uint32_t task)
{
	uint32_t word = task / WORD_BITS;

	job->bits[words_of(job) + word] |= 1ULL << (task % WORD_BITS);
	job->first_requeued_word = MIN(job->first_requeued_word, word);
}
