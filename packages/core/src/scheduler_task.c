#include "scheduler_defs.h"

#include <string.h>

enum {
	WORD_BITS = 64,
	UINT_BITS = 32
};

static uint32_t bitmap_words(const struct job_row *job)
{
	return (job->tasks + WORD_BITS - 1) / WORD_BITS;
}

/* Returns log2 of WORDS, the number of words in one bitmap, rounded up. A block holds both bitmaps
 * of a job. */
static unsigned int bitmap_words_log2(uint32_t words)
{
	return words <= 1 ? 0 : UINT_BITS - (unsigned int)__builtin_clz(words - 1);
}

/* Initializes the bitmaps of JOB to zero. The inline bitmaps are already zero in a new row. Blocks
 * of freed jobs are reused. */
void task_bits_init(struct sched *sched, struct job_row *job)
{
	uint32_t words = bitmap_words(job);
	unsigned int size_log2 = bitmap_words_log2(words);
	uint64_t **free_list = &sched->bitmap_free_lists.heads[size_log2];

	if (job->tasks <= INLINE_TASKS) {
		job->task_bits = job->inline_task_bits;
		return;
	}
	if (*free_list) {
		job->task_bits = *free_list;
		memcpy(free_list, job->task_bits, sizeof(*free_list));
	} else {
		job->task_bits = g_new(uint64_t, (size_t)2 << size_log2);
	}
	memset(job->task_bits, 0, 2 * (size_t)words * sizeof(uint64_t));
	job->first_requeued_word = words;
}

void task_bits_free(struct sched *sched, struct job_row *job)
{
	uint64_t **free_list =
		&sched->bitmap_free_lists.heads[bitmap_words_log2(bitmap_words(job))];

	if (job->task_bits == job->inline_task_bits)
		return;
	memcpy(job->task_bits, free_list, sizeof(*free_list));
	*free_list = job->task_bits;
	job->task_bits = NULL;
}

void task_free_lists_clear(struct sched *sched)
{
	for (int i = 0; i < BITMAP_FREE_LISTS; i++) {
		uint64_t *block = sched->bitmap_free_lists.heads[i];

		while (block) {
			uint64_t *next;

			memcpy(&next, block, sizeof(next));
			g_free(block);
			block = next;
		}
	}
}

/* Returns a queued task and marks it as outstanding. Requeued tasks come first. */
uint32_t task_take_next(struct job_row *job)
{
	uint32_t words = bitmap_words(job);
	uint64_t *requeued = job->task_bits + words;
	uint32_t task;

	while (job->first_requeued_word < words && requeued[job->first_requeued_word] == 0)
		job->first_requeued_word++;
	if (job->first_requeued_word < words) {
		uint64_t *word = &requeued[job->first_requeued_word];

		task = job->first_requeued_word * WORD_BITS + (uint32_t)__builtin_ctzll(*word);
		*word &= *word - 1;
	} else {
		task = job->next_task++;
	}
	job->task_bits[task / WORD_BITS] |= 1ULL << (task % WORD_BITS);
	return task;
}

/* Clears the outstanding mark of a task. Returns false when the task was not outstanding, as
 * happens when an event is repeated. */
bool task_clear_outstanding(struct job_row *job, uint32_t task)
{
	uint64_t bit = 1ULL << (task % WORD_BITS);

	if (task >= job->tasks || !(job->task_bits[task / WORD_BITS] & bit))
		return false;
	job->task_bits[task / WORD_BITS] &= ~bit;
	return true;
}

void task_requeue(struct job_row *job, uint32_t task)
{
	uint32_t word = task / WORD_BITS;

	job->task_bits[bitmap_words(job) + word] |= 1ULL << (task % WORD_BITS);
	job->first_requeued_word = MIN(job->first_requeued_word, word);
}
